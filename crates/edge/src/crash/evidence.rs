//! Recording of crashes and first outputs, and exchange of this evidence with other instances.

use crate::{
    hash::short_hash,
    log::Event,
    node::{Node, State},
    rollout::Verdict,
    upstream::{Stage, Upstream},
};
use carobwheel_core::crash::{CrashReport, HoldChange, PartId};

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
    /// Records that a request with these shared parts has got its first output.
    pub(super) fn note_first_output(&self, parts: &[PartId]) {
        let now = self.now();
        let (changes, is_cleared) = {
            let mut state = self.state.borrow_mut();
            let crashes = &mut state.crashes;
            let before = crashes.suspect_count() + crashes.held_count();
            let changes = crashes.answered(parts, now);
            (
                changes,
                crashes.suspect_count() + crashes.held_count() < before,
            )
        };
        self.log_hold_changes(&changes, Source::Own);
        if is_cleared {
            self.links.announce();
        }
    }

    /// Records that an engine's connection broke while a request with these shared parts waited
    /// for its first output. Planned ends of engines are no evidence.
    pub(super) fn note_crash(&self, request: &str, upstream: &str, engine: u32, parts: &[PartId]) {
        let now = self.now();
        let (changes, at_upstream) = {
            let mut state = self.state.borrow_mut();
            let known = state.upstreams.by_id.get(upstream);
            if known.is_some_and(|known| state.is_end_planned(known)) {
                return;
            }
            let at_upstream = known.map_or(0, |known| known.own.requests);
            (state.crashes.crashed(engine, parts, now), at_upstream)
        };
        self.metrics.crashes_seen.add(1);
        self.log.event(Event::CrashSeen {
            request,
            upstream,
            parts: &parts
                .iter()
                .map(|part| part_name(*part))
                .collect::<Vec<_>>(),
            at_upstream,
        });
        self.log_hold_changes(&changes, Source::Own);
        self.links.announce();
    }

    /// Applies the evidence of another instance.
    pub fn receive_crash_report(&self, report: &CrashReport) {
        if *report == CrashReport::default() {
            return;
        }
        let now = self.now();
        let changes = self.state.borrow_mut().crashes.receive(report, now);
        self.log_hold_changes(&changes, Source::Member);
    }

    /// Drops expired evidence and logs the holds that have lapsed.
    pub fn expire_crashes(&self) {
        let now = self.now();
        let changes = self.state.borrow_mut().crashes.expire(now);
        self.log_hold_changes(&changes, Source::Time);
    }

    fn log_hold_changes(&self, changes: &[HoldChange], source: Source) {
        let source = source.name();
        for change in changes {
            match *change {
                HoldChange::Held {
                    part,
                    crashes,
                    for_ms,
                } => self.log.event(Event::PartHeld {
                    part: &part_name(part),
                    crashes,
                    for_ms,
                    source,
                }),
                HoldChange::Released { part } => self.log.event(Event::PartReleased {
                    part: &part_name(part),
                    source,
                }),
                HoldChange::Lapsed { part } => self.log.event(Event::HoldLapsed {
                    part: &part_name(part),
                    source,
                }),
            }
        }
    }
}

impl State {
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

/// Name of a part in the log: its identifier in hexadecimal, as callers state it.
pub(super) fn part_name(part: PartId) -> String {
    format!("{part:x}")
}
