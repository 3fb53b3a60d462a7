//! Exponential back-off of calls to a store that does not answer.

use carobwheel_core::time::Millis;

/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Parameters of the back-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffOptions {
    /// Consecutive failures at which calls start to back off (1 or more).
    pub failure_threshold: u32,
    /// Maximum of the first delay, in milliseconds.
    pub max_first_delay_ms: u64,
    /// Maximum delay, in milliseconds.
    pub max_delay_ms: u64,
    /// Minimum interval between attempts while backing off, in milliseconds.
    pub attempt_interval_ms: u64,
}

impl Default for BackoffOptions {
    fn default() -> Self {
        Self {
            failure_threshold: 3,
            max_first_delay_ms: 500,
            max_delay_ms: 8_000,
            attempt_interval_ms: 3_000,
        }
    }
}

/// Back-off state: counts consecutive failures and decides when the next call may be sent.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    options: BackoffOptions,
    failures: u32,
    retry_at: Millis,
}

impl Backoff {
    /// Creates a state without failures.
    pub fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            failures: 0,
            retry_at: Millis(0),
        }
    }

    /// Whether calls back off; only one attempt per interval is admitted then.
    pub fn is_open(&self) -> bool {
        self.failures >= self.options.failure_threshold
    }

    /// Admits a call. While backing off, one attempt per interval is admitted after the delay.
    ///
    /// # Errors
    ///
    /// Returns the remaining delay, in milliseconds.
    pub fn admit(&mut self, now: Millis) -> Result<(), u64> {
        if !self.is_open() {
            return Ok(());
        }
        if now < self.retry_at {
            return Err(self.retry_at.since(now));
        }
        self.retry_at = now.plus(self.options.attempt_interval_ms);
        Ok(())
    }

    /// Records that the store answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that the store did not answer. `jitter`, from 0 up to 1, spreads the next attempts
    /// of the instances over the delay.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn record_failure(&mut self, now: Millis, jitter: f64) {
        self.failures = self.failures.saturating_add(1);
        if !self.is_open() {
            return;
        }
        let doublings = self.failures - self.options.failure_threshold;
        let factor = 1_u64 << doublings.min(MAX_DOUBLINGS);
        let max_delay_ms =
            (self.options.max_first_delay_ms * factor).min(self.options.max_delay_ms);
        let min_delay_ms = max_delay_ms / 4;
        let spread_ms = (max_delay_ms - min_delay_ms) as f64 * jitter;
        self.retry_at = now.plus(min_delay_ms + spread_ms as u64);
    }
}
