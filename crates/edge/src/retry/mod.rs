//! The budget of repeated sends to one service.
//!
//! The bound counts the sends of all instances, also while they cannot hear each other. So each
//! instance keeps a share of its own: a part of its own requests, and its part of the fixed extra.

use carobwheel_core::time::Millis;
use std::collections::VecDeque;

/// Part of the allowed repeats that is used; the rest covers windows that the instances cut
/// differently.
const USED_PART: f64 = 0.8;

/// Bounds of the budget, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Repeats as a share of the requests.
    pub share: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Repeats that a window allows besides.
    pub extra: f64,
}

/// Requests and repeats of one instance to one service within the window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// Takes note of a request's first send.
    pub fn record_request(&mut self, bounds: &RetryBounds, now: Millis) {
        self.requests.push_back(now);
        self.forget(bounds, now);
    }

    /// Takes one repeat; false if none is left. `instances` share the fixed extra.
    pub fn try_take(&mut self, bounds: &RetryBounds, instances: usize, now: Millis) -> bool {
        self.forget(bounds, now);
        let extra = bounds.extra / count(instances.max(1));
        let allowed = USED_PART * (bounds.share * count(self.requests.len()) + extra);
        if count(self.repeats.len() + 1) > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, bounds: &RetryBounds, now: Millis) {
        let is_old = |at: &Millis| now.since(*at) > bounds.window_ms;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(is_old) {
            self.repeats.pop_front();
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn count(items: usize) -> f64 {
    items as f64
}
