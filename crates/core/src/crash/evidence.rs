//! Recent crashes, and the number of separate crashes that speak against each part.

use super::times::CrashTimes;
use super::PartId;
use crate::time::Millis;
use std::collections::{HashMap, VecDeque};

/// Period for which a crash counts, in milliseconds.
pub(super) const EVIDENCE_LIFE_MS: u64 = 60_000;
/// Difference of reported times that is ignored, in milliseconds.
const TIME_ERROR_MS: u64 = 50;
/// Period before a part's first crash in which other crashes are counted, in milliseconds.
const LOOK_BACK_MS: u64 = 10_000;
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
    pub(super) at: Millis,
    pub(super) sightings: Vec<Sighting>,
}

impl EngineCrash {
    /// Times at which connections to the engine broke, one for each group.
    fn times(&self) -> Vec<Millis> {
        let sightings = self.sightings.iter().map(|s| s.at);
        CrashTimes::new(sightings.chain([self.at]).collect()).groups
    }
}

/// Evidence on one part that occurs in a kept crash.
#[derive(Clone, Copy, Debug, Default)]
struct PartEvidence {
    /// Number of kept crashes with the part.
    sightings: u32,
    /// Sightings up to this time do not count.
    cleared_until: Option<Millis>,
    /// Last answer that another instance has reported.
    reported_answer: Option<Millis>,
    /// Number of separate crashes that count.
    count: u32,
    /// Number of separate crashes that count, each weighed, in thousandths.
    weight: u32,
    /// Number of other unexplained crashes since [`LOOK_BACK_MS`] before the first that counts.
    others: u32,
    /// First sighting that counts.
    first_at: Millis,
}

/// Part against which crashes count.
#[derive(Clone, Copy, Debug)]
pub(super) struct CountedPart {
    pub(super) part: PartId,
    /// Number of separate crashes.
    pub(super) count: u32,
    /// Separate crashes in thousandths: a crash weighs less the more engines without the part
    /// crashed at the same time.
    pub(super) weight: u32,
    /// Number of other unexplained crashes since [`LOOK_BACK_MS`] before the first.
    pub(super) others: u32,
    pub(super) first_at: Millis,
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

    /// Index of the crash of an engine, which is added if it is new.
    pub(super) fn crash_index(&mut self, engine: u32, at: Millis) -> usize {
        let Some(index) = self.crashes.iter().position(|c| c.engine == engine) else {
            return self.push_crash(engine, at);
        };
        let known = &mut self.crashes[index];
        known.at = known.at.min(at);
        index
    }

    /// Whether the part is known to have waited on the engine at about this time or earlier.
    pub(super) fn is_known(&self, index: usize, sighting: Sighting) -> bool {
        self.crashes[index].sightings.iter().any(|s| {
            s.part == sighting.part
                && s.at.since(sighting.at) <= TIME_ERROR_MS
                && (s.is_own || !sighting.is_own)
        })
    }

    /// Adds a part to a crash. Returns whether the evidence has changed.
    pub(super) fn add(
        &mut self,
        index: usize,
        sighting: Sighting,
        cleared_until: Option<Millis>,
    ) -> bool {
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

    fn push_crash(&mut self, engine: u32, at: Millis) -> usize {
        if self.crashes.len() >= MAX_CRASHES {
            if let Some(oldest) = self.crashes.pop_front() {
                oldest.sightings.iter().for_each(|s| self.forget(s.part));
            }
        }
        self.crashes.push_back(EngineCrash {
            engine,
            at,
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
        self.crashes
            .retain(|c| !c.sightings.is_empty() || now.since(c.at) <= EVIDENCE_LIFE_MS);
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

    /// Records an answer that another instance has reported.
    pub(super) fn record_reported_answer(&mut self, part: PartId, at: Millis) {
        if let Some(evidence) = self.parts.get_mut(&part) {
            evidence.reported_answer = evidence.reported_answer.max(Some(at));
        }
    }

    /// Last answer that another instance has reported.
    pub(super) fn reported_answer(&self, part: PartId) -> Option<Millis> {
        self.parts.get(&part).and_then(|e| e.reported_answer)
    }

    /// Number of separate crashes that speak against a part.
    pub(super) fn count(&self, part: PartId) -> u32 {
        self.parts.get(&part).map_or(0, |e| e.count)
    }

    /// Number of kept crashes with a part, whether or not they count.
    pub(super) fn sightings(&self, part: PartId) -> u32 {
        self.parts.get(&part).map_or(0, |e| e.sightings)
    }

    /// Parts with at least `min_count` separate crashes.
    pub(super) fn counted(&self, min_count: u32) -> impl Iterator<Item = CountedPart> + '_ {
        self.parts
            .iter()
            .filter(move |(_, e)| e.count >= min_count)
            .map(|(part, e)| CountedPart {
                part: *part,
                count: e.count,
                weight: e.weight,
                others: e.others,
                first_at: e.first_at,
            })
    }

    /// Counts the separate crashes of each part. Crashes of engines on which a held part waited
    /// count against no other part.
    pub(super) fn recount(&mut self, is_held: impl Fn(PartId) -> bool) {
        let mut times: HashMap<PartId, Vec<Millis>> = HashMap::new();
        let mut unexplained = Vec::new();
        for crash in &self.crashes {
            let is_explained = crash.sightings.iter().any(|s| is_held(s.part));
            if !is_explained {
                unexplained.extend(crash.times());
            }
            for sighting in &crash.sightings {
                let cleared = self.parts.get(&sighting.part).and_then(|e| e.cleared_until);
                let is_cleared = cleared.is_some_and(|until| sighting.at <= until);
                if !is_cleared && (!is_explained || is_held(sighting.part)) {
                    times.entry(sighting.part).or_default().push(sighting.at);
                }
            }
        }
        let unexplained = CrashTimes::new(unexplained);
        for (part, evidence) in &mut self.parts {
            let times = CrashTimes::new(times.remove(part).unwrap_or_default());
            let first_at = times.times.first().copied().unwrap_or_default();
            evidence.first_at = first_at;
            evidence.count = times.groups.len() as u32;
            evidence.weight = times.weight_among(&unexplained);
            let from = Millis(first_at.0.saturating_sub(LOOK_BACK_MS));
            let all = unexplained.groups_since(from);
            evidence.others = all.saturating_sub(evidence.count);
        }
    }
}
