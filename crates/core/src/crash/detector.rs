//! Evidence on prompt parts, and the decision whether a request may be sent.

use super::answers::RecentAnswers;
use super::evidence::{CountedPart, CrashEvidence, Sighting};
use super::holds::Holds;
use super::in_flight::InFlight;
use super::{Gate, HoldChange, PartId};
use crate::time::Millis;

/// Number of separate crashes from which a part is suspected.
pub(super) const SUSPECT_CRASHES: u32 = 2;
/// Weight of separate crashes from which a part is held if there are no other unexplained crashes,
/// in thousandths.
const HOLD_WEIGHT: u32 = 3_000;
/// Additional weight for each other unexplained crash around or after the part's first, in
/// thousandths.
const WEIGHT_PER_OTHER: u32 = 500;
/// Maximum of the weight from which a part is held, in thousandths.
const MAX_HOLD_WEIGHT: u32 = 7_000;
/// The same for a whole request. Three crashes may be followed by three more sends, of which one is
/// the repeat after the first crash.
const MAX_REQUEST_HOLD_WEIGHT: u32 = 5_000;
/// Weight from which a part is held again after its hold has lapsed, in thousandths.
const RENEW_WEIGHT: u32 = 500;
/// Period for which an answer speaks for a repeat, in milliseconds.
pub(super) const ANSWERED_LATELY_MS: u64 = 30_000;

/// Shortest time between two decisions on reports and answers, in milliseconds. A decision counts all
/// evidence anew, and in a large fleet reports come every few milliseconds.
const DECISION_INTERVAL_MS: u64 = 50;

/// What crashes are counted against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashSubject {
    /// A part of prompts, which many requests share.
    #[default]
    PromptPart,
    /// A whole request, by its fingerprint. All requests with one fingerprint are alike, so one
    /// repeat after the first crash is no risk to others, and each crash counts in full.
    Request,
}

impl CrashSubject {
    /// All kinds of subjects.
    pub const ALL: [Self; 2] = [Self::PromptPart, Self::Request];
}

/// Evidence of one instance on prompt parts, from its own requests and from other instances. The
/// evidence on whole requests is kept in a detector of its own, in which a part is a fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    subject: CrashSubject,
    pub(super) in_flight: InFlight,
    pub(super) answers: RecentAnswers,
    pub(super) evidence: CrashEvidence,
    pub(super) holds: Holds,
    /// Last answer known here, with whatever parts.
    pub(super) last_answer: Option<Millis>,
    /// Whether a part has enough crashes to be held, but there was no answer since the first.
    needs_answer: bool,
    /// Whether an answer has changed what counts since the last decision.
    needs_recount: bool,
    /// Whether other instances have reported evidence since the last decision.
    has_new_reports: bool,
    /// Time and number of the decisions.
    decided_at: Option<Millis>,
    decisions: u64,
}

impl CrashDetector {
    /// Detector without evidence.
    pub fn new(subject: CrashSubject) -> Self {
        Self {
            subject,
            ..Self::default()
        }
    }

    /// Whether nothing is known of crashes and nothing is held.
    pub fn is_quiet(&self) -> bool {
        self.evidence.is_empty() && self.holds.is_empty()
    }

    /// Decides on a request with these shared parts (all parts of its prompt but the last).
    pub fn gate(&self, parts: &[PartId], now: Millis) -> Gate {
        if self.is_quiet() {
            return Gate::Open;
        }
        let held = |part: &PartId| Some((*part, self.holds.left_ms(*part, now)?));
        if let Some((part, left_ms)) = parts.iter().find_map(held) {
            return Gate::Held { part, left_ms };
        }
        let must_wait = |part: &&PartId| {
            self.in_flight.contains(**part)
                && (self.is_suspected(**part) || self.holds.is_lapsed(**part, now))
        };
        match parts.iter().find(must_wait) {
            Some(part) => Gate::Wait { part: *part },
            None => Gate::Open,
        }
    }

    /// Records that a request with these shared parts is sent to an engine. Call
    /// [`Self::send_ended`] once for each call of this.
    pub fn sent(&mut self, parts: &[PartId], _now: Millis) {
        self.in_flight.add(parts);
    }

