//! What an instance reports of itself for all others.

use crate::{
    cold::ColdReport,
    node::{limits::KeyedLimitReport, Gossip},
};
use carobwheel_core::{
    crash::{CrashReport, PartId},
    time::Millis,
    upstream_limit::LimitReport,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Size of a prompt part and of another item of a report in a message, in bytes.
const PART_BYTES: usize = 10;
const ITEM_BYTES: usize = 14;

/// Report of an instance about crashes, limits and leaving upstreams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RelayedReport {
    /// Identifies the process of the instance; see [`MemberEntry::key`].
    pub key: u32,
    /// Time on the clock of that process at which the report was made; 0 if its build, or that of an instance
    /// that has passed it on, does not tell. Tells copies apart from news. Appended to the encoded message.
    #[serde(skip)]
    pub made_at: Millis,
    /// Age of the report without the time in transit, in milliseconds.
    pub age_ms: u32,
    /// Evidence on prompt parts that crash engines.
    pub crashes: CrashReport,
    /// Evidence on whole requests that crash upstreams.
    pub request_crashes: CrashReport,
    /// Reports about limited upstreams; empty between regions.
    pub limits: Vec<KeyedLimitReport>,
    /// Processes of upstreams that have stated that they are leaving; empty between regions.
    pub leaving: Vec<u32>,
    /// Reports of upstreams that have probably restarted; empty between regions. Appended to the encoded
    /// message.
    #[serde(skip)]
    pub cold: Vec<ColdReport>,
}

/// Fact that all instances have to hear of before their next message is due. Several instances may
/// report the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Fact {
    /// An engine's process has crashed on some request.
    Crash(u32),
    HeldPart(PartId),
    HeldRequest(PartId),
    /// An upstream's process is leaving.
    Leaving(u32),
    /// An upstream's process has probably ended.
    Cold(u32),
}

impl RelayedReport {
    pub(super) fn of(gossip: &Gossip, made_at: Millis, key: u32) -> Self {
        Self {
            key,
            made_at,
            age_ms: 0,
            crashes: gossip.crashes.clone(),
            request_crashes: gossip.additions.request_crashes.clone(),
            limits: gossip.additions.limits.clone(),
            leaving: gossip.additions.leaving.clone(),
            cold: gossip.additions.cold.clone(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.crashes == CrashReport::default()
            && self.request_crashes == CrashReport::default()
            && self.limits.is_empty()
            && self.leaving.is_empty()
            && self.cold.is_empty()
    }

    pub(super) fn facts(&self) -> impl Iterator<Item = Fact> + '_ {
        let crashes = self.crashes.crashes.iter();
        let request_crashes = self.request_crashes.crashes.iter();
        let crashes = crashes.chain(request_crashes);
        let held = self.crashes.held.iter();
        let held_requests = self.request_crashes.held.iter();
        let leaving = self.leaving.iter();
        let cold = self.cold.iter();
        crashes
            .map(|crash| Fact::Crash(crash.engine))
            .chain(held.map(|held| Fact::HeldPart(held.part)))
            .chain(held_requests.map(|held| Fact::HeldRequest(held.part)))
            .chain(leaving.map(|key| Fact::Leaving(*key)))
            .chain(cold.map(|report| Fact::Cold(report.process)))
    }

    /// Approximate size in a message, in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        let of_crashes = |report: &CrashReport| {
            let parts: usize = report.crashes.iter().map(|crash| crash.parts.len()).sum();
            let listed = report.crashes.len() + report.answered.len() + report.held.len();
            PART_BYTES * parts + ITEM_BYTES * listed
        };
        let listed = self.limits.len() + self.leaving.len() + self.cold.len();
        ITEM_BYTES * (1 + listed) + of_crashes(&self.crashes) + of_crashes(&self.request_crashes)
    }

    /// The report as it is `ms` milliseconds later.
    pub(super) fn aged(&self, ms: u32) -> Self {
        let later = |(key, report): &KeyedLimitReport| {
            let age_ms = report.age_ms.map(|age_ms| age_ms.saturating_add(ms));
            (*key, LimitReport { age_ms, ..*report })
        };
        Self {
            key: self.key,
            made_at: self.made_at,
            age_ms: self.age_ms.saturating_add(ms),
            crashes: self.crashes.aged(ms),
            request_crashes: self.request_crashes.aged(ms),
            limits: self.limits.iter().map(later).collect(),
            leaving: self.leaving.clone(),
            cold: self.cold.iter().filter_map(|cold| cold.aged(ms)).collect(),
        }
    }

    pub(super) fn without_region_parts(mut self) -> Self {
        self.limits.clear();
        self.leaving.clear();
        self.cold.clear();
        self
    }
}

/// Whether a report names crashes, parts, limits or upstreams that the one before did not. Answers and ages
/// change all the time, and are passed on with the next message that has all reports.
pub(super) fn has_other_subjects(before: &RelayedReport, report: &RelayedReport) -> bool {
    let rates = |report: &RelayedReport| -> Vec<(u32, f32)> {
        let limits = report.limits.iter();
        limits
            .map(|(key, limit)| (*key, limit.rate_per_s))
            .collect()
    };
    adds_evidence(&before.crashes, &report.crashes)
        || adds_evidence(&before.request_crashes, &report.request_crashes)
        || rates(before) != rates(report)
        || before.leaving != report.leaving
        || has_other_processes(&before.cold, &report.cold)
}

/// Whether reports of restarts name other processes than those before.
fn has_other_processes(before: &[ColdReport], reports: &[ColdReport]) -> bool {
    let processes = |reports: &[ColdReport]| -> HashSet<u32> {
        reports.iter().map(|report| report.process).collect()
    };
    processes(before) != processes(reports)
}

/// Whether a report on crashes has a sighting or a hold that the one before did not have.
fn adds_evidence(before: &CrashReport, report: &CrashReport) -> bool {
    let sightings = |report: &CrashReport| -> HashSet<(u32, Option<PartId>)> {
        let crashes = report.crashes.iter();
        crashes
            .flat_map(|crash| {
                let parts = crash.parts.iter().map(|part| Some(*part));
                parts.chain([None]).map(|part| (crash.engine, part))
            })
            .collect()
    };
    let held = |report: &CrashReport| -> HashSet<PartId> {
        report.held.iter().map(|held| held.part).collect()
    };
    !sightings(report).is_subset(&sightings(before)) || !held(report).is_subset(&held(before))
}
