//! Recording of crashes and first outputs, and exchange of this evidence with other instances.

use super::{gate::subject_name, Fingerprint};
use crate::{
    hash::short_hash,
    log::Event,
    node::{Node, State},
    rollout::Verdict,
    upstream::{Stage, Upstream},
};
use carobwheel_core::crash::{CrashDetector, CrashReport, CrashSubject, HoldChange, PartId};

/// Identifies the process of an engine in messages between instances.
pub(super) fn engine_id(upstream: &str, started_unix_ms: Option<u64>) -> u32 {
    short_hash(&format!(
        "{upstream}/{}",
        started_unix_ms.unwrap_or_default()
    ))
}

/// Source of the evidence for a change, in the log.
#[derive(Clone, Copy)]
enum Source {
    /// A request of this instance.
    Own,
    /// Another instance.
    Member,
    /// Passage of time.
    Time,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Member => "member",
            Self::Time => "time",
        }
    }
}

impl Node {
    /// Records that a request with these shared parts and this fingerprint has got its first
    /// output.
    pub(super) fn note_first_output(&self, parts: &[PartId], fingerprint: &Fingerprint) {
        let now = self.now();
        let (part_changes, request_changes, is_cleared) = {
            let mut state = self.state.borrow_mut();
            let before = state.suspicion_count();
            let part_changes = if parts.is_empty() {
                Vec::new()
            } else {
                state.crashes.answered(parts, now)
            };
            let requests = &mut state.request_crashes;
            let request_changes = if requests.is_quiet() {
                Vec::new()
            } else {
                requests.answered(&[fingerprint.value()], now)
            };
            let is_cleared = state.suspicion_count() < before;
            (part_changes, request_changes, is_cleared)
        };
        self.log_hold_changes(CrashSubject::PromptPart, &part_changes, Source::Own);
        self.log_hold_changes(CrashSubject::Request, &request_changes, Source::Own);
        if is_cleared {
            self.links.announce();
        }
    }

    /// Records that an upstream's connection broke while a request with these shared parts and
    /// this fingerprint waited for its first output. `engine` identifies the upstream's process.
    /// Planned ends of upstreams are no evidence.
    pub(super) fn note_crash(
        &self,
        request: &str,
        (upstream, engine): (&str, u32),
        parts: &[PartId],
        fingerprint: PartId,
    ) {
        let now = self.now();
        let (part_changes, request_changes, at_upstream, is_new) = {
            let mut state = self.state.borrow_mut();
            let known = state.upstreams.by_id.get(upstream);
            if known.is_some_and(|known| state.is_end_planned(known)) {
                return;
            }
            let at_upstream = known.map_or(0, |known| known.own.requests);
            let part_changes = if parts.is_empty() {
                Vec::new()
            } else {
                state.crashes.crashed(engine, parts, now)
            };
            let requests = &mut state.request_crashes;
            let request_changes = requests.crashed(engine, &[fingerprint], now);
            let is_new = state.relay.announce_crash(engine, now);
            (part_changes, request_changes, at_upstream, is_new)
        };
        self.metrics.crashes_seen.add(1);
        self.log.event(Event::CrashSeen {
            request,
            upstream,
            parts: &parts
                .iter()
                .map(|part| part_name(*part))
                .collect::<Vec<_>>(),
            fingerprint: &part_name(fingerprint),
            at_upstream,
        });
        self.log_hold_changes(CrashSubject::PromptPart, &part_changes, Source::Own);
        self.log_hold_changes(CrashSubject::Request, &request_changes, Source::Own);
        if is_new {
            self.links.announce();
        }
    }

    /// Applies the evidence of another instance.
    pub fn receive_crash_report(&self, subject: CrashSubject, report: &CrashReport) {
        if *report == CrashReport::default() {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let changes = state.detector(subject).receive(report, now);
        drop(state);
        self.log_hold_changes(subject, &changes, Source::Member);
    }

    /// Drops expired evidence and logs the holds that have lapsed.
    pub fn expire_crashes(&self) {
        let now = self.now();
        for subject in CrashSubject::ALL {
            let changes = self.state.borrow_mut().detector(subject).expire(now);
            self.log_hold_changes(subject, &changes, Source::Time);
        }
    }

    fn log_hold_changes(&self, subject: CrashSubject, changes: &[HoldChange], source: Source) {
        for change in changes {
            match *change {
                HoldChange::Held {
                    part,
                    crashes,
                    for_ms,
                } => self.log_held(subject, part, (crashes, for_ms), source.name()),
                HoldChange::Released { part } => self.log_released(subject, part, source.name()),
                HoldChange::Lapsed { part } => self.log.event(Event::HoldLapsed {
                    part: &part_name(part),
                    subject: subject_name(subject),
                    source: source.name(),
                }),
            }
        }
    }

    fn log_held(
        &self,
        subject: CrashSubject,
        part: PartId,
        (crashes, for_ms): (u32, u64),
        source: &str,
    ) {
        let name = &part_name(part);
        self.log.event(match subject {
            CrashSubject::PromptPart => Event::PartHeld {
                part: name,
                crashes,
                for_ms,
                source,
            },
            CrashSubject::Request => Event::RequestHeld {
                fingerprint: name,
                crashes,
                for_ms,
                source,
            },
        });
    }

    fn log_released(&self, subject: CrashSubject, part: PartId, source: &str) {
        let name = &part_name(part);
        self.log.event(match subject {
            CrashSubject::PromptPart => Event::PartReleased { part: name, source },
            CrashSubject::Request => Event::RequestReleased {
                fingerprint: name,
                source,
            },
        });
    }
}

impl State {
    /// Evidence on this kind of subject.
    pub(super) fn detector(&mut self, subject: CrashSubject) -> &mut CrashDetector {
        match subject {
            CrashSubject::PromptPart => &mut self.crashes,
            CrashSubject::Request => &mut self.request_crashes,
        }
    }

    /// Number of suspected and held parts and requests.
    fn suspicion_count(&self) -> usize {
        let detectors = [&self.crashes, &self.request_crashes];
        let counts = detectors.map(|known| known.suspect_count() + known.held_count());
        counts.iter().sum()
    }

    /// Whether the engine is expected to stop: it drains, its data centre is evacuated, or the
    /// verdict of a rollout has retired its version.
    fn is_end_planned(&self, upstream: &Upstream) -> bool {
        let entry = &upstream.entry;
        let is_retired = self.trials.get(&entry.service).is_some_and(|trial| {
            let is_target = trial.order.target == entry.version;
            match trial.verdict {
                Verdict::Active => false,
                Verdict::Complete => !is_target,
                Verdict::Reverted => is_target,
            }
        });
        entry.stage == Stage::Draining
            || entry.time_left_ms.is_some()
            || self.evacuated.contains(&entry.data_centre)
            || is_retired
    }
}

/// Name of a part or fingerprint in the log: in hexadecimal, parts as callers state them.
pub(super) fn part_name(part: PartId) -> String {
    format!("{part:x}")
}
