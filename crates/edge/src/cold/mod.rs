//! Rate limit on requests to a cold upstream, that is, one that is still warming up.
//!
//! A cold upstream fails if the rate of requests exceeds its limit. The limit applies to the
//! requests of all instances, which may be unable to communicate. So only a few instances of the
//! region use a cold upstream, each with a fixed share of the rate.
//!
//! What an upstream states in its entry holds until the next entry. What is assumed without an
//! entry runs out by itself: an entry that was written before may arrive later.

mod checks;
mod reports;

pub use checks::{CheckEnd, HealthChecks};
pub use reports::{ColdReport, ColdReports};

use carobwheel_core::time::Millis;

/// Maximum number of instances of a region that use one cold upstream.
pub const MAX_COLD_USERS: usize = 2;
/// Longest time for which an upstream counts as cold, in milliseconds; bounds faulty statements.
const MAX_COLD_MS: u64 = 60_000;

/// One instance's share of the request rate of a cold upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests a second.
    pub per_s: f64,
}

/// An instance's share of the rate of a cold upstream. It counts on another user also if it knows none:
/// instances that start together do not know each other at first.
pub fn own_cold_rate(cold_per_s: f64) -> ColdRate {
    #[allow(clippy::cast_precision_loss)]
    let users = MAX_COLD_USERS as f64;
    ColdRate {
        per_s: cold_per_s / users,
    }
}

/// Limiter of one instance's requests to one upstream while that is cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdGate {
    /// End of the time that the latest entry states.
    stated_until: Option<Millis>,
    /// End of the time for which it is assumed to be cold.
    assumed_until: Option<Millis>,
    next_at: Option<Millis>,
}

impl ColdGate {
    /// Applies an entry: the upstream is cold for another `remaining_ms` milliseconds.
    pub fn set_remaining(&mut self, remaining_ms: u64, now: Millis) {
        self.stated_until = (remaining_ms > 0).then(|| end(remaining_ms, now));
        if remaining_ms > 0 {
            self.assumed_until = None;
        }
    }

    /// Applies the first entry of another process of the upstream. It does not end what is known:
    /// it may be the entry of an earlier process.
    pub fn set_remaining_of_other_process(&mut self, remaining_ms: u64, now: Millis) {
        if remaining_ms > 0 {
            self.set_remaining(remaining_ms, now);
        }
    }

    /// Adds what is known of another process of the upstream: it is cold for as long as either of them.
    pub fn join(&mut self, other: Self) {
        self.stated_until = self.stated_until.max(other.stated_until);
        self.assumed_until = self.assumed_until.max(other.assumed_until);
        self.next_at = self.next_at.max(other.next_at);
    }

    /// Assumes that the upstream is cold for at least another `remaining_ms` milliseconds. Returns
    /// whether it counted as warm before.
    pub fn assume(&mut self, remaining_ms: u64, now: Millis) -> bool {
        let was_cold = self.is_cold(now);
        self.assumed_until = self.assumed_until.max(Some(end(remaining_ms, now)));
        !was_cold && self.is_cold(now)
    }

    /// Replaces what is assumed: the upstream itself says that it is cold for another `remaining_ms`
    /// milliseconds.
    pub fn confirm_cold(&mut self, remaining_ms: u64, now: Millis) {
        self.assumed_until = (remaining_ms > 0).then(|| end(remaining_ms, now));
    }

    /// Ends the cold time: the upstream itself says that it is warm.
    pub fn confirm_warm(&mut self) {
        self.stated_until = None;
        self.assumed_until = None;
    }

    /// Whether the upstream is cold at `now`.
    pub fn is_cold(&self, now: Millis) -> bool {
        self.stated_until.max(self.assumed_until) > Some(now)
    }

    /// Remaining time for which the upstream counts as cold at `now`, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        let until = self.stated_until.max(self.assumed_until);
        until.map_or(0, |until| until.since(now))
    }

    /// Whether a request may be sent at `now` if the upstream is cold.
    pub fn is_open(&self, now: Millis) -> bool {
        self.next_at.is_none_or(|at| now >= at)
    }

    /// Records that a request is sent at `now`. Requests to a warm upstream count too: it may have
    /// become cold before.
    pub fn record_sent(&mut self, rate: ColdRate, now: Millis) {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let interval_ms = (1_000.0 / rate.per_s.max(0.1)).ceil() as u64;
        self.next_at = Some(now.plus(interval_ms));
    }
}

fn end(remaining_ms: u64, now: Millis) -> Millis {
    now.plus(remaining_ms.min(MAX_COLD_MS))
}
