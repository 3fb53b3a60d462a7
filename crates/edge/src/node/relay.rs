//! Urgent reports of other instances, which delegates pass on.

use super::{limits::KeyedLimitReport, Gossip, Node, State};
use crate::member::MemberEntry;
use carobwheel_core::{
    crash::{CrashReport, CrashSubject, PartId},
    time::Millis,
    upstream_limit::LimitReport,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// Longest age of a report that is passed on, in milliseconds.
const MAX_RELAYED_AGE_MS: u32 = 2_000;
/// Largest number of reports in one message.
const MAX_RELAYED: usize = 64;
/// Time for which a fact is not announced again, in milliseconds.
const ANNOUNCED_MS: u64 = 10_000;
/// Largest number of facts that are kept as announced. Further ones wait for the next message.
const MAX_ANNOUNCED: usize = 4_096;

/// Report of an instance about crashes, limits and leaving upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// Identifies the process of the instance; see [`MemberEntry::key`].
    pub key: u32,
    /// Age of the report, in milliseconds.
    pub age_ms: u32,
    /// Evidence on prompt parts that crash engines.
    pub crashes: CrashReport,
    /// Evidence on whole requests that crash upstreams.
    pub request_crashes: CrashReport,
    /// Reports about limited upstreams; empty between regions.
    pub limits: Vec<KeyedLimitReport>,
    /// Processes of upstreams that have stated that they are leaving; empty between regions.
    pub leaving: Vec<u32>,
}

/// A report, the time of its arrival and that of its last change.
#[derive(Clone, Debug)]
struct KeptReport {
    report: RelayedReport,
    at: Millis,
    changed_at: Millis,
}

impl KeptReport {
    fn kept_ms(&self, now: Millis) -> u32 {
        u32::try_from(now.since(self.at)).unwrap_or(u32::MAX)
    }

    fn age_ms(&self, now: Millis) -> u32 {
        self.report.age_ms.saturating_add(self.kept_ms(now))
    }
}

/// Fact that all instances have to hear of before their next message is due. Several instances may
/// report the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fact {
    /// An engine's process has crashed on some request.
    Crash(u32),
    HeldPart(PartId),
    HeldRequest(PartId),
    /// An upstream has stated a rate, given by its bits.
    Limit(u32, u32),
    /// An upstream's process is leaving.
    Leaving(u32),
}

/// Reports of other instances, which a delegate passes on.
#[derive(Debug, Default)]
pub struct ReportRelay {
    /// Reports by the key of the sender's process.
    kept: HashMap<u32, KeptReport>,
    /// Facts that were announced lately, and when.
    announced: HashMap<Fact, Millis>,
}

impl RelayedReport {
    fn of(gossip: &Gossip, key: u32) -> Self {
        Self {
            key,
            age_ms: 0,
            crashes: gossip.crashes.clone(),
            request_crashes: gossip.additions.request_crashes.clone(),
            limits: gossip.additions.limits.clone(),
            leaving: gossip.additions.leaving.clone(),
        }
    }

    fn is_empty(&self) -> bool {
        self.crashes == CrashReport::default()
            && self.request_crashes == CrashReport::default()
            && self.limits.is_empty()
            && self.leaving.is_empty()
    }

    fn facts(&self) -> impl Iterator<Item = Fact> + '_ {
        let crashes = self.crashes.crashes.iter();
        let request_crashes = self.request_crashes.crashes.iter();
        let crashes = crashes.chain(request_crashes);
        let held = self.crashes.held.iter();
        let held_requests = self.request_crashes.held.iter();
        let limits = self.limits.iter();
        let leaving = self.leaving.iter();
        crashes
            .map(|crash| Fact::Crash(crash.engine))
            .chain(held.map(|held| Fact::HeldPart(held.part)))
            .chain(held_requests.map(|held| Fact::HeldRequest(held.part)))
            .chain(limits.map(|(key, limit)| Fact::Limit(*key, limit.rate_per_s.to_bits())))
            .chain(leaving.map(|key| Fact::Leaving(*key)))
    }

    /// The report as it is `ms` milliseconds later.
    fn aged(&self, ms: u32) -> Self {
        let later = |(key, report): &KeyedLimitReport| {
            let age_ms = report.age_ms.map(|age_ms| age_ms.saturating_add(ms));
            (*key, LimitReport { age_ms, ..*report })
        };
        Self {
            key: self.key,
            age_ms: self.age_ms.saturating_add(ms),
            crashes: self.crashes.aged(ms),
            request_crashes: self.request_crashes.aged(ms),
            limits: self.limits.iter().map(later).collect(),
            leaving: self.leaving.clone(),
        }
    }

    fn without_region_parts(mut self) -> Self {
        self.limits.clear();
        self.leaving.clear();
        self
    }
}

