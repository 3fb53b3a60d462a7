//! Exchange of evidence between instances.

use super::detector::ANSWERED_LATELY_MS;
use super::evidence::{EngineCrash, Sighting};
use super::holds::to_u32;
use super::{AnsweredPart, Crash, CrashDetector, CrashReport, HoldChange, PartId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Period for which own crashes and answers are repeated, in milliseconds.
const REPEAT_MS: u64 = 2_000;
/// Period in which [`CrashDetector::report`] lists the same held parts, in milliseconds.
const HELD_TURN_MS: u64 = 500;
/// Maximum number of crashes in a report.
const MAX_REPORTED_CRASHES: usize = 12;
/// Maximum number of parts of all crashes in a report.
const MAX_REPORTED_PARTS: usize = 64;
/// Maximum number of answered parts in a report.
const MAX_REPORTED_ANSWERS: usize = 24;
/// Maximum number of held parts in a report.
const MAX_REPORTED_HOLDS: usize = 12;

impl CrashDetector {
    /// Evidence for other instances.
    pub fn report(&self, now: Millis) -> CrashReport {
        CrashReport {
            crashes: self.reported_crashes(now),
            answered: self.reported_answers(now),
            held: self
                .holds
                .report(MAX_REPORTED_HOLDS, now.0 / HELD_TURN_MS, now),
        }
    }

    /// Takes in the evidence of another instance.
    pub fn receive(&mut self, report: &CrashReport, now: Millis) -> Vec<HoldChange> {
        let mut changes = Vec::new();
        let mut is_changed = false;
        for crash in report.crashes.iter().take(MAX_REPORTED_CRASHES) {
            let at = time_before(now, crash.age_ms);
            let parts = &crash.parts[..crash.parts.len().min(MAX_REPORTED_PARTS)];
            is_changed |= self.add_crash(crash.engine, parts, at, false);
        }
        for answer in report.answered.iter().take(MAX_REPORTED_ANSWERS) {
            let at = time_before(now, answer.age_ms);
            self.last_answer = self.last_answer.max(Some(at));
            if !self.holds.contains(answer.part) || self.holds.is_refuted(answer.part, at) {
                self.evidence.record_reported_answer(answer.part, at);
                self.clear(answer.part, at, now, &mut changes);
            }
        }
        for held in report.held.iter().take(MAX_REPORTED_HOLDS) {
            if self.holds.adopt(*held, self.answers.last(held.part), now) {
                is_changed = true;
                changes.push(HoldChange::Held {
                    part: held.part,
                    crashes: self.evidence.count(held.part),
                    for_ms: u64::from(held.left_ms),
                });
            }
        }
        if is_changed {
            self.note_reports();
        }
        self.decide_if_due(&mut changes, now);
        changes
    }

    /// Own crashes, newest first, without the parts that were answered here since.
    fn reported_crashes(&self, now: Millis) -> Vec<Crash> {
        let mut room = MAX_REPORTED_PARTS;
        let mut crashes = Vec::new();
        for crash in self.evidence.crashes().rev() {
            if room == 0 || crashes.len() >= MAX_REPORTED_CRASHES {
                break;
            }
            if let Some(reported) = self.reported_crash(crash, room, now) {
                room -= reported.parts.len();
                crashes.push(reported);
            }
        }
        crashes
    }

    fn reported_crash(&self, crash: &EngineCrash, room: usize, now: Millis) -> Option<Crash> {
        let own = || {
            let sightings = crash.sightings.iter();
            sightings.filter(|s| s.is_own && now.since(s.at) <= REPEAT_MS)
        };
        let first_at = own().map(|s| s.at).min()?;
        let is_answered = |s: &Sighting| self.answers.last(s.part).is_some_and(|at| at >= s.at);
        Some(Crash {
            engine: crash.engine,
            age_ms: to_u32(now.since(first_at)),
            parts: own()
                .filter(|s| !is_answered(s))
                .map(|s| s.part)
                .take(room)
                .collect(),
        })
    }

    /// Recent answers with parts of crashes, those of most crashes first, and answers that others
    /// seem not to know.
    fn reported_answers(&self, now: Millis) -> Vec<AnsweredPart> {
        let mut answers: BTreeMap<PartId, Millis> = BTreeMap::new();
        for sighting in self.evidence.crashes().flat_map(|c| &c.sightings) {
            let Some(at) = self.answers.last(sighting.part) else {
                continue;
            };
            let is_new = at >= sighting.at && now.since(at) <= REPEAT_MS;
            // An answer from before a crash does not clear the part, but tells it apart from a
            // part that no instance has answered.
            let is_asked_for =
                now.since(sighting.at) <= REPEAT_MS && now.since(at) <= ANSWERED_LATELY_MS;
            if is_new || is_asked_for {
                answers.insert(sighting.part, at);
            }
        }
        answers.extend(self.holds.disputed(REPEAT_MS, now));
        let mut answers: Vec<(PartId, Millis)> = answers.into_iter().collect();
        answers.sort_by_key(|(part, _)| {
            let is_evidence_only = self.holds.released_at(*part).is_none();
            (is_evidence_only, u32::MAX - self.evidence.sightings(*part))
        });
        answers
            .into_iter()
            .take(MAX_REPORTED_ANSWERS)
            .map(|(part, at)| AnsweredPart {
                part,
                age_ms: to_u32(now.since(at)),
            })
            .collect()
    }
}

fn time_before(now: Millis, age_ms: u32) -> Millis {
    Millis(now.0.saturating_sub(u64::from(age_ms)))
}