    /// Records that a send no longer waits for its first output, whatever the outcome.
    pub fn send_ended(&mut self, parts: &[PartId]) {
        self.in_flight.remove(parts);
    }

    /// Records that a request with these shared parts has got its first output.
    pub fn answered(&mut self, parts: &[PartId], now: Millis) -> Vec<HoldChange> {
        self.last_answer = self.last_answer.max(Some(now));
        let mut changes = Vec::new();
        for part in parts {
            self.answers.insert(*part, now);
            self.clear(*part, now, now, &mut changes);
        }
        self.decide_if_due(&mut changes, now);
        changes
    }

    /// Records that the connection to an engine broke before the first output of a request with
    /// these shared parts. Several requests of one crash are merged by `engine`, the hash of the
    /// engine's identifier and of the start time of its process.
    pub fn crashed(&mut self, engine: u32, parts: &[PartId], now: Millis) -> Vec<HoldChange> {
        let mut changes = Vec::new();
        if self.add_crash(engine, parts, now, true) {
            self.decide(&mut changes, now);
        }
        changes
    }

    /// Drops expired evidence and lets holds lapse.
    pub fn expire(&mut self, now: Millis) -> Vec<HoldChange> {
        let mut changes = Vec::new();
        self.end_holds(&mut changes, now);
        if self.evidence.expire(now) || !changes.is_empty() {
            self.decide(&mut changes, now);
        } else {
            self.decide_if_due(&mut changes, now);
        }
        changes
    }

    /// Number of entries of all tables, for a metric of the memory in use.
    pub fn entry_count(&self) -> usize {
        self.in_flight.len() + self.answers.len() + self.evidence.len() + self.holds.len()
    }

    /// Number of times at which all evidence was counted, for a metric.
    pub fn decision_count(&self) -> u64 {
        self.decisions
    }

    /// Number of parts that are held.
    pub fn held_count(&self) -> usize {
        self.holds.held_count()
    }

    /// Number of parts that are suspected but not held.
    pub fn suspect_count(&self) -> usize {
        self.evidence
            .counted(SUSPECT_CRASHES)
            .filter(|counted| !self.holds.is_active(counted.part))
            .count()
    }

    /// Whether a request with the part got its first output from this instance in the last 30 s.
    pub fn is_answered_lately(&self, part: PartId, now: Millis) -> bool {
        self.answers
            .last(part)
            .is_some_and(|at| now.since(at) <= ANSWERED_LATELY_MS)
    }

    /// Whether a request under which an engine ended may be sent again. Such a request is itself
    /// the likeliest cause of the crash, so each of its shared parts must have been answered
    /// lately, or no crash may speak against it; nor may any be suspected or held. A whole request
    /// is sent again until it is suspected. Call this after [`Self::crashed`].
    pub fn may_repeat(&self, parts: &[PartId], now: Millis) -> bool {
        parts.iter().all(|part| {
            let count = self.evidence.count(*part);
            let is_cleared = match self.subject {
                CrashSubject::PromptPart => count == 0 || self.is_answered_lately(*part, now),
                CrashSubject::Request => true,
            };
            is_cleared && count < SUSPECT_CRASHES && !self.holds.contains(*part)
        })
    }

    fn is_suspected(&self, part: PartId) -> bool {
        self.evidence.count(part) >= SUSPECT_CRASHES
    }

    /// Adds a crash of an engine under these parts. Returns whether the evidence has changed.
    pub(super) fn add_crash(
        &mut self,
        engine: u32,
        parts: &[PartId],
        at: Millis,
        is_own: bool,
    ) -> bool {
        let index = self.evidence.crash_index(engine, at);
        let mut is_changed = false;
        for part in parts {
            let part = *part;
            let sighting = Sighting { part, at, is_own };
            if !self.evidence.is_known(index, sighting) {
                let cleared_until = self
                    .answers
                    .last(part)
                    .max(self.holds.released_at(part))
                    .max(self.holds.lapsed_at(part));
                is_changed |= self.evidence.add(index, sighting, cleared_until);
            }
        }
        is_changed
    }

