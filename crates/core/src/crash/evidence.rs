//! Recent crashes, and the number of separate crashes that speak against each part.

use super::PartId;
use crate::time::Millis;
use std::collections::{HashMap, VecDeque};

/// Period for which a crash counts, in milliseconds.
pub(super) const EVIDENCE_LIFE_MS: u64 = 60_000;
/// Crashes of a part less than this after the first of a group belong to the group, in
/// milliseconds: engines that are stopped together count once.
pub(super) const GROUP_MS: u64 = 200;
/// Maximum number of crashes that are kept.
pub(super) const MAX_CRASHES: usize = 128;
/// Maximum number of parts that are kept for a crash.
pub(super) const MAX_PARTS_PER_CRASH: usize = 32;

/// A part that waited for its first output on an engine that crashed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sighting {
    pub(super) part: PartId,
    pub(super) at: Millis,
    pub(super) is_own: bool,
}

/// Crash of one engine process.
#[derive(Clone, Debug)]
pub(super) struct EngineCrash {
    pub(super) engine: u32,
    pub(super) sightings: Vec<Sighting>,
}

/// Evidence on one part that occurs in a kept crash.
#[derive(Clone, Copy, Debug, Default)]
struct PartEvidence {
    /// Number of kept crashes with the part.
    sightings: u32,
    /// Sightings up to this time do not count.
    cleared_until: Option<Millis>,
    /// Number of separate crashes that count.
    count: u32,
    /// First sighting that counts.
    first_at: Millis,
}

/// Crashes of the last minute. Its size is bounded by [`MAX_CRASHES`] and [`MAX_PARTS_PER_CRASH`].
#[derive(Clone, Debug, Default)]
pub(super) struct CrashEvidence {
    crashes: VecDeque<EngineCrash>,
    parts: HashMap<PartId, PartEvidence>,
}

impl CrashEvidence {
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Number of sightings and of parts.
    pub(super) fn len(&self) -> usize {
        let sightings: usize = self.crashes.iter().map(|c| c.sightings.len()).sum();
        sightings + self.parts.len()
    }

    pub(super) fn crashes(&self) -> impl DoubleEndedIterator<Item = &EngineCrash> {
        self.crashes.iter()
    }

    /// Adds a part to the crash of an engine. Returns whether the evidence has changed.
    pub(super) fn add(
        &mut self,
        engine: u32,
        sighting: Sighting,
        cleared_until: Option<Millis>,
    ) -> bool {
        let index = match self.crashes.iter().position(|c| c.engine == engine) {
            Some(index) => index,
            None => self.push_crash(engine),
        };
        let kept = &mut self.crashes[index].sightings;
        if let Some(known) = kept.iter_mut().find(|s| s.part == sighting.part) {
            let is_earlier = sighting.at < known.at;
            let is_newly_own = sighting.is_own && !known.is_own;
            known.at = known.at.min(sighting.at);
            known.is_own |= sighting.is_own;
            return is_earlier || is_newly_own;
        }
        if kept.len() >= MAX_PARTS_PER_CRASH && !self.make_room(index, sighting.part) {
            return false;
        }
        self.crashes[index].sightings.push(sighting);
        let evidence = self.parts.entry(sighting.part).or_default();
        evidence.sightings += 1;
        evidence.cleared_until = evidence.cleared_until.max(cleared_until);
        true
    }

    fn push_crash(&mut self, engine: u32) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            if let Some(oldest) = self.crashes.pop_front() {
                oldest.sightings.iter().for_each(|s| self.forget(s.part));
            }
        }
        self.crashes.push_back(EngineCrash {
            engine,
            sightings: Vec::new(),
        });
        self.crashes.len() - 1
    }

    /// Replaces a part that occurs in this crash only, if `part` occurs in others.
    fn make_room(&mut self, index: usize, part: PartId) -> bool {
        if !self.parts.contains_key(&part) {
            return false;
        }
        let parts = &self.parts;
        let is_lone = |s: &Sighting| parts.get(&s.part).is_none_or(|e| e.sightings <= 1);
        let Some(lone) = self.crashes[index].sightings.iter().position(is_lone) else {
            return false;
        };
        let removed = self.crashes[index].sightings.swap_remove(lone);
        self.forget(removed.part);
        true
    }

    fn forget(&mut self, part: PartId) {
        if let Some(evidence) = self.parts.get_mut(&part) {
            evidence.sightings = evidence.sightings.saturating_sub(1);
            if evidence.sightings == 0 {
                self.parts.remove(&part);
            }
        }
    }

    /// Drops expired sightings. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Millis) -> bool {
        let is_expired = |s: &Sighting| now.since(s.at) > EVIDENCE_LIFE_MS;
        let mut expired = Vec::new();
        for crash in &mut self.crashes {
            expired.extend(
                crash
                    .sightings
                    .iter()
                    .filter(|s| is_expired(s))
                    .map(|s| s.part),
            );
            crash.sightings.retain(|s| !is_expired(s));
        }
        self.crashes.retain(|crash| !crash.sightings.is_empty());
        expired.iter().for_each(|part| self.forget(*part));
        !expired.is_empty()
    }

    /// Ignores sightings of a part up to `until`. The count of the part is 0 until the next
    /// [`Self::recount`]. Returns whether anything counted against the part.
    pub(super) fn clear(&mut self, part: PartId, until: Millis) -> bool {
        let Some(evidence) = self.parts.get_mut(&part) else {
            return false;
        };
        evidence.cleared_until = evidence.cleared_until.max(Some(until));
        evidence.count > 0
    }

    /// Number of separate crashes that speak against a part.
    pub(super) fn count(&self, part: PartId) -> u32 {
        self.parts.get(&part).map_or(0, |e| e.count)
    }

    /// Number of kept crashes with a part, whether or not they count.
    pub(super) fn sightings(&self, part: PartId) -> u32 {
        self.parts.get(&part).map_or(0, |e| e.sightings)
    }

    /// Parts with at least `min_count` separate crashes: part, count, time of the first.
    pub(super) fn counted(
        &self,
        min_count: u32,
    ) -> impl Iterator<Item = (PartId, u32, Millis)> + '_ {
        self.parts
            .iter()
            .filter(move |(_, e)| e.count >= min_count)
            .map(|(part, e)| (*part, e.count, e.first_at))
    }

    /// Counts the separate crashes of each part. Crashes of engines on which a held part waited
    /// count against no other part.
    pub(super) fn recount(&mut self, is_held: impl Fn(PartId) -> bool) {
        let mut times: HashMap<PartId, Vec<Millis>> = HashMap::new();
        for crash in &self.crashes {
            let is_explained = crash.sightings.iter().any(|s| is_held(s.part));
            for sighting in &crash.sightings {
                let cleared = self.parts.get(&sighting.part).and_then(|e| e.cleared_until);
                let is_cleared = cleared.is_some_and(|until| sighting.at <= until);
                if !is_cleared && (!is_explained || is_held(sighting.part)) {
                    times.entry(sighting.part).or_default().push(sighting.at);
                }
            }
        }
        for (part, evidence) in &mut self.parts {
            let times = times.remove(part).unwrap_or_default();
            (evidence.count, evidence.first_at) = count_groups(times);
        }
    }
}

/// Number of groups, and the first time.
fn count_groups(mut times: Vec<Millis>) -> (u32, Millis) {
    times.sort_unstable();
    let Some(first) = times.first().copied() else {
        return (0, Millis(0));
    };
    let mut start = first;
    let mut count = 1;
    for at in times {
        if at.since(start) >= GROUP_MS {
            start = at;
            count += 1;
        }
    }
    (count, first)
}
