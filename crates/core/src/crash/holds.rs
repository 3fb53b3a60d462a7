//! Parts of which requests are refused, and parts whose hold has lapsed or was released.

use super::{HeldPart, PartId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Duration of a part's first hold, in milliseconds.
pub(super) const FIRST_HOLD_MS: u64 = 60_000;
/// Maximum duration of a hold, in milliseconds. Also the period after a lapse in which one further
/// crash holds the part again.
pub(super) const MAX_HOLD_MS: u64 = 900_000;
/// Maximum number of parts that are held or have lapsed.
pub(super) const MAX_HOLDS: usize = 64;
/// Maximum number of released parts that are remembered.
pub(super) const MAX_RELEASED: usize = 128;
/// Period by which a reported hold must be newer than an answer or a hold known here, in
/// milliseconds. Covers the delay of messages over several instances.
pub(super) const HOLD_AGE_ERROR_MS: u64 = 10_000;

/// Period by which a reported answer must be newer than a hold to end it, in milliseconds. Covers
/// the delay of the report.
const ANSWER_AGE_ERROR_MS: u64 = 1_000;
/// Period for which others are told of an answer before a hold that they still report is taken
/// over, in milliseconds.
const TELL_ANSWER_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct Hold {
    decided_at: Millis,
    until: Millis,
    duration_ms: u64,
    is_lapsed: bool,
}

/// Answer that released a part.
#[derive(Clone, Copy, Debug)]
struct Release {
    answered_at: Millis,
    /// First time at which others were to be told of this answer.
    told_since: Millis,
    /// Last time at which others were to be told of the answer.
    disputed_at: Millis,
}

/// Held, lapsed and released parts.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    holds: BTreeMap<PartId, Hold>,
    released: BTreeMap<PartId, Release>,
}

impl Holds {
    /// Time until the hold of a part lapses; `None` if it is not held.
    pub(super) fn left_ms(&self, part: PartId, now: Millis) -> Option<u64> {
        let hold = self.holds.get(&part)?;
        (!hold.is_lapsed && hold.until > now).then(|| hold.until.since(now))
    }

    pub(super) fn is_held(&self, part: PartId, now: Millis) -> bool {
        self.left_ms(part, now).is_some()
    }

    /// Whether the part's hold has lapsed without an answer since.
    pub(super) fn is_lapsed(&self, part: PartId, now: Millis) -> bool {
        self.holds
            .get(&part)
            .is_some_and(|hold| hold.is_lapsed || hold.until <= now)
    }

