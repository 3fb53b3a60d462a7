//! Pauses between attempts to reach a store that does not answer.

use carobwheel_core::time::Millis;

/// Doublings after which a pause no longer grows.
const MAX_DOUBLINGS: u32 = 16;

/// How the pauses grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffOptions {
    /// Failures in a row before calls pause (1 or more).
    pub failure_threshold: u32,
    /// Longest first pause, in milliseconds.
    pub max_first_delay_ms: u64,
    /// Longest pause, in milliseconds.
    pub max_delay_ms: u64,
    /// Time that a single attempt has before the next one may follow, in milliseconds.
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

/// Counts failures and decides when the next call may go out.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    options: BackoffOptions,
    failures: u32,
    until: Millis,
}

impl Backoff {
    /// A state without failures.
    pub fn new(options: BackoffOptions) -> Self {
        Self {
            options,
            failures: 0,
            until: Millis(0),
        }
    }

    /// Calls pause, except for single attempts.
    pub fn is_open(&self) -> bool {
        self.failures >= self.options.failure_threshold
    }

    /// Admits a call. After a pause one attempt at a time goes out.
    ///
    /// # Errors
    ///
    /// Returns the time to wait, in milliseconds.
    pub fn admit(&mut self, now: Millis) -> Result<(), u64> {
        if !self.is_open() {
            return Ok(());
        }
        if now < self.until {
            return Err(self.until.since(now));
        }
        self.until = now.plus(self.options.attempt_interval_ms);
        Ok(())
    }

    /// Notes that the store has answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Notes that the store has not answered. `jitter`, from 0 up to 1, spreads the instances'
    /// next attempts over the pause.
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
        let shortest_ms = max_delay_ms / 4;
        let spread_ms = (max_delay_ms - shortest_ms) as f64 * jitter;
        self.until = now.plus(shortest_ms + spread_ms as u64);
    }
}
