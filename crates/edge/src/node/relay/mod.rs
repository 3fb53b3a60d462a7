//! Urgent reports of other instances, which delegates pass on.

mod report;
mod table;

pub use report::RelayedReport;
pub use table::{ReportCursor, ReportRelay};

use super::{Gossip, Node, State};
use crate::member::MemberEntry;
use carobwheel_core::{crash::CrashSubject, time::Millis};
use std::sync::Arc;

/// Largest number of reports that are applied of one message.
const MAX_RELAYED: usize = 64;

impl Node {
    /// Applies the reports that a delegate has passed on. Several delegates pass on the same one.
    pub(super) fn receive_relayed(&self, reports: Vec<RelayedReport>) {
        let now = self.now();
        for report in reports.into_iter().take(MAX_RELAYED) {
            if !self.state.borrow().relay.is_news(&report, now) {
                continue;
            }
            self.metrics.reports_applied.add(1);
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
                self.receive_cold(&name, &report.cold);
            }
            self.receive_crash_report(CrashSubject::PromptPart, &report.crashes);
            self.receive_crash_report(CrashSubject::Request, &report.request_crashes);
            self.keep_report(report);
        }
    }

    /// Keeps what an instance reports of itself, to pass it on.
    pub(super) fn keep_own_report_of(&self, key: u32, made_at: Millis, gossip: &Gossip) {
        self.keep_report(RelayedReport::of(gossip, made_at, key));
    }

    fn keep_report(&self, report: RelayedReport) {
        let now = self.now();
        let is_urgent = {
            let mut state = self.state.borrow_mut();
            let has_new_fact = state.relay.keep(report, now);
            state.topology.is_delegate && has_new_fact
        };
        if is_urgent {
            self.links.announce();
        }
    }
}

impl State {
    /// Reports to pass on to the target: those of the own region to other regions, otherwise all.
    pub(super) fn relayed_reports(
        &self,
        node: &Node,
        target: &MemberEntry,
        cursor: &mut ReportCursor,
        now: Millis,
    ) -> Vec<RelayedReport> {
        let target_key = target.key();
        let is_of_region = |key: u32| {
            let sender = self.members.by_key(key);
            sender.is_some_and(|sender| sender.entry.region == node.region)
        };
        let prepare = |report: &RelayedReport| {
            if target.region == node.region {
                return (report.key != target_key).then(|| report.clone());
            }
            let report = is_of_region(report.key).then(|| report.clone().without_region_parts())?;
            (!report.is_empty()).then_some(report)
        };
        self.relay.reports(cursor, prepare, now)
    }
}
