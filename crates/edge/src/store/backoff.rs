//! Exponential backoff for calls to the store.

/// Initial pause, in milliseconds.
const INITIAL_PAUSE_MS: u64 = 150;
/// Upper bound on the pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;

/// Backoff state: the pause doubles with each consecutive failure, with jitter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets the backoff after a successful call.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call. Returns the pause in milliseconds; `jitter` is from 0 up to 1.
    pub(crate) fn failed(&mut self, jitter: f64) -> u64 {
        let full_pause_ms = (INITIAL_PAUSE_MS << self.failures.min(8)).min(MAX_PAUSE_MS);
        self.failures += 1;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let pause_ms = (full_pause_ms as f64 * (0.5 + jitter / 2.0)) as u64;
        pause_ms
    }
}
