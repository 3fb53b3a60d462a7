//! Pauses between calls to a store that fails.

/// First pause, in milliseconds.
const FIRST_MS: u64 = 150;
/// Longest pause, in milliseconds.
const LONGEST_MS: u64 = 2_000;

/// Doubles the pause with each failure in a row, with jitter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Takes note of an answer.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Takes note of a failure. Returns the pause in milliseconds; `jitter` is from 0 up to 1.
    pub(super) fn failed(&mut self, jitter: f64) -> u64 {
        let most_ms = (FIRST_MS << self.failures.min(8)).min(LONGEST_MS);
        self.failures += 1;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let pause_ms = (most_ms as f64 * (0.5 + jitter / 2.0)) as u64;
        pause_ms
    }
}
