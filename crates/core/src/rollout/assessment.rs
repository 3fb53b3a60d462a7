//! Assessment of one rollout: the version comparisons of all its routes.

use super::comparison::{Comparison, Finding};
use crate::document::WHOLE_PPM;
use crate::evidence::{
    EvidenceChange, RegressionKind, RouteTag, Stratum, VersionCounts, REGRESSION_KINDS,
};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Minimum number of requests to the new version before the rollout is declared done.
pub const MIN_TOTAL_REQUESTS: u64 = 200;
/// Minimum number of requests to the new version on each significant route before the rollout is
/// declared done. See [`MIN_ROUTE_SHARE_PPM`].
pub const MIN_ROUTE_REQUESTS: u64 = 20;
/// Minimum share of all requests for a route to be significant, in parts per million.
pub const MIN_ROUTE_SHARE_PPM: u32 = 20_000;

/// Assessment of all evidence on one rollout at one instance.
#[derive(Clone, Debug, Default)]
pub struct Assessment {
    known: BTreeMap<(RouteTag, Stratum), VersionCounts>,
    // Counters per route, summed over all sources.
    totals: BTreeMap<RouteTag, VersionCounts>,
    comparisons: BTreeMap<(RouteTag, RegressionKind), Comparison>,
    worse: Option<(RouteTag, RegressionKind)>,
}

impl Assessment {
    /// Adds the growth of the counters in `change`.
    pub fn add(&mut self, change: &EvidenceChange, now: Millis) {
        let source = (change.route, change.stratum.clone());
        let known = self.known.entry(source.clone()).or_default();
        let growth = change.counts.since(known);
        *known = known.max(&change.counts);
        let total = self.totals.entry(change.route).or_default();
        *total = total.plus(&growth);
        for route in [change.route, RouteTag::ALL] {
            for kind in REGRESSION_KINDS {
                self.compare(route, kind, &source, &growth, now);
            }
        }
    }

    fn compare(
        &mut self,
        route: RouteTag,
        kind: RegressionKind,
        source: &(RouteTag, Stratum),
        growth: &VersionCounts,
        now: Millis,
    ) {
        let comparison = self.comparisons.entry((route, kind));
        let comparison = comparison.or_insert_with(|| Comparison::new(kind, now));
        let finding = comparison.add(source, growth, now);
        if finding == Finding::Worse && self.worse.is_none() {
            self.worse = Some((route, kind));
        }
    }

    /// Returns the route and kind of the first confirmed regression.
    pub fn worse(&self) -> Option<(RouteTag, RegressionKind)> {
        self.worse
    }

    /// Whether the new version is suspected to be worse on any route.
    pub fn is_cautious(&self) -> bool {
        self.totals.keys().any(|route| self.is_cautious_on(*route))
    }

    /// Whether the new version is suspected to be worse on `route` or on all routes combined.
    pub fn is_cautious_on(&self, route: RouteTag) -> bool {
        self.has_finding_on(RouteTag::ALL) || self.has_finding_on(route)
    }

    fn has_finding_on(&self, route: RouteTag) -> bool {
        REGRESSION_KINDS.iter().any(|kind| {
            let comparison = self.comparisons.get(&(route, *kind));
            comparison.is_some_and(|comparison| comparison.finding() != Finding::Alike)
        })
    }

    /// Computes the share of the requests of `route` that probe the new version, in parts per
    /// million, such that all probes together are about `probe_ppm` of all requests.
    ///
    /// Each route with a finding of its own gets the same number of probes, so that the route with
    /// the fewest requests is judged in time too.
    pub fn probe_share_ppm(&self, route: RouteTag, probe_ppm: u32) -> u32 {
        let requests = |counts: &VersionCounts| counts.old.requests + counts.new.requests;
        let has_finding = |route: &&RouteTag| self.has_finding_on(**route);
        let routes = self.totals.keys().filter(has_finding).count() as u64;
        let (has_overall_finding, has_route_finding) = (
            self.has_finding_on(RouteTag::ALL),
            self.has_finding_on(route),
        );
        let budget_ppm = u64::from(probe_ppm)
            / if has_overall_finding && routes > 0 {
                2
            } else {
                1
            };
        let mut share_ppm = if has_overall_finding { budget_ppm } else { 0 };
        if has_route_finding {
            let all: u64 = self.totals.values().map(requests).sum();
            let on_route = self.totals.get(&route).map_or(0, requests).max(1);
            share_ppm += budget_ppm * all / on_route / routes;
        }
        u32::try_from(share_ppm).unwrap_or(WHOLE_PPM).min(WHOLE_PPM)
    }

    /// Whether the new version has had enough requests, in total and on every significant route,
    /// for the rollout to be declared done.
    pub fn is_sufficient(&self) -> bool {
        let requests = |counts: &VersionCounts| counts.old.requests + counts.new.requests;
        let all: u64 = self.totals.values().map(requests).sum();
        let new: u64 = self.totals.values().map(|counts| counts.new.requests).sum();
        let min_requests = all * u64::from(MIN_ROUTE_SHARE_PPM) / u64::from(WHOLE_PPM);
        let is_route_covered = |counts: &VersionCounts| {
            requests(counts) < min_requests || counts.new.requests >= MIN_ROUTE_REQUESTS
        };
        new >= MIN_TOTAL_REQUESTS && self.totals.values().all(is_route_covered)
    }

    /// Returns the counters per route, summed over all sources.
    pub fn totals(&self) -> &BTreeMap<RouteTag, VersionCounts> {
        &self.totals
    }
}
