//! All evidence that an instance has.

use super::pending::{Cohort, RequestTicket};
use super::reference::References;
use super::{
    EvidenceDigest, OriginCounts, OriginTag, RegionCounts, RolloutTag, RouteCounts, RouteTag,
    Sample, Side, Suspicion, VersionCounts,
};
use crate::id::RegionId;
use crate::rollout::Verdict;
use crate::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// How often a change is sent on before it counts as spread.
pub const SENDS_PER_CHANGE: u8 = 4;

/// A source of counters whose requests may be compared with each other.
///
/// Versions are compared inside a stratum only: instances and regions differ in latency, and
/// their shares of the new version differ for a while.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stratum {
    /// A process of the own region.
    Origin(OriginTag),
    /// Another region.
    Region(RegionId),
}

/// Counters that have grown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceChange {
    /// Rollout that they belong to.
    pub rollout: RolloutTag,
    /// Route that they belong to.
    pub route: RouteTag,
    /// Source that they come from.
    pub stratum: Stratum,
    /// Counters now.
    pub counts: VersionCounts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    counts: VersionCounts,
    sends_left: u8,
}

type CellKey = (RolloutTag, RouteTag);

/// The evidence of one instance: its own counters and what it heard.
#[derive(Clone, Debug)]
pub struct Evidence {
    origin: OriginTag,
    region: RegionId,
    cohorts: BTreeMap<CellKey, Cohort>,
    references: BTreeMap<CellKey, References>,
    cells: BTreeMap<(Stratum, CellKey), Cell>,
    suspicions: BTreeMap<RolloutTag, Suspicion>,
    verdicts: BTreeMap<RolloutTag, Verdict>,
}

