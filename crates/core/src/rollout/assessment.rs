//! The comparisons of all routes of one rollout.

use super::comparison::{Comparison, Finding};
use crate::document::WHOLE_PPM;
use crate::evidence::{
    EvidenceChange, RegressionKind, RouteTag, Stratum, VersionCounts, REGRESSION_KINDS,
};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Requests to the new version without which it is not declared done.
pub const MIN_TOTAL_REQUESTS: u64 = 200;
/// Requests to the new version on each route that counts, without which it is not declared done.
pub const MIN_ROUTE_REQUESTS: u64 = 20;
/// Share of the requests that makes a route count, out of 1,000,000.
pub const MIN_ROUTE_SHARE_PPM: u32 = 20_000;

/// What an instance makes of all evidence on one rollout.
#[derive(Clone, Debug, Default)]
pub struct Assessment {
    seen: BTreeMap<(RouteTag, Stratum), VersionCounts>,
    // Counters of each route, summed over all sources.
    totals: BTreeMap<RouteTag, VersionCounts>,
    comparisons: BTreeMap<(RouteTag, RegressionKind), Comparison>,
    worse: Option<(RouteTag, RegressionKind)>,
}

impl Assessment {
    /// Takes counters that have grown.
    pub fn add(&mut self, change: &EvidenceChange, now: Millis) {
        let source = (change.route, change.stratum.clone());
        let seen = self.seen.entry(source.clone()).or_default();
        let growth = change.counts.since(seen);
        *seen = seen.max(&change.counts);
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

    /// Route and kind of the first fault that is sure.
    pub fn worse(&self) -> Option<(RouteTag, RegressionKind)> {
        self.worse
    }

    /// Whether the new version looks worse on any route.
    pub fn is_cautious(&self) -> bool {
        self.totals.keys().any(|route| self.is_cautious_on(*route))
    }

    /// Whether the new version looks worse on `route`, or on all routes together.
    pub fn is_cautious_on(&self, route: RouteTag) -> bool {
        self.is_worse_on(RouteTag::ALL) || self.is_worse_on(route)
    }

    fn is_worse_on(&self, route: RouteTag) -> bool {
        REGRESSION_KINDS.iter().any(|kind| {
            let comparison = self.comparisons.get(&(route, *kind));
            comparison.is_some_and(|comparison| comparison.finding() != Finding::Alike)
        })
    }

    /// Share of the requests of `route` that probe the new version, out of 1,000,000, such that
    /// all probes together are about `probe_ppm` of all requests.
    ///
    /// Each route that looks worse by itself gets as many probes as the next, so that the rarest
    /// one is judged in time too.
    pub fn probe_share_ppm(&self, route: RouteTag, probe_ppm: u32) -> u32 {
        let requests = |counts: &VersionCounts| counts.old.requests + counts.new.requests;
        let is_worse = |route: &&RouteTag| self.is_worse_on(**route);
        let routes = self.totals.keys().filter(is_worse).count() as u64;
        let (is_all, is_route) = (self.is_worse_on(RouteTag::ALL), self.is_worse_on(route));
        let budget_ppm = u64::from(probe_ppm) / if is_all && routes > 0 { 2 } else { 1 };
        let mut share_ppm = if is_all { budget_ppm } else { 0 };
        if is_route {
            let all: u64 = self.totals.values().map(requests).sum();
            let on_route = self.totals.get(&route).map_or(0, requests).max(1);
            share_ppm += budget_ppm * all / on_route / routes;
        }
        u32::try_from(share_ppm).unwrap_or(WHOLE_PPM).min(WHOLE_PPM)
    }

    /// Whether the new version has had enough requests, on every route that counts, to be
    /// declared done.
    pub fn is_sufficient(&self) -> bool {
        let requests = |counts: &VersionCounts| counts.old.requests + counts.new.requests;
        let all: u64 = self.totals.values().map(requests).sum();
        let new: u64 = self.totals.values().map(|counts| counts.new.requests).sum();
        let least = all * u64::from(MIN_ROUTE_SHARE_PPM) / u64::from(WHOLE_PPM);
        let is_route_covered = |counts: &VersionCounts| {
            requests(counts) < least || counts.new.requests >= MIN_ROUTE_REQUESTS
        };
        new >= MIN_TOTAL_REQUESTS && self.totals.values().all(is_route_covered)
    }

    /// Counters of each route, summed over all sources.
    pub fn totals(&self) -> &BTreeMap<RouteTag, VersionCounts> {
        &self.totals
    }
}
