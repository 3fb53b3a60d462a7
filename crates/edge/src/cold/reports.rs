//! Reports between the instances of a region about upstreams that have probably restarted.

use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Time for which own evidence is reported, in milliseconds. Datagrams may be lost.
const REPORTED_MS: u64 = 2_000;
/// Time after a report within which further evidence on the same process is not reported, in
/// milliseconds.
const REPEAT_MS: u64 = 900;
/// Extension of the cold time that is reported at once, in milliseconds.
const MIN_EXTENSION_MS: u64 = 500;
/// Maximum number of reports of one instance.
const MAX_OWN: usize = 32;
/// Maximum number of processes that are kept.
const MAX_KEPT: usize = 512;

/// Report that an upstream's process has probably ended, and that the next one is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Process that the reporter knows; see [`Upstream::process_key`](crate::upstream::Upstream).
    pub process: u32,
    /// Time for which the upstream counts as cold, in milliseconds.
    pub left_ms: u32,
    /// Age of the evidence without the time in transit, in milliseconds.
    pub age_ms: u32,
}

impl ColdReport {
    /// The report as it is `ms` milliseconds later; `None` once the cold time is over.
    pub fn aged(self, ms: u32) -> Option<Self> {
        let left_ms = self.left_ms.checked_sub(ms).filter(|left| *left > 0)?;
        Some(Self {
            left_ms,
            age_ms: self.age_ms.saturating_add(ms),
            ..self
        })
    }
}

#[derive(Clone, Copy, Debug)]
struct Evidence {
    at: Millis,
    until: Millis,
    is_own: bool,
}

/// Evidence of restarts by the process that has ended, own and heard.
#[derive(Clone, Debug, Default)]
pub struct ColdReports {
    by_process: HashMap<u32, Evidence>,
}

impl ColdReports {
    /// Records own evidence that the process has ended and that its upstream is cold for `left_ms`
    /// milliseconds. Returns whether it has to be reported: others may have reported the same.
    pub fn record_own(&mut self, process: u32, left_ms: u64, now: Millis) -> bool {
        self.by_process.retain(|_, known| known.until > now);
        let until = now.plus(left_ms);
        let known = self.by_process.get(&process);
        let is_told = known.is_some_and(|known| {
            now.since(known.at) < REPEAT_MS && until.since(known.until) < MIN_EXTENSION_MS
        });
        if is_told || self.by_process.len() >= MAX_KEPT {
            return false;
        }
        let evidence = Evidence {
            at: now,
            until,
            is_own: true,
        };
        self.by_process.insert(process, evidence);
        true
    }

    /// Records another instance's report.
    pub fn record_heard(&mut self, report: ColdReport, now: Millis) {
        self.by_process.retain(|_, known| known.until > now);
        let heard = Evidence {
            at: Millis(now.0.saturating_sub(u64::from(report.age_ms))),
            until: now.plus(u64::from(report.left_ms)),
            is_own: false,
        };
        let known = self.by_process.get(&report.process);
        let is_newer = known.is_none_or(|known| heard.at > known.at);
        if is_newer && (known.is_some() || self.by_process.len() < MAX_KEPT) {
            self.by_process.insert(report.process, heard);
        }
    }

    /// Own reports, the latest ones first.
    pub fn own(&self, now: Millis) -> Vec<ColdReport> {
        let ms = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let is_current = |known: &Evidence| known.until > now && now.since(known.at) <= REPORTED_MS;
        let own = self.by_process.iter();
        let own = own.filter(|(_, known)| known.is_own && is_current(known));
        let mut reports: Vec<ColdReport> = own
            .map(|(process, known)| ColdReport {
                process: *process,
                left_ms: ms(known.until.since(now)),
                age_ms: ms(now.since(known.at)),
            })
            .collect();
        reports.sort_by_key(|report| (report.age_ms, report.process));
        reports.truncate(MAX_OWN);
        reports
    }
}
