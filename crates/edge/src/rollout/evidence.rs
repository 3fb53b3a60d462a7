//! Failure counts and response times of the old and the new version of a service, by route.

use serde::{Deserialize, Serialize};
use std::{collections::HashMap, ops::AddAssign, sync::Arc};

/// Responses of each version that a route needs before response times are compared.
const MIN_TIMED_RESPONSES: u32 = 8;
/// Factor by which the mean time of the new version must exceed that of the old one.
const MIN_SLOWDOWN_FACTOR: f64 = 2.0;
/// Minimum difference of the mean times, in milliseconds.
const MIN_SLOWDOWN_MS: f64 = 25.0;
/// Standard deviations by which the failures must exceed the expected number.
const FAILURE_DEVIATIONS: f64 = 3.5;
/// Failures allowed in addition to the expected number and the deviations.
const EXTRA_FAILURES: f64 = 2.0;
/// Lower bound on the expected share of failures.
const MIN_EXPECTED_FAILURE_SHARE: f64 = 0.01;

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
    /// Counts of the previous version.
    pub old: VersionCounts,
    /// Counts of the version on trial.
    pub new: VersionCounts,
}

impl RouteEvidence {
    fn is_against_new(&self) -> bool {
        let old_share = f64::from(self.old.failed) / self.old.ended().max(1.0);
        let expected_share = old_share.max(MIN_EXPECTED_FAILURE_SHARE);
        let expected = self.new.ended() * expected_share;
        let deviation = (expected * (1.0 - expected_share).max(0.0)).sqrt();
        let allowed = expected + FAILURE_DEVIATIONS * deviation + EXTRA_FAILURES;
        f64::from(self.new.failed) > allowed || self.is_slower()
    }

    fn is_slower(&self) -> bool {
        let has_timings =
            self.old.answered >= MIN_TIMED_RESPONSES && self.new.answered >= MIN_TIMED_RESPONSES;
        let (old_ms, new_ms) = (self.old.mean_ms(), self.new.mean_ms());
        has_timings && new_ms > old_ms * MIN_SLOWDOWN_FACTOR && new_ms > old_ms + MIN_SLOWDOWN_MS
    }
}

/// Response times of the new version against those of the old one on the same routes.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    /// Routes on which the old version has enough responses.
    routes: u32,
    /// Responses of the new version on these routes.
    responses: u32,
    /// Sum of their times, in milliseconds.
    new_ms: f64,
    /// Sum of the times that the old version would have needed, in milliseconds.
    expected_ms: f64,
}

impl Comparison {
    fn of(by_route: &HashMap<u32, RouteEvidence>) -> Self {
        let mut comparison = Self::default();
        let comparable = by_route
            .values()
            .filter(|route| route.old.answered >= MIN_TIMED_RESPONSES);
        for route in comparable {
            comparison.routes += 1;
            comparison.responses += route.new.answered;
            comparison.new_ms += f64::from(route.new.time_sum_ms);
            comparison.expected_ms += f64::from(route.new.answered) * route.old.mean_ms();
        }
        comparison
    }

    fn is_slower(self, min_responses: u32) -> bool {
        let margin_ms = f64::from(self.responses) * MIN_SLOWDOWN_MS;
        self.responses >= min_responses
            && self.new_ms > self.expected_ms * MIN_SLOWDOWN_FACTOR
            && self.new_ms > self.expected_ms + margin_ms
    }
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
    fn by_route(&self) -> HashMap<u32, RouteEvidence> {
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

    /// Whether the evidence of any route, or the response times of all together, are against the
    /// new version.
    pub fn is_against_new(&self) -> bool {
        let by_route = self.by_route();
        by_route.values().any(RouteEvidence::is_against_new)
            || Comparison::of(&by_route).is_slower(MIN_TIMED_RESPONSES)
    }

    /// Whether the response times of the versions have been compared on enough responses, and the
    /// new version is not slower. Also true if the old version has too few to compare with.
    pub fn has_timings_for_new(&self, min_responses: u32) -> bool {
        let by_route = self.by_route();
        let comparison = Comparison::of(&by_route);
        if comparison.routes == 0 {
            return true;
        }
        comparison.responses >= min_responses && !comparison.is_slower(min_responses)
    }

    /// Number of responses and failures of the new version, over all instances.
    pub fn new_ended(&self) -> u32 {
        let all = self
            .own
            .values()
            .chain(self.peers.values().flat_map(HashMap::values));
        all.map(|evidence| evidence.new.failed + evidence.new.answered)
            .sum()
    }
}
