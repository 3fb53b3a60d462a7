//! All evidence that an instance has.

use super::{
    Digest, LatencyReference, OriginCells, OriginTag, RegionCells, RolloutTag, RouteCell, RouteTag,
    Sample, Side, Sides, Suspicion,
};
use crate::id::RegionId;
use crate::rollout::Verdict;
use std::collections::{BTreeMap, BTreeSet};

/// How often a change is sent on before it counts as spread.
pub const SENDS_OF_A_CHANGE: u8 = 4;

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
pub struct Change {
    /// Rollout that they belong to.
    pub rollout: RolloutTag,
    /// Route that they belong to.
    pub route: RouteTag,
    /// Source that they come from.
    pub stratum: Stratum,
    /// Counters now.
    pub sides: Sides,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    sides: Sides,
    sends_left: u8,
}

#[derive(Clone, Debug, Default)]
struct References {
    first_token: LatencyReference,
    between_tokens: LatencyReference,
}

type CellKey = (RolloutTag, RouteTag);

/// The evidence of one instance: its own counters and what it heard.
#[derive(Clone, Debug)]
pub struct Evidence {
    origin: OriginTag,
    region: RegionId,
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
            references: BTreeMap::new(),
            cells: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            verdicts: BTreeMap::new(),
        }
    }

    /// Counts one request of the own process.
    pub fn record(
        &mut self,
        rollout: RolloutTag,
        route: RouteTag,
        side: Side,
        sample: &Sample,
    ) -> Change {
        let references = self.references.entry((rollout, route)).or_default();
        let stratum = Stratum::Origin(self.origin);
        let cell = self.cells.entry((stratum.clone(), (rollout, route)));
        let cell = cell.or_default();
        let counts = cell.sides.side_mut(side);
        counts.requests += 1;
        counts.failures += u64::from(sample.failed);
        let first = slowness(&mut references.first_token, side, sample.first_token_ms);
        if let (Some(is_slow), false) = (first, sample.was_overdue) {
            counts.timed_first += 1;
            counts.slow_first += u64::from(is_slow);
        }
        let between = slowness(
            &mut references.between_tokens,
            side,
            sample.between_tokens_ms,
        );
        if let Some(is_slow) = between {
            counts.timed_between += 1;
            counts.slow_between += u64::from(is_slow);
        }
        cell.sends_left = SENDS_OF_A_CHANGE;
        Change {
            rollout,
            route,
            stratum,
            sides: cell.sides,
        }
    }

    /// Counts one request of the own process as slow while it still waits for its first token,
    /// once it has waited for [`Self::first_token_reference_ms`].
    ///
    /// A version that hangs shows this way long before its requests time out.
    pub fn record_overdue(&mut self, rollout: RolloutTag, route: RouteTag, side: Side) -> Change {
        let stratum = Stratum::Origin(self.origin);
        let cell = self.cells.entry((stratum.clone(), (rollout, route)));
        let cell = cell.or_default();
        let counts = cell.sides.side_mut(side);
        counts.timed_first += 1;
        counts.slow_first += 1;
        cell.sends_left = SENDS_OF_A_CHANGE;
        Change {
            rollout,
            route,
            stratum,
            sides: cell.sides,
        }
    }

    /// Latency to the first token above which a request is slow, in milliseconds.
    pub fn first_token_reference_ms(&self, rollout: RolloutTag, route: RouteTag) -> Option<u64> {
        let references = self.references.get(&(rollout, route))?;
        references.first_token.reference_ms()
    }

    /// Merges what another instance sent and returns the counters that grew.
    ///
    /// Merging is idempotent and commutative. The process's own counters and the sums of its own
    /// region are not taken from others.
    pub fn merge(&mut self, digest: &Digest) -> Vec<Change> {
        for suspicion in &digest.suspicions {
            self.suspect(*suspicion);
        }
        for (rollout, verdict) in &digest.verdicts {
            self.note_verdict(*rollout, *verdict);
        }
        let mut changes = Vec::new();
        let own_origin = self.origin;
        for origin in digest.origins.iter().filter(|o| o.origin != own_origin) {
            let stratum = Stratum::Origin(origin.origin);
            self.merge_cells(&stratum, &origin.cells, &mut changes);
        }
        let own_region = self.region.clone();
        for region in digest.regions.iter().filter(|r| r.region != own_region) {
            let stratum = Stratum::Region(region.region.clone());
            self.merge_cells(&stratum, &region.cells, &mut changes);
        }
        changes
    }

    fn merge_cells(&mut self, stratum: &Stratum, cells: &[RouteCell], changes: &mut Vec<Change>) {
        for heard in cells {
            let key = (stratum.clone(), (heard.rollout, heard.route));
            let cell = self.cells.entry(key).or_default();
            let merged = cell.sides.max(&heard.sides);
            if merged == cell.sides {
                continue;
            }
            cell.sides = merged;
            cell.sends_left = SENDS_OF_A_CHANGE;
            changes.push(Change {
                rollout: heard.rollout,
                route: heard.route,
                stratum: stratum.clone(),
                sides: merged,
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
    pub fn note_verdict(&mut self, rollout: RolloutTag, verdict: Verdict) {
        let noted = *self.verdicts.entry(rollout).or_insert(verdict);
        assert_eq!(noted, verdict, "a verdict is never left");
    }

    /// The verdict on `rollout` that stands in the store, as far as it was heard of.
    pub fn verdict(&self, rollout: RolloutTag) -> Option<Verdict> {
        self.verdicts.get(&rollout).copied()
    }

    /// News for a peer of the region: changed counters, at most `max_cells` of them, those sent
    /// least often first.
    pub fn news_for_region(&mut self, max_cells: usize) -> Digest {
        let mut changed: Vec<_> = self
            .cells
            .iter_mut()
            .filter(|(_, cell)| cell.sends_left > 0)
            .collect();
        changed.sort_by_key(|(_, cell)| u8::MAX - cell.sends_left);
        changed.truncate(max_cells);
        let mut digest = Digest::default();
        for ((stratum, key), cell) in changed {
            cell.sends_left -= 1;
            push(&mut digest, stratum, *key, cell.sides);
        }
        self.with_flags(digest)
    }

    /// Sums over the own region, for a peer of another region.
    pub fn news_for_other_region(&self) -> Digest {
        let mut sums: BTreeMap<CellKey, Sides> = BTreeMap::new();
        for ((stratum, key), cell) in &self.cells {
            if matches!(stratum, Stratum::Origin(_)) {
                let sum = sums.entry(*key).or_default();
                *sum = sum.plus(&cell.sides);
            }
        }
        let mut digest = Digest::default();
        let own = Stratum::Region(self.region.clone());
        for (key, sides) in sums {
            push(&mut digest, &own, key, sides);
        }
        self.with_flags(digest)
    }

    /// Everything, for a peer of the region that has just started.
    pub fn snapshot(&self) -> Digest {
        let mut digest = Digest::default();
        for ((stratum, key), cell) in &self.cells {
            push(&mut digest, stratum, *key, cell.sides);
        }
        self.with_flags(digest)
    }

    /// Drops the evidence of all rollouts but `current`. Suspicions and verdicts stay as long as
    /// their rollout does.
    pub fn retain(&mut self, current: &BTreeSet<RolloutTag>) {
        self.references.retain(|(tag, _), _| current.contains(tag));
        self.cells.retain(|(_, (tag, _)), _| current.contains(tag));
        self.suspicions.retain(|tag, _| current.contains(tag));
        self.verdicts.retain(|tag, _| current.contains(tag));
    }

    fn with_flags(&self, digest: Digest) -> Digest {
        Digest {
            suspicions: self.suspicions.values().copied().collect(),
            verdicts: self.verdicts.iter().map(|(t, v)| (*t, *v)).collect(),
            ..digest
        }
    }
}

fn slowness(reference: &mut LatencyReference, side: Side, latency: Option<u64>) -> Option<bool> {
    let latency_ms = latency?;
    let is_slow = reference
        .reference_ms()
        .map(|limit_ms| latency_ms > limit_ms);
    if side == Side::Old {
        reference.record(latency_ms);
    }
    is_slow
}

fn push(digest: &mut Digest, stratum: &Stratum, (rollout, route): CellKey, sides: Sides) {
    let cell = RouteCell {
        rollout,
        route,
        sides,
    };
    match stratum {
        Stratum::Origin(origin) => match digest.origins.last_mut() {
            Some(last) if last.origin == *origin => last.cells.push(cell),
            _ => digest.origins.push(OriginCells {
                origin: *origin,
                cells: vec![cell],
            }),
        },
        Stratum::Region(region) => match digest.regions.last_mut() {
            Some(last) if last.region == *region => last.cells.push(cell),
            _ => digest.regions.push(RegionCells {
                region: region.clone(),
                cells: vec![cell],
            }),
        },
    }
}
