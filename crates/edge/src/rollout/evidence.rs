//! Failure counts and response times of the old and the new version of a service, by route.

use super::assessment::Assessment;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, ops::AddAssign, sync::Arc};

/// Responses of each version that a route needs before response times are compared.
const MIN_TIMED_RESPONSES: u32 = 8;
/// Factor by which the mean time of the new version must exceed that of the old one.
const MIN_SLOWDOWN_FACTOR: f64 = 2.0;
/// Minimum difference of the mean times, in milliseconds.
const MIN_SLOWDOWN_MS: f64 = 25.0;

/// Counts of one version on one route since the start of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Requests that were sent.
    pub sent: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that got a response.
    pub answered: u32,
    /// Sum of the times to the first byte of the responses, in milliseconds.
    pub time_sum_ms: u32,
}

impl AddAssign for VersionCounts {
    fn add_assign(&mut self, other: Self) {
        self.sent += other.sent;
        self.failed += other.failed;
        self.answered += other.answered;
        self.time_sum_ms = self.time_sum_ms.saturating_add(other.time_sum_ms);
    }
}

impl VersionCounts {
    /// What was counted after `earlier`.
    fn after(self, earlier: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            failed: self.failed.saturating_sub(earlier.failed),
            answered: self.answered.saturating_sub(earlier.answered),
            time_sum_ms: self.time_sum_ms.saturating_sub(earlier.time_sum_ms),
        }
    }

    pub(super) fn mean_ms(self) -> f64 {
        f64::from(self.time_sum_ms) / f64::from(self.answered.max(1))
    }
}

/// Counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Counts of the previous version.
    pub old: VersionCounts,
    /// Counts of the version on trial.
    pub new: VersionCounts,
}

impl RouteEvidence {
    /// What was counted besides `part`.
    #[must_use]
    pub fn without(self, part: Self) -> Self {
        Self {
            old: self.old.after(part.old),
            new: self.new.after(part.new),
        }
    }

    /// The same counts of the old version, and what was counted of the new one after `earlier`.
    pub(super) fn new_after(self, earlier: Self) -> Self {
        Self {
            old: self.old,
            new: self.new.after(earlier.new),
        }
    }

    /// Whether the response times on this route are those of a slow new version.
    pub(super) fn is_slower(&self) -> bool {
        let has_timings =
            self.old.answered >= MIN_TIMED_RESPONSES && self.new.answered >= MIN_TIMED_RESPONSES;
        has_timings && is_slowdown(self.old.mean_ms(), self.new.mean_ms())
    }
}

/// Whether a mean time of the new version, in milliseconds, is that of a slow one.
pub(super) fn is_slowdown(old_ms: f64, new_ms: f64) -> bool {
    new_ms > old_ms * MIN_SLOWDOWN_FACTOR && new_ms > old_ms + MIN_SLOWDOWN_MS
}

/// Evidence of all instances about one trial.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Evidence of this instance, by a hash of the route's name.
    pub own: HashMap<u32, RouteEvidence>,
    peers: HashMap<Arc<str>, HashMap<u32, RouteEvidence>>,
}

impl Evidence {
    /// Replaces the evidence of another instance by its latest report.
    pub fn update_peer(&mut self, instance: &Arc<str>, routes: HashMap<u32, RouteEvidence>) {
        self.peers.insert(Arc::clone(instance), routes);
    }

    /// Drops the evidence of other instances, since another source replaces it.
    pub fn forget_peers(&mut self) {
        self.peers.clear();
    }

    /// Counts of all instances, by route.
    pub(super) fn by_route(&self) -> HashMap<u32, RouteEvidence> {
        self.summed(|_| true)
    }

    /// Counts of this instance and of those sources that `is_included` accepts, by route.
    pub fn summed(&self, is_included: impl Fn(&str) -> bool) -> HashMap<u32, RouteEvidence> {
        let mut by_route: HashMap<u32, RouteEvidence> = self.own.clone();
        let included = self.peers.iter().filter(|(source, _)| is_included(source));
        for (route, evidence) in included.flat_map(|(_, routes)| routes) {
            let sum = by_route.entry(*route).or_default();
            sum.old += evidence.old;
            sum.new += evidence.new;
        }
        by_route
    }

    /// Whether the evidence is against the new version.
    pub fn is_against_new(&self) -> bool {
        Assessment::new(&self.by_route()).is_against_new()
    }

    /// Number of responses and failures of the new version, over all instances.
    pub fn new_ended(&self) -> u32 {
        let totals = self.new_totals();
        totals.failed + totals.answered
    }

    /// Counts of the new version on all routes, over all instances.
    pub fn new_totals(&self) -> VersionCounts {
        let mut totals = VersionCounts::default();
        for route in self.by_route().values() {
            totals += route.new;
        }
        totals
    }

    /// Number of requests to any version that have ended at this instance.
    pub(super) fn own_ended(&self) -> u32 {
        let counts = self.own.values().flat_map(|route| [route.old, route.new]);
        counts.map(|counts| counts.failed + counts.answered).sum()
    }
}
