//! What instances have seen of the old and the new version of a service, route by route.

use serde::{Deserialize, Serialize};
use std::{collections::HashMap, ops::AddAssign, sync::Arc};

/// Answers that a route needs on both sides before times are compared.
const MIN_TIMED: u32 = 8;
/// Factor by which the new version's mean time must exceed the old one's.
const SLOW_FACTOR: f64 = 2.0;
/// Smallest difference of the mean times that counts, in milliseconds.
const SLOW_MIN_MS: f64 = 25.0;
/// Standard deviations by which failures must exceed the expected number.
const FAILURE_DEVIATIONS: f64 = 3.5;
/// Failures besides those.
const FAILURE_EXTRA: f64 = 2.0;
/// Share of failures that is expected of a version at least.
const MIN_FAILURE_SHARE: f64 = 0.01;

/// Counts of one version on one route, from the start of a trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Requests that were sent.
    pub sent: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Requests that were answered.
    pub answered: u32,
    /// Sum of the times to the first byte of the answers, in milliseconds.
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
    fn ended(self) -> f64 {
        f64::from(self.failed + self.answered)
    }

    fn mean_ms(self) -> f64 {
        f64::from(self.time_sum_ms) / f64::from(self.answered.max(1))
    }
}

/// Counts of both versions on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The version that the service had before.
    pub old: VersionCounts,
    /// The version on trial.
    pub new: VersionCounts,
}

impl RouteEvidence {
    fn is_against_new(&self) -> bool {
        let old_share = f64::from(self.old.failed) / self.old.ended().max(1.0);
        let expected_share = old_share.max(MIN_FAILURE_SHARE);
        let expected = self.new.ended() * expected_share;
        let deviation = (expected * (1.0 - expected_share).max(0.0)).sqrt();
        let allowed = expected + FAILURE_DEVIATIONS * deviation + FAILURE_EXTRA;
        f64::from(self.new.failed) > allowed || self.is_slower()
    }

    fn is_slower(&self) -> bool {
        let is_timed = self.old.answered >= MIN_TIMED && self.new.answered >= MIN_TIMED;
        let (old_ms, new_ms) = (self.old.mean_ms(), self.new.mean_ms());
        is_timed && new_ms > old_ms * SLOW_FACTOR && new_ms > old_ms + SLOW_MIN_MS
    }
}

/// Evidence of all instances about one trial.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What this instance has seen, by a hash of the route's name.
    pub own: HashMap<u32, RouteEvidence>,
    others: HashMap<Arc<str>, HashMap<u32, RouteEvidence>>,
}

impl Evidence {
    /// Takes what another instance has seen, which replaces what it told before.
    pub fn update_peer(&mut self, instance: &Arc<str>, routes: HashMap<u32, RouteEvidence>) {
        self.others.insert(Arc::clone(instance), routes);
    }

    /// Whether any route, or all together, speak against the new version.
    pub fn is_against_new(&self) -> bool {
        let mut by_route: HashMap<u32, RouteEvidence> = self.own.clone();
        for (route, seen) in self.others.values().flatten() {
            let sum = by_route.entry(*route).or_default();
            sum.old += seen.old;
            sum.new += seen.new;
        }
        by_route.values().any(RouteEvidence::is_against_new)
    }

    /// Answers of the new version and failures of it, over all instances.
    pub fn new_ended(&self) -> u32 {
        let all = self
            .own
            .values()
            .chain(self.others.values().flat_map(HashMap::values));
        all.map(|seen| seen.new.failed + seen.new.answered).sum()
    }
}
