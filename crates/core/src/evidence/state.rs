//! Evidence known to one instance.

use super::pending::{PendingRequests, RequestTicket};
use super::reference::LatencyReferences;
use super::{
    EvidenceDigest, OriginCounts, OriginTag, RegionCounts, RolloutTag, RouteCounts, RouteTag,
    Sample, Side, Suspicion, VersionCounts,
};
use crate::id::RegionId;
use crate::rollout::Verdict;
use crate::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Number of times that a change is sent before it counts as disseminated.
pub const SENDS_PER_CHANGE: u8 = 4;

/// Source of counters whose requests are comparable with each other.
///
/// Versions are compared only within a stratum, since instances and regions differ in latency and,
/// for a while, in their shares of the new version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stratum {
    /// Process of this region.
    Origin(OriginTag),
    /// Other region.
    Region(RegionId),
}

/// Counters that have increased.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceChange {
    /// Rollout that the counters belong to.
    pub rollout: RolloutTag,
    /// Route that the counters belong to.
    pub route: RouteTag,
    /// Source of the counters.
    pub stratum: Stratum,
    /// New values of the counters.
    pub counts: VersionCounts,
}

#[derive(Clone, Copy, Debug, Default)]
struct GossipedCounts {
    counts: VersionCounts,
    sends_left: u8,
}

type RouteKey = (RolloutTag, RouteTag);

/// Evidence of one instance: its own counters and those received from others.
#[derive(Clone, Debug)]
pub struct Evidence {
    origin: OriginTag,
    region: RegionId,
    pending: BTreeMap<RouteKey, PendingRequests>,
    references: BTreeMap<RouteKey, LatencyReferences>,
    counters: BTreeMap<(Stratum, RouteKey), GossipedCounts>,
    suspicions: BTreeMap<RolloutTag, Suspicion>,
    verdicts: BTreeMap<RolloutTag, Verdict>,
}