impl Evidence {
    /// No evidence yet, at the process `origin` in `region`.
    pub fn new(origin: OriginTag, region: RegionId) -> Self {
        Self {
            origin,
            region,
            cohorts: BTreeMap::new(),
            references: BTreeMap::new(),
            cells: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Takes note that a request of the own process was sent to a version.
    pub fn begin(
        &mut self,
        rollout: RolloutTag,
        route: RouteTag,
        side: Side,
        now: Millis,
    ) -> RequestTicket {
        let cohort = self.cohorts.entry((rollout, route)).or_default();
        cohort.begin(rollout, route, side, now)
    }

    /// Takes what became of a request: at its failure, or else once some tokens have arrived.
    ///
    /// A request that fails later is reported a second time by [`Self::fail_late`]. Nothing is
    /// counted before [`Self::count`], but for failures of overdue requests.
    pub fn end(&mut self, ticket: RequestTicket, sample: Sample) {
        let key = (ticket.rollout, ticket.route);
        let Some(cohort) = self.cohorts.get_mut(&key) else {
            return;
        };
        let Some((side, was_overdue)) = cohort.end(ticket, sample) else {
            return;
        };
        if side == Side::Old {
            self.references.entry(key).or_default().record(&sample);
        }
        if was_overdue && sample.failed {
            self.fail_late(ticket.rollout, ticket.route, side);
        }
    }

    /// Leaves out a request that says nothing about its version, such as one whose caller has gone
    /// before its first token.
    pub fn abandon(&mut self, ticket: RequestTicket) {
        let key = (ticket.rollout, ticket.route);
        if let Some(cohort) = self.cohorts.get_mut(&key) {
            cohort.abandon(ticket);
        }
    }

    /// Counts a failure of a request that has ended well before, such as a stream that broke.
    pub fn fail_late(&mut self, rollout: RolloutTag, route: RouteTag, side: Side) {
        let key = (Stratum::Origin(self.origin), (rollout, route));
        let cell = self.cells.entry(key).or_default();
        cell.counts.side_mut(side).failures += 1;
        cell.sends_left = SENDS_PER_CHANGE;
    }

    /// Counts the requests whose turn has come and returns the own counters that grew. Called
    /// after [`Self::end`] and several times a second.
    pub fn count(&mut self, now: Millis) -> Vec<EvidenceChange> {
        let mut changes = Vec::new();
        let stratum = Stratum::Origin(self.origin);
        for (key, cohort) in &mut self.cohorts {
            let references = self.references.entry(*key).or_default();
            let mut growth = VersionCounts::default();
            while let Some(turn) = cohort.next_turn(references.hold_ms(), now) {
                references.judge(&turn, growth.side_mut(turn.side));
            }
            if growth == VersionCounts::default() {
                continue;
            }
            let cell = self.cells.entry((stratum.clone(), *key)).or_default();
            cell.counts = cell.counts.plus(&growth);
            cell.sends_left = SENDS_PER_CHANGE;
            changes.push(EvidenceChange {
                rollout: key.0,
                route: key.1,
                stratum: stratum.clone(),
                counts: cell.counts,
            });
        }
        changes
    }

    /// Merges what another instance sent and returns the counters that grew.
    ///
    /// Merging is idempotent and commutative. The process's own counters and the sums of its own
    /// region are not taken from others.
    pub fn merge(&mut self, digest: &EvidenceDigest) -> Vec<EvidenceChange> {
        for suspicion in &digest.suspicions {
            self.suspect(*suspicion);
        }
        for (rollout, verdict) in &digest.verdicts {
            self.record_verdict(*rollout, *verdict);
        }
        let mut changes = Vec::new();
        let own_origin = self.origin;
        for origin in digest.origins.iter().filter(|o| o.origin != own_origin) {
            let stratum = Stratum::Origin(origin.origin);
            self.merge_cells(&stratum, &origin.routes, &mut changes);
        }
        let own_region = self.region.clone();
        for region in digest.regions.iter().filter(|r| r.region != own_region) {
            let stratum = Stratum::Region(region.region.clone());
            self.merge_cells(&stratum, &region.routes, &mut changes);
        }
        changes
    }

    fn merge_cells(
        &mut self,
        stratum: &Stratum,
        cells: &[RouteCounts],
        changes: &mut Vec<EvidenceChange>,
    ) {
        for heard in cells {
            let key = (stratum.clone(), (heard.rollout, heard.route));
            let cell = self.cells.entry(key).or_default();
            let merged = cell.counts.max(&heard.counts);
            if merged == cell.counts {
                continue;
            }
            cell.counts = merged;
            cell.sends_left = SENDS_PER_CHANGE;
            changes.push(EvidenceChange {
                rollout: heard.rollout,
                route: heard.route,
                stratum: stratum.clone(),
                counts: merged,
            });
        }
    }

    /// Raises a suspicion. The first one of a rollout stays, and none is ever taken back.
    pub fn suspect(&mut self, suspicion: Suspicion) {
        self.suspicions
            .entry(suspicion.rollout)
            .or_insert(suspicion);
    }

    /// The suspicion against the new version of `rollout`, if there is one.
    pub fn suspicion(&self, rollout: RolloutTag) -> Option<&Suspicion> {
        self.suspicions.get(&rollout)
    }

    /// Takes note of a verdict that stands in the store.
    pub fn record_verdict(&mut self, rollout: RolloutTag, verdict: Verdict) {
        let noted = *self.verdicts.entry(rollout).or_insert(verdict);
        assert_eq!(noted, verdict, "a verdict is never left");
    }

    /// The verdict on `rollout` that stands in the store, as far as it was heard of.
    pub fn verdict(&self, rollout: RolloutTag) -> Option<Verdict> {
        self.verdicts.get(&rollout).copied()
    }

    /// News for a peer of the region: changed counters, at most `max_entries` of them, those sent
    /// least often first.
    pub fn digest_for_region(&mut self, max_entries: usize) -> EvidenceDigest {
        let mut changed: Vec<_> = self
            .cells
            .iter_mut()
            .filter(|(_, cell)| cell.sends_left > 0)
            .collect();
        changed.sort_by_key(|(_, cell)| u8::MAX - cell.sends_left);
        changed.truncate(max_entries);
        let mut digest = EvidenceDigest::default();
        for ((stratum, key), cell) in changed {
            cell.sends_left -= 1;
            push(&mut digest, stratum, *key, cell.counts);
        }
        self.with_flags(digest)
    }

    /// The own counters, for a peer of another region, which spreads them there.
    ///
    /// A fleet uses either these or [`Self::sums_for_other_region`] between its regions, never
    /// both, or requests would count twice.
    pub fn digest_for_other_region(&self) -> EvidenceDigest {
        let own = Stratum::Origin(self.origin);
        let mut digest = EvidenceDigest::default();
        for ((stratum, key), cell) in &self.cells {
            if *stratum == own {
                push(&mut digest, stratum, *key, cell.counts);
            }
        }
        self.with_flags(digest)
    }

    /// Sums over the own region, for a peer of another region, in a fleet in which the counters of
    /// single instances would be too many.
    pub fn sums_for_other_region(&self) -> EvidenceDigest {
        let mut sums: BTreeMap<CellKey, VersionCounts> = BTreeMap::new();
        for ((stratum, key), cell) in &self.cells {
            if matches!(stratum, Stratum::Origin(_)) {
                let sum = sums.entry(*key).or_default();
                *sum = sum.plus(&cell.counts);
            }
        }
        let mut digest = EvidenceDigest::default();
        let own = Stratum::Region(self.region.clone());
        for (key, counts) in sums {
            push(&mut digest, &own, key, counts);
        }
        self.with_flags(digest)
    }

    /// Everything, for a peer of the region that has just started.
    pub fn snapshot(&self) -> EvidenceDigest {
        let mut digest = EvidenceDigest::default();
        for ((stratum, key), cell) in &self.cells {
            push(&mut digest, stratum, *key, cell.counts);
        }
        self.with_flags(digest)
    }

    /// Drops the evidence of all rollouts but `current`. Suspicions and verdicts stay as long as
    /// their rollout does.
    pub fn retain(&mut self, current: &BTreeSet<RolloutTag>) {
        self.cohorts.retain(|(tag, _), _| current.contains(tag));
        self.references.retain(|(tag, _), _| current.contains(tag));
        self.cells.retain(|(_, (tag, _)), _| current.contains(tag));
        self.suspicions.retain(|tag, _| current.contains(tag));
        self.verdicts.retain(|tag, _| current.contains(tag));
    }

    fn with_flags(&self, digest: EvidenceDigest) -> EvidenceDigest {
        EvidenceDigest {
            suspicions: self.suspicions.values().copied().collect(),
            verdicts: self.verdicts.iter().map(|(t, v)| (*t, *v)).collect(),
            ..digest
        }
    }
}

fn push(
    digest: &mut EvidenceDigest,
    stratum: &Stratum,
    (rollout, route): CellKey,
    counts: VersionCounts,
) {
    let cell = RouteCounts {
        rollout,
        route,
        counts,
    };
    match stratum {
        Stratum::Origin(origin) => match digest.origins.last_mut() {
            Some(last) if last.origin == *origin => last.routes.push(cell),
            _ => digest.origins.push(OriginCounts {
                origin: *origin,
                routes: vec![cell],
            }),
        },
        Stratum::Region(region) => match digest.regions.last_mut() {
            Some(last) if last.region == *region => last.routes.push(cell),
            _ => digest.regions.push(RegionCounts {
                region: region.clone(),
                routes: vec![cell],
            }),
        },
    }
}
