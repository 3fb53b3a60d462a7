//! Rate limit and back-off of the calls of one holder.

use carobwheel_core::time::Millis;

/// Share of the platform's rate that the holders use together. The rest covers a change of the holder,
/// which does not know when its predecessor has called.
const USED_SHARE: f64 = 0.9;
/// Back-off after the first failed call, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 300;
/// Upper bound of the back-off, in milliseconds.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Times at which a holder may call.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    interval_ms: u64,
    next_at: Millis,
    failures: u32,
}

impl Pace {
    /// Pace of one of `holders` holders that make `calls_per_s` calls a second together.
    pub fn new(calls_per_s: f64, holders: usize) -> Self {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let interval_ms =
            (1_000.0 * holders.max(1) as f64 / (calls_per_s * USED_SHARE)).ceil() as u64;
        Self {
            interval_ms,
            next_at: Millis(0),
            failures: 0,
        }
    }

    /// Whether a call may be made.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    /// Begins a term. The predecessor may have called just before.
    pub fn begin(&mut self, now: Millis) {
        self.failures = 0;
        self.next_at = now.plus(self.interval_ms);
    }

    /// Notes that a call is made.
    pub fn called(&mut self, now: Millis) {
        self.next_at = now.plus(self.interval_ms);
    }

    /// Notes a call that succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a call that failed. The back-off doubles with each one; `jitter` is from 0 up to 1.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn failed(&mut self, jitter: f64, now: Millis) {
        let full_ms = (INITIAL_BACKOFF_MS << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        let backoff_ms = (full_ms as f64 * (0.5 + jitter / 2.0)) as u64;
        self.next_at = self.next_at.max(now.plus(backoff_ms));
    }
}
