//! Retry budget of one service.
//!
//! The budget bounds the retries of all instances together, also during a network partition. Each
//! instance therefore has a budget of its own: a share of its own requests, plus its part of the
//! fixed allowance.

use carobwheel_core::time::Millis;
use std::collections::VecDeque;

/// Share of the allowed retries that is used; the rest covers that the windows of the instances
/// are not aligned.
const USED_SHARE: f64 = 0.8;

/// Bounds of the retry budget, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Retries as a share of the requests.
    pub share: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed in a window in addition to the share.
    pub extra: f64,
}

/// Requests and retries of one instance to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, bounds: &RetryBounds, now: Millis) {
        self.requests.push_back(now);
        self.evict_old(bounds, now);
    }

    /// Consumes one retry; returns false if none is left. The fixed allowance is divided evenly
    /// among `instances`.
    pub fn try_take(&mut self, bounds: &RetryBounds, instances: usize, now: Millis) -> bool {
        self.evict_old(bounds, now);
        let extra = bounds.extra / count(instances.max(1));
        let allowed = USED_SHARE * (bounds.share * count(self.requests.len()) + extra);
        if count(self.retries.len() + 1) > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn evict_old(&mut self, bounds: &RetryBounds, now: Millis) {
        let is_old = |at: &Millis| now.since(*at) > bounds.window_ms;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn count(items: usize) -> f64 {
    items as f64
}
