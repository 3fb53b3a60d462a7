//! How long a run lasts and what it is made of.

use std::time::{Duration, Instant};

/// Callers that send one request after the other.
pub(crate) const WORKERS: usize = 12;
/// Requests of each worker when the run is not bounded by time.
const REQUESTS_OF_WORKER: usize = 42;
/// Fault steps when the run is not bounded by time.
const STEPS: usize = 16;
/// Seed when none is given.
const DEFAULT_SEED: u64 = 7;
/// Time between two fault steps of a run bounded by time.
const STEP_TIME: Duration = Duration::from_millis(900);

/// The bounds of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    /// End of a run bounded by time.
    pub(crate) duration: Option<Duration>,
}

impl Plan {
    /// Reads `CAROBWHEEL_SEED` and `CAROBWHEEL_SOAK_S`.
    pub(crate) fn from_environment() -> Self {
        let number = |name: &str| {
            let text = std::env::var(name).ok()?;
            Some(text.parse::<u64>().expect("a whole number"))
        };
        Self {
            seed: number("CAROBWHEEL_SEED").unwrap_or(DEFAULT_SEED),
            duration: number("CAROBWHEEL_SOAK_S").map(Duration::from_secs),
        }
    }

    /// A worker that has sent `sent` requests goes on.
    pub(crate) fn has_more_requests(&self, start: Instant, sent: usize) -> bool {
        match self.duration {
            Some(duration) => start.elapsed() < duration,
            None => sent < REQUESTS_OF_WORKER,
        }
    }

    /// Step `step` is due after `answered` requests; none once the run is at its end.
    pub(crate) fn is_step_due(&self, step: usize, start: Instant, answered: usize) -> Option<bool> {
        let Some(duration) = self.duration else {
            let due_at = (step + 1) * WORKERS * REQUESTS_OF_WORKER / (STEPS + 1);
            return (step < STEPS).then_some(answered >= due_at);
        };
        let step_number = u32::try_from(step).unwrap_or(u32::MAX);
        let is_due = start.elapsed() >= STEP_TIME.saturating_mul(step_number.saturating_add(1));
        (start.elapsed() < duration).then_some(is_due)
    }
}