    /// Takes in an answer with the part: crashes until then do not count, and a hold ends.
    pub(super) fn clear(
        &mut self,
        part: PartId,
        answered_at: Millis,
        now: Millis,
        changes: &mut Vec<HoldChange>,
    ) {
        let has_counted = self.evidence.clear(part, answered_at);
        let is_released = self.holds.contains(part) && self.holds.release(part, answered_at, now);
        if is_released {
            changes.push(HoldChange::Released { part });
        }
        self.needs_recount |= has_counted || is_released;
    }

    /// Records that other instances have reported evidence.
    pub(super) fn note_reports(&mut self) {
        self.has_new_reports = true;
    }

    /// Decides on reports and answers, unless the last decision was a moment ago. Then the next report,
    /// answer or call of [`Self::expire`] leads to one.
    pub(super) fn decide_if_due(&mut self, changes: &mut Vec<HoldChange>, now: Millis) {
        let has_news = self.has_new_reports || self.needs_recount || self.needs_answer;
        let is_due = self
            .decided_at
            .is_none_or(|at| now.since(at) >= DECISION_INTERVAL_MS);
        if has_news && is_due {
            self.decide(changes, now);
        }
    }

    /// Lets holds lapse. Crashes of requests that were sent before do not renew them.
    fn end_holds(&mut self, changes: &mut Vec<HoldChange>, now: Millis) {
        for part in self.holds.expire(now) {
            self.evidence
                .clear(part, self.holds.lapsed_at(part).unwrap_or(now));
            changes.push(HoldChange::Lapsed { part });
        }
    }

    /// Counts the crashes of each part and holds those with the most, until none is left that the
    /// held ones do not explain.
    pub(super) fn decide(&mut self, changes: &mut Vec<HoldChange>, now: Millis) {
        self.needs_recount = false;
        self.has_new_reports = false;
        self.decided_at = Some(now);
        self.decisions += 1;
        self.end_holds(changes, now);
        loop {
            let holds = &self.holds;
            self.evidence.recount(|part| holds.is_held(part, now));
            let suspects = self.parts_to_hold(now);
            if suspects.is_empty() {
                return;
            }
            for (part, crashes) in suspects {
                let for_ms = self.holds.hold(part, now);
                changes.push(HoldChange::Held {
                    part,
                    crashes,
                    for_ms,
                });
            }
        }
    }

    /// Parts that must be held and against which most crashes count, with their numbers. Of parts
    /// with the same weight, those that no instance is known to have answered lately come first.
    fn parts_to_hold(&mut self, now: Millis) -> Vec<(PartId, u32)> {
        let mut suspects: Vec<CountedPart> = self
            .evidence
            .counted(1)
            .filter(|counted| {
                !self.holds.is_held(counted.part, now)
                    && self.weight_of(counted) >= self.weight_to_hold(counted, now)
            })
            .collect();
        let count_before = suspects.len();
        suspects.retain(|counted| self.last_answer.is_some_and(|at| at >= counted.first_at));
        self.needs_answer = suspects.len() < count_before;
        let most = suspects.iter().map(|counted| self.weight_of(counted)).max();
        suspects.retain(|counted| Some(self.weight_of(counted)) == most);
        let is_lately = |counted: &CountedPart| {
            let last = self.answers.last(counted.part);
            let last = last.max(self.evidence.reported_answer(counted.part));
            last.is_some_and(|at| now.since(at) <= ANSWERED_LATELY_MS)
        };
        if !suspects.iter().all(is_lately) {
            suspects.retain(|counted| !is_lately(counted));
        }
        suspects.sort_unstable_by_key(|counted| counted.part);
        suspects.iter().map(|c| (c.part, c.count)).collect()
    }

    fn weight_to_hold(&self, counted: &CountedPart, now: Millis) -> u32 {
        if self.holds.is_lapsed(counted.part, now) {
            return RENEW_WEIGHT;
        }
        let max_weight = match self.subject {
            CrashSubject::PromptPart => MAX_HOLD_WEIGHT,
            CrashSubject::Request => MAX_REQUEST_HOLD_WEIGHT,
        };
        (HOLD_WEIGHT + counted.others * WEIGHT_PER_OTHER).min(max_weight)
    }

    /// Weight of the crashes that count, in thousandths.
    fn weight_of(&self, counted: &CountedPart) -> u32 {
        match self.subject {
            CrashSubject::PromptPart => counted.weight,
            CrashSubject::Request => counted.count * 1_000,
        }
    }
}