impl Evidence {
    /// Creates empty evidence for the process `origin` in `region`.
    pub fn new(origin: OriginTag, region: RegionId) -> Self {
        Self {
            origin,
            region,
            pending: BTreeMap::new(),
            references: BTreeMap::new(),
            counters: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Records that this process has sent a request to a version.
    pub fn begin(
        &mut self,
        rollout: RolloutTag,
        route: RouteTag,
        side: Side,
        now: Millis,
    ) -> RequestTicket {
        let pending = self.pending.entry((rollout, route)).or_default();
        pending.begin(rollout, route, side, now)
    }

    /// Records the outcome of a request: at its failure, or else after some tokens have arrived.
    ///
    /// A failure after that is reported separately with [`Self::fail_late`]. Requests are counted
    /// only by [`Self::count`], except that failures of overdue requests are counted immediately.
    pub fn end(&mut self, ticket: RequestTicket, sample: Sample) {
        let key = (ticket.rollout, ticket.route);
        let Some(pending) = self.pending.get_mut(&key) else {
            return;
        };
        let Some((side, was_overdue)) = pending.end(ticket, sample) else {
            return;
        };
        if side == Side::Old {
            self.references.entry(key).or_default().record(&sample);
        }
        if was_overdue && sample.failed {
            self.fail_late(ticket.rollout, ticket.route, side);
        }
    }

    /// Excludes a request whose outcome is not evidence about its version, such as one whose caller
    /// disconnected before the first token.
    pub fn abandon(&mut self, ticket: RequestTicket) {
        let key = (ticket.rollout, ticket.route);
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.abandon(ticket);
        }
    }

    /// Counts the failure of a request that was recorded as successful before, such as a stream
    /// that broke.
    pub fn fail_late(&mut self, rollout: RolloutTag, route: RouteTag, side: Side) {
        let key = (Stratum::Origin(self.origin), (rollout, route));
        let entry = self.counters.entry(key).or_default();
        entry.counts.side_mut(side).failures += 1;
        entry.sends_left = SENDS_PER_CHANGE;
    }

    /// Counts the requests that are due and returns this process's counters that increased. Has to
    /// be called after [`Self::end`] and several times per second.
    pub fn count(&mut self, now: Millis) -> Vec<EvidenceChange> {
        let mut changes = Vec::new();
        let stratum = Stratum::Origin(self.origin);
        for (key, pending) in &mut self.pending {
            let references = self.references.entry(*key).or_default();
            let mut growth = VersionCounts::default();
            while let Some(request) = pending.next_countable(references.overdue_after_ms(), now) {
                references.count(&request, growth.side_mut(request.side));
            }
            if growth == VersionCounts::default() {
                continue;
            }
            let entry = self.counters.entry((stratum.clone(), *key)).or_default();
            entry.counts = entry.counts.plus(&growth);
            entry.sends_left = SENDS_PER_CHANGE;
            changes.push(EvidenceChange {
                rollout: key.0,
                route: key.1,
                stratum: stratum.clone(),
                counts: entry.counts,
            });
        }
        changes
    }

    /// Merges a digest from another instance and returns the counters that increased.
    ///
    /// Merging is idempotent and commutative. Counters of this process and sums of its region are
    /// ignored in digests.
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
            self.merge_counters(&stratum, &origin.routes, &mut changes);
        }
        let own_region = self.region.clone();
        for region in digest.regions.iter().filter(|r| r.region != own_region) {
            let stratum = Stratum::Region(region.region.clone());
            self.merge_counters(&stratum, &region.routes, &mut changes);
        }
        changes
    }

    fn merge_counters(
        &mut self,
        stratum: &Stratum,
        counters: &[RouteCounts],
        changes: &mut Vec<EvidenceChange>,
    ) {
        for received in counters {
            let key = (stratum.clone(), (received.rollout, received.route));
            let entry = self.counters.entry(key).or_default();
            let merged = entry.counts.max(&received.counts);
            if merged == entry.counts {
                continue;
            }
            entry.counts = merged;
            entry.sends_left = SENDS_PER_CHANGE;
            changes.push(EvidenceChange {
                rollout: received.rollout,
                route: received.route,
                stratum: stratum.clone(),
                counts: merged,
            });
        }
    }

    /// Records a suspicion. The first suspicion of a rollout is kept and never withdrawn.
    pub fn suspect(&mut self, suspicion: Suspicion) {
        self.suspicions
            .entry(suspicion.rollout)
            .or_insert(suspicion);
    }

    /// Returns the suspicion against the new version of `rollout`, if there is one.
    pub fn suspicion(&self, rollout: RolloutTag) -> Option<&Suspicion> {
        self.suspicions.get(&rollout)
    }

    /// Records a verdict that is in the store.
    pub fn record_verdict(&mut self, rollout: RolloutTag, verdict: Verdict) {
        let recorded = *self.verdicts.entry(rollout).or_insert(verdict);
        assert_eq!(recorded, verdict, "a verdict cannot change");
    }

    /// Returns the verdict on `rollout` in the store, if it is known.
    pub fn verdict(&self, rollout: RolloutTag) -> Option<Verdict> {
        self.verdicts.get(&rollout).copied()
    }

    /// Returns a digest for a peer of this region: up to `max_entries` changed counters, those sent
    /// the fewest times first.
    pub fn digest_for_region(&mut self, max_entries: usize) -> EvidenceDigest {
        let mut changed: Vec<_> = self
            .counters
            .iter_mut()
            .filter(|(_, entry)| entry.sends_left > 0)
            .collect();
        changed.sort_by_key(|(_, entry)| u8::MAX - entry.sends_left);
        changed.truncate(max_entries);
        let mut digest = EvidenceDigest::default();
        for ((stratum, key), entry) in changed {
            entry.sends_left -= 1;
            push_counts(&mut digest, stratum, *key, entry.counts);
        }
        self.with_suspicions_and_verdicts(digest)
    }

    /// Returns a digest of this process's counters for a peer of another region, which disseminates
    /// them there.
    ///
    /// A fleet has to use either this or [`Self::sums_for_other_region`] between its regions, since
    /// requests would be counted twice with both.
    pub fn digest_for_other_region(&self) -> EvidenceDigest {
        let own = Stratum::Origin(self.origin);
        let mut digest = EvidenceDigest::default();
        for ((stratum, key), entry) in &self.counters {
            if *stratum == own {
                push_counts(&mut digest, stratum, *key, entry.counts);
            }
        }
        self.with_suspicions_and_verdicts(digest)
    }

    /// Returns a digest of the counters summed over this region for a peer of another region. For
    /// fleets with too many instances to exchange the counters of each.
    pub fn sums_for_other_region(&self) -> EvidenceDigest {
        let mut sums: BTreeMap<RouteKey, VersionCounts> = BTreeMap::new();
        for ((stratum, key), entry) in &self.counters {
            if matches!(stratum, Stratum::Origin(_)) {
                let sum = sums.entry(*key).or_default();
                *sum = sum.plus(&entry.counts);
            }
        }
        let mut digest = EvidenceDigest::default();
        let own = Stratum::Region(self.region.clone());
        for (key, counts) in sums {
            push_counts(&mut digest, &own, key, counts);
        }
        self.with_suspicions_and_verdicts(digest)
    }

    /// Returns a digest of all evidence, for a peer of this region that has just started.
    pub fn snapshot(&self) -> EvidenceDigest {
        let mut digest = EvidenceDigest::default();
        for ((stratum, key), entry) in &self.counters {
            push_counts(&mut digest, stratum, *key, entry.counts);
        }
        self.with_suspicions_and_verdicts(digest)
    }

    /// Drops the evidence, suspicions and verdicts of all rollouts except `current`.
    pub fn retain(&mut self, current: &BTreeSet<RolloutTag>) {
        self.pending.retain(|(tag, _), _| current.contains(tag));
        self.references.retain(|(tag, _), _| current.contains(tag));
        self.counters
            .retain(|(_, (tag, _)), _| current.contains(tag));
        self.suspicions.retain(|tag, _| current.contains(tag));
        self.verdicts.retain(|tag, _| current.contains(tag));
    }

    fn with_suspicions_and_verdicts(&self, digest: EvidenceDigest) -> EvidenceDigest {
        EvidenceDigest {
            suspicions: self.suspicions.values().copied().collect(),
            verdicts: self.verdicts.iter().map(|(t, v)| (*t, *v)).collect(),
            ..digest
        }
    }
}

fn push_counts(
    digest: &mut EvidenceDigest,
    stratum: &Stratum,
    (rollout, route): RouteKey,
    counts: VersionCounts,
) {
    let entry = RouteCounts {
        rollout,
        route,
        counts,
    };
    match stratum {
        Stratum::Origin(origin) => match digest.origins.last_mut() {
            Some(last) if last.origin == *origin => last.routes.push(entry),
            _ => digest.origins.push(OriginCounts {
                origin: *origin,
                routes: vec![entry],
            }),
        },
        Stratum::Region(region) => match digest.regions.last_mut() {
            Some(last) if last.region == *region => last.routes.push(entry),
            _ => digest.regions.push(RegionCounts {
                region: region.clone(),
                routes: vec![entry],
            }),
        },
    }
}
