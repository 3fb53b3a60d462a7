//! Rate limit on requests to a cold upstream, that is, one that is still warming up.
//!
//! A cold upstream fails if the rate of requests exceeds its limit. The limit applies to the
//! requests of all instances, which may be unable to communicate. So only a few instances of the
//! region use a cold upstream, each with a fixed share of the rate.

use carobwheel_core::time::Millis;

/// Maximum number of instances of a region that use one cold upstream.
pub const MAX_COLD_USERS: usize = 2;

/// One instance's share of the request rate of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests a second.
    pub per_s: f64,
}

/// Limiter of one instance's requests to one upstream while that is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdGate {
    cold_until: Option<Millis>,
    next_at: Option<Millis>,
}

impl ColdGate {
    /// Sets the remaining time for which the upstream is cold, in milliseconds.
    pub fn set_remaining(&mut self, remaining_ms: u64, now: Millis) {
        self.cold_until = (remaining_ms > 0).then(|| now.plus(remaining_ms));
    }

    /// Ensures that the upstream counts as cold for at least `left_ms` more milliseconds.
    pub fn extend(&mut self, remaining_ms: u64, now: Millis) {
        let until = now.plus(remaining_ms);
        self.cold_until = Some(self.cold_until.map_or(until, |known| known.max(until)));
    }

    /// Whether the upstream is cold at `now`.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether a request may be sent at `now`.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.is_cold(now) || self.next_at.is_none_or(|at| now >= at)
    }

    /// Records that a request is sent at `now`.
    pub fn record_sent(&mut self, rate: ColdRate, now: Millis) {
        if self.is_cold(now) {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let interval_ms = (1_000.0 / rate.per_s.max(0.1)).ceil() as u64;
            self.next_at = Some(now.plus(interval_ms));
        }
    }
}
