//! Urgent reports of other instances, which delegates pass on.

use super::{limits::KeyedLimitReport, Gossip, Node, State};
use crate::member::MemberEntry;
use carobwheel_core::{
    crash::{CrashReport, CrashSubject},
    time::Millis,
    upstream_limit::LimitReport,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Longest age of a report that is passed on, in milliseconds.
const MAX_RELAYED_AGE_MS: u32 = 2_000;
/// Largest number of reports in one message.
const MAX_RELAYED: usize = 64;

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

/// A report and the time of its arrival.
#[derive(Clone, Debug)]
pub struct KeptReport {
    report: RelayedReport,
    at: Millis,
}

impl KeptReport {
    fn age_ms(&self, now: Millis) -> u32 {
        let kept_ms = u32::try_from(now.since(self.at)).unwrap_or(u32::MAX);
        self.report.age_ms.saturating_add(kept_ms)
    }
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
        let mut state = self.state.borrow_mut();
        if state.topology.is_delegate && state.keep_report(report, now) {
            drop(state);
            self.links.announce();
        }
    }
}

impl State {
    /// Keeps a report unless a newer one is known. Returns whether it has news for others.
    fn keep_report(&mut self, report: RelayedReport, now: Millis) -> bool {
        self.relayed
            .retain(|_, kept| kept.age_ms(now) <= MAX_RELAYED_AGE_MS);
        let known = self.relayed.get(&report.key);
        if known.is_some_and(|known| known.age_ms(now) <= report.age_ms) {
            return false;
        }
        if report.is_empty() {
            self.relayed.remove(&report.key);
            return false;
        }
        let is_news = known.is_none_or(|known| has_other_subjects(&known.report, &report));
        let kept = KeptReport { report, at: now };
        self.relayed.insert(kept.report.key, kept);
        is_news
    }

    /// Reports to pass on to the target: those of the own region to other regions, otherwise all.
    pub(super) fn relayed_reports(
        &self,
        node: &Node,
        target: &MemberEntry,
        now: Millis,
    ) -> Vec<RelayedReport> {
        if self.relayed.is_empty() {
            return Vec::new();
        }
        let is_same_region = target.region == node.region;
        let target_key = target.key();
        let is_of_region = |key: u32| {
            let sender = self.members.by_key(key);
            sender.is_some_and(|sender| sender.entry.region == node.region)
        };
        let mut kept: Vec<&KeptReport> = self
            .relayed
            .values()
            .filter(|kept| {
                let key = kept.report.key;
                key != target_key && (is_same_region || is_of_region(key))
            })
            .filter(|kept| kept.age_ms(now) <= MAX_RELAYED_AGE_MS)
            .collect();
        kept.sort_by_key(|kept| kept.age_ms(now));
        let newest = kept.into_iter().take(MAX_RELAYED).map(|kept| {
            let kept_ms = u32::try_from(now.since(kept.at)).unwrap_or(u32::MAX);
            kept.report.aged(kept_ms)
        });
        if is_same_region {
            newest.collect()
        } else {
            newest
                .map(RelayedReport::without_region_parts)
                .filter(|report| !report.is_empty())
                .collect()
        }
    }
}

/// Whether two reports of an instance name other crashes, parts, limits or upstreams. Ages alone are no
/// news.
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