    pub(super) fn len(&self) -> usize {
        self.holds.len() + self.released.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// Whether the part is held, by the state of the last [`Self::expire`].
    pub(super) fn is_active(&self, part: PartId) -> bool {
        self.holds.get(&part).is_some_and(|hold| !hold.is_lapsed)
    }

    pub(super) fn held_count(&self) -> usize {
        self.holds.values().filter(|hold| !hold.is_lapsed).count()
    }

    /// End of a part's last hold, if it is over.
    pub(super) fn lapsed_at(&self, part: PartId) -> Option<Millis> {
        let hold = self.holds.get(&part)?;
        hold.is_lapsed.then_some(hold.until)
    }

    /// Last answer that released the part.
    pub(super) fn released_at(&self, part: PartId) -> Option<Millis> {
        self.released.get(&part).map(|r| r.answered_at)
    }

    /// Holds a part, for twice the time of its last hold. Returns the duration.
    pub(super) fn hold(&mut self, part: PartId, now: Millis) -> u64 {
        let last = self.holds.get(&part).map(|hold| hold.duration_ms);
        let duration_ms = last.map_or(FIRST_HOLD_MS, |ms| (ms * 2).min(MAX_HOLD_MS));
        self.insert(
            part,
            Hold {
                decided_at: now,
                until: now.plus(duration_ms),
                duration_ms,
                is_lapsed: false,
            },
        );
        duration_ms
    }

    /// Takes over a hold from another instance. Returns whether the part is newly held.
    pub(super) fn adopt(
        &mut self,
        reported: HeldPart,
        answered_at: Option<Millis>,
        now: Millis,
    ) -> bool {
        let left_ms = u64::from(reported.left_ms).min(MAX_HOLD_MS);
        let age_ms = u64::from(reported.age_ms);
        let decided_at = Millis(now.0.saturating_sub(age_ms));
        if left_ms == 0 {
            return false;
        }
        if let Some(answered_at) = answered_at.max(self.released_at(reported.part)) {
            let is_newer = decided_at > answered_at.plus(HOLD_AGE_ERROR_MS);
            if !is_newer && !self.is_upheld(reported.part, answered_at, decided_at, now) {
                self.release(reported.part, answered_at, now);
                return false;
            }
        }
        if let Some(known) = self.holds.get_mut(&reported.part) {
            if decided_at <= known.decided_at.plus(HOLD_AGE_ERROR_MS) {
                known.until = known.until.min(now.plus(left_ms));
                return false;
            }
        }
        let hold = Hold {
            decided_at,
            until: now.plus(left_ms),
            duration_ms: (left_ms + age_ms).min(MAX_HOLD_MS),
            is_lapsed: false,
        };
        self.insert(reported.part, hold);
        true
    }

    /// Whether a hold that seems little newer than an answer is still reported after the others
    /// have been told of the answer for [`TELL_ANSWER_MS`].
    fn is_upheld(
        &self,
        part: PartId,
        answered_at: Millis,
        decided_at: Millis,
        now: Millis,
    ) -> bool {
        decided_at > answered_at
            && self.released.get(&part).is_some_and(|release| {
                release.answered_at == answered_at
                    && now.since(release.told_since) >= TELL_ANSWER_MS
            })
    }

    /// Releases a part that was answered after its hold was decided, and remembers the answer if
    /// the part was known here or `now` is when others dispute it. Returns whether it was held.
    pub(super) fn release(&mut self, part: PartId, answered_at: Millis, now: Millis) -> bool {
        let known = self.holds.get(&part).copied();
        if known.is_some_and(|hold| answered_at < hold.decided_at) {
            return false;
        }
        self.holds.remove(&part);
        self.remember_release(part, answered_at, now);
        known.is_some_and(|hold| !hold.is_lapsed)
    }

    /// Whether an answer reported by another instance is newer than the part's hold.
    pub(super) fn is_refuted(&self, part: PartId, answered_at: Millis) -> bool {
        self.holds
            .get(&part)
            .is_some_and(|hold| answered_at >= hold.decided_at.plus(ANSWER_AGE_ERROR_MS))
    }

    /// Whether a hold of the part is known, lapsed or not.
    pub(super) fn contains(&self, part: PartId) -> bool {
        self.holds.contains_key(&part)
    }

    fn remember_release(&mut self, part: PartId, answered_at: Millis, now: Millis) {
        let known = self.released.get(&part).copied();
        let same = known.filter(|release| release.answered_at >= answered_at);
        let release = Release {
            answered_at: same.map_or(answered_at, |release| release.answered_at),
            told_since: same.map_or(now, |release| release.told_since),
            disputed_at: now,
        };
        self.released.insert(part, release);
        if self.released.len() > MAX_RELEASED {
            let oldest = self.released.iter().min_by_key(|(_, r)| r.disputed_at);
            if let Some(part) = oldest.map(|(part, _)| *part) {
                self.released.remove(&part);
            }
        }
    }

    /// Inserts a hold. If there are too many, a lapsed one makes room, or else the shortest.
    fn insert(&mut self, part: PartId, hold: Hold) {
        self.holds.insert(part, hold);
        if self.holds.len() > MAX_HOLDS {
            let rank = |hold: &Hold| (!hold.is_lapsed, hold.duration_ms, hold.until);
            let least = self.holds.iter().min_by_key(|(_, hold)| rank(hold));
            if let Some(part) = least.map(|(part, _)| *part) {
                self.holds.remove(&part);
            }
        }
    }

    /// Lets holds lapse and drops old entries. Returns the parts whose holds have lapsed.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<PartId> {
        let mut lapsed = Vec::new();
        for (part, hold) in &mut self.holds {
            if !hold.is_lapsed && hold.until <= now {
                hold.is_lapsed = true;
                lapsed.push(*part);
            }
        }
        self.holds
            .retain(|_, hold| now.since(hold.until) < MAX_HOLD_MS);
        self.released
            .retain(|_, r| now.since(r.disputed_at) < MAX_HOLD_MS);
        lapsed
    }

    /// Held parts for the report, at most `max`, all of them in turn over several reports.
    pub(super) fn report(&self, max: usize, turn: u64, now: Millis) -> Vec<HeldPart> {
        let held: Vec<HeldPart> = self
            .holds
            .iter()
            .filter(|(_, hold)| !hold.is_lapsed && hold.until > now)
            .map(|(part, hold)| HeldPart {
                part: *part,
                left_ms: to_u32(hold.until.since(now)),
                age_ms: to_u32(now.since(hold.decided_at)),
            })
            .collect();
        let skip = usize::try_from(turn).unwrap_or(0).wrapping_mul(max) % held.len().max(1);
        let count = held.len().min(max);
        held.into_iter().cycle().skip(skip).take(count).collect()
    }

    /// Released parts whose answers others are to be told of: part, time of the answer.
    pub(super) fn disputed(
        &self,
        period_ms: u64,
        now: Millis,
    ) -> impl Iterator<Item = (PartId, Millis)> + '_ {
        self.released
            .iter()
            .filter(move |(_, r)| now.since(r.disputed_at) <= period_ms)
            .map(|(part, r)| (*part, r.answered_at))
    }
}

/// Converts a duration for a report.
pub(super) fn to_u32(duration_ms: u64) -> u32 {
    u32::try_from(duration_ms).unwrap_or(u32::MAX)
}
