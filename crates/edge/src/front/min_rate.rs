//! Minimum rate of a body that is being received.

use std::time::Duration;
use tokio::time::Instant;

/// Checks that a body arrives at least at a given rate, in windows of several seconds. A single byte
/// now and then does not count as progress.
#[derive(Debug)]
pub(super) struct MinRate {
    window: Duration,
    window_bytes: u64,
    until: Instant,
    bytes: u64,
}

impl MinRate {
    /// Minimum rate over windows of `window_ms`.
    pub(super) fn new(window_ms: u64, bytes_per_s: u64) -> Self {
        let window = Duration::from_millis(window_ms);
        Self {
            window,
            window_bytes: bytes_per_s.saturating_mul(window_ms) / 1_000,
            until: Instant::now() + window,
            bytes: 0,
        }
    }

    /// Time until the end of the window.
    pub(super) fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Counts received bytes.
    pub(super) fn add(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_add(bytes as u64);
        if self.left().is_zero() && self.bytes >= self.window_bytes {
            self.restart();
        }
    }

    /// Begins a new window, as after a pause that the sender has not caused.
    pub(super) fn restart(&mut self) {
        self.until = Instant::now() + self.window;
        self.bytes = 0;
    }

    /// Whether enough has arrived in the window that has ended; begins the next one if so.
    pub(super) fn is_met_in_window(&mut self) -> bool {
        let is_met = self.bytes >= self.window_bytes;
        if is_met {
            self.restart();
        }
        is_met
    }
}
