//! Duration of a run and the number of its requests and fault steps.

use std::time::{Duration, Instant};

/// Number of workers, each of which sends its requests sequentially.
pub(crate) const WORKERS: usize = 12;
/// Number of requests per worker in a run that is not bounded by time.
const REQUESTS_PER_WORKER: usize = 42;
/// Number of fault steps in a run that is not bounded by time.
const FAULT_STEPS: usize = 16;
/// Seed used when none is given.
const DEFAULT_SEED: u64 = 7;
/// Interval between fault steps of a run bounded by time.
const STEP_INTERVAL: Duration = Duration::from_millis(900);

/// Seed and bounds of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    /// Duration of a run bounded by time.
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

    /// Whether a worker that has sent `sent` requests continues.
    pub(crate) fn has_more_requests(&self, start: Instant, sent: usize) -> bool {
        match self.duration {
            Some(duration) => start.elapsed() < duration,
            None => sent < REQUESTS_PER_WORKER,
        }
    }

    /// Whether step `step` is due after `answered` requests; none once the run has ended.
    pub(crate) fn is_step_due(&self, step: usize, start: Instant, answered: usize) -> Option<bool> {
        let Some(duration) = self.duration else {
            let due_at = (step + 1) * WORKERS * REQUESTS_PER_WORKER / (FAULT_STEPS + 1);
            return (step < FAULT_STEPS).then_some(answered >= due_at);
        };
        let step_number = u32::try_from(step).unwrap_or(u32::MAX);
        let is_due = start.elapsed() >= STEP_INTERVAL.saturating_mul(step_number.saturating_add(1));
        (start.elapsed() < duration).then_some(is_due)
    }
}
