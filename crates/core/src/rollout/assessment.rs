//! The comparisons of all routes of one rollout.

use super::comparison::{Comparison, Finding};
use crate::document::WHOLE_PPM;
use crate::evidence::{Change, Kind, RouteTag, Sides, Stratum, KINDS};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Requests to the new version without which it is not declared done.
pub const MIN_TOTAL_REQUESTS: u64 = 200;
/// Requests to the new version on each route that counts, without which it is not declared done.
pub const MIN_ROUTE_REQUESTS: u64 = 20;
/// Share of the requests that makes a route count, out of 1,000,000.
pub const ROUTE_THAT_COUNTS_PPM: u32 = 20_000;

/// What an instance makes of all evidence on one rollout.
#[derive(Clone, Debug, Default)]
pub struct Assessment {
    seen: BTreeMap<(RouteTag, Stratum), Sides>,
    totals: BTreeMap<RouteTag, Sides>,
    comparisons: BTreeMap<(RouteTag, Kind), Comparison>,
    worse: Option<(RouteTag, Kind)>,
}

impl Assessment {
    /// Takes counters that have grown.
    pub fn add(&mut self, change: &Change, now: Millis) {
        let seen = self.seen.entry((change.route, change.stratum.clone()));
        let seen = seen.or_default();
        let growth = change.sides.since(seen);
        *seen = seen.max(&change.sides);
        let total = self.totals.entry(change.route).or_default();
        *total = total.plus(&growth);
        for kind in KINDS {
            let comparison = self.comparisons.entry((change.route, kind));
            let comparison = comparison.or_insert_with(|| Comparison::new(kind, now));
            let finding = comparison.add(&change.stratum, &growth, now);
            if finding == Finding::Worse && self.worse.is_none() {
                self.worse = Some((change.route, kind));
            }
        }
    }

    /// Route and kind of the first fault that is sure.
    pub fn worse(&self) -> Option<(RouteTag, Kind)> {
        self.worse
    }

    /// Whether the new version looks worse on any route.
    pub fn is_cautious(&self) -> bool {
        let mut findings = self.comparisons.values().map(Comparison::finding);
        findings.any(|finding| finding != Finding::Alike)
    }

    /// Whether the new version has had enough requests, on every route that counts, to be
    /// declared done.
    pub fn is_sufficient(&self) -> bool {
        let requests = |sides: &Sides| sides.old.requests + sides.new.requests;
        let all: u64 = self.totals.values().map(requests).sum();
        let new: u64 = self.totals.values().map(|sides| sides.new.requests).sum();
        let least = all * u64::from(ROUTE_THAT_COUNTS_PPM) / u64::from(WHOLE_PPM);
        let is_route_covered =
            |sides: &Sides| requests(sides) < least || sides.new.requests >= MIN_ROUTE_REQUESTS;
        new >= MIN_TOTAL_REQUESTS && self.totals.values().all(is_route_covered)
    }

    /// Counters of each route, summed over all sources.
    pub fn totals(&self) -> &BTreeMap<RouteTag, Sides> {
        &self.totals
    }
}