impl Node {
    /// Applies the reports that a delegate has passed on.
    pub(super) fn receive_relayed(&self, reports: Vec<RelayedReport>) {
        for report in reports.into_iter().take(MAX_RELAYED) {
            let sender = {
                let state = self.state.borrow();
                let sender = state.members.by_key(report.key);
                sender.map(|member| (Arc::clone(&member.entry.name), member.entry.life))
            };
            // The sender may be a process that is not registered here yet. Its evidence on crashes
            // does not depend on who it is.
            if let Some((name, life)) = sender {
                self.receive_limits(&name, life, &report.limits);
                self.receive_leaving(&name, &report.leaving);
            }
            self.receive_crash_report(CrashSubject::PromptPart, &report.crashes);
            self.receive_crash_report(CrashSubject::Request, &report.request_crashes);
            self.keep_report(report);
        }
    }

    /// Keeps what an instance reports of itself, to pass it on.
    pub(super) fn keep_own_report_of(&self, key: u32, gossip: &Gossip) {
        self.keep_report(RelayedReport::of(gossip, key));
    }

    fn keep_report(&self, report: RelayedReport) {
        let now = self.now();
        let is_urgent = {
            let mut state = self.state.borrow_mut();
            state.topology.is_delegate && state.relay.keep(report, now)
        };
        if is_urgent {
            self.links.announce();
        }
    }
}

impl ReportRelay {
    /// Keeps a report unless a newer one of the same process is known. Returns whether it states a fact
    /// that has to be announced.
    pub fn keep(&mut self, report: RelayedReport, now: Millis) -> bool {
        self.kept
            .retain(|_, kept| kept.age_ms(now) <= MAX_RELAYED_AGE_MS);
        let known = self.kept.get(&report.key);
        if known.is_some_and(|known| known.age_ms(now) <= report.age_ms) {
            return false;
        }
        if report.is_empty() {
            self.kept.remove(&report.key);
            return false;
        }
        // Reports on limits count requests, so that each of them is news.
        let unchanged = known.filter(|known| {
            report.limits.is_empty() && !has_other_subjects(&known.report, &report)
        });
        let changed_at = unchanged.map_or(now, |known| known.changed_at);
        let is_urgent = self.announce_facts(&report, now);
        let kept = KeptReport {
            report,
            at: now,
            changed_at,
        };
        self.kept.insert(kept.report.key, kept);
        is_urgent
    }

    /// Records the facts of a report. Returns whether one of them was not announced lately.
    fn announce_facts(&mut self, report: &RelayedReport, now: Millis) -> bool {
        self.announced
            .retain(|_, at| now.since(*at) <= ANNOUNCED_MS);
        let mut is_new = false;
        for fact in report.facts() {
            if self.announced.len() >= MAX_ANNOUNCED {
                break;
            }
            is_new |= self.announced.insert(fact, now).is_none();
        }
        is_new
    }

    /// Reports whose senders `is_included` accepts by their keys, newest first: those that have changed
    /// since `since`, or all.
    pub fn reports(
        &self,
        since: Option<Millis>,
        is_included: impl Fn(u32) -> bool,
        now: Millis,
    ) -> Vec<RelayedReport> {
        let mut kept: Vec<&KeptReport> = self
            .kept
            .values()
            .filter(|kept| since.is_none_or(|since| kept.changed_at >= since))
            .filter(|kept| is_included(kept.report.key))
            .filter(|kept| kept.age_ms(now) <= MAX_RELAYED_AGE_MS)
            .collect();
        kept.sort_by_key(|kept| kept.age_ms(now));
        let newest = kept.into_iter().take(MAX_RELAYED);
        newest
            .map(|kept| kept.report.aged(kept.kept_ms(now)))
            .collect()
    }
}

impl State {
    /// Reports to pass on to the target: those of the own region to other regions, otherwise all.
    pub(super) fn relayed_reports(
        &self,
        node: &Node,
        target: &MemberEntry,
        since: Option<Millis>,
        now: Millis,
    ) -> Vec<RelayedReport> {
        let target_key = target.key();
        let is_of_region = |key: u32| {
            let sender = self.members.by_key(key);
            sender.is_some_and(|sender| sender.entry.region == node.region)
        };
        if target.region == node.region {
            return self.relay.reports(since, |key| key != target_key, now);
        }
        let reports = self.relay.reports(since, is_of_region, now);
        reports
            .into_iter()
            .map(RelayedReport::without_region_parts)
            .filter(|report| !report.is_empty())
            .collect()
    }
}

/// Whether two reports of an instance name other crashes, parts, limits or upstreams. Ages alone are no
/// change.
fn has_other_subjects(before: &RelayedReport, report: &RelayedReport) -> bool {
    let crashes = |report: &CrashReport| {
        let crashes: Vec<_> = report
            .crashes
            .iter()
            .map(|crash| (crash.engine, crash.parts.clone()))
            .collect();
        let answered: Vec<_> = report.answered.iter().map(|answer| answer.part).collect();
        let held: Vec<_> = report.held.iter().map(|held| held.part).collect();
        (crashes, answered, held)
    };
    let rates = |report: &RelayedReport| -> Vec<(u32, f32)> {
        let limits = report.limits.iter();
        limits
            .map(|(key, limit)| (*key, limit.rate_per_s))
            .collect()
    };
    crashes(&before.crashes) != crashes(&report.crashes)
        || crashes(&before.request_crashes) != crashes(&report.request_crashes)
        || rates(before) != rates(report)
        || before.leaving != report.leaving
}
