//! The bound on requests to an upstream that is cold.
//!
//! A cold upstream fails when it gets requests faster than it bears. The bound counts requests of
//! all instances, which cannot all hear each other, so only a few instances of the region use a
//! cold upstream, each with a fixed share of the rate.

use carobwheel_core::time::Millis;

/// Most instances of a region that use one cold upstream.
pub const MAX_COLD_USERS: usize = 2;

/// How many requests one instance may send to a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests a second of this instance.
    pub per_s: f64,
}

/// Bound on one instance's requests to one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdGate {
    cold_until: Option<Millis>,
    next_at: Option<Millis>,
}

impl ColdGate {
    /// Takes note that the upstream stays cold for `left_ms` milliseconds more.
    pub fn set_remaining(&mut self, left_ms: u64, now: Millis) {
        self.cold_until = (left_ms > 0).then(|| now.plus(left_ms));
    }

    /// Takes note that the upstream is cold for at least `left_ms` milliseconds more.
    pub fn extend(&mut self, left_ms: u64, now: Millis) {
        let until = now.plus(left_ms);
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

    /// Takes note that a request is sent at `now`.
    pub fn record_sent(&mut self, rate: ColdRate, now: Millis) {
        if self.is_cold(now) {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let pause_ms = (1_000.0 / rate.per_s.max(0.1)).ceil() as u64;
            self.next_at = Some(now.plus(pause_ms));
        }
    }
}
