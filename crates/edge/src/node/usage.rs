//! Counting of requests by account, and the exchange of the counts with other instances.

use super::{gossip::DutyReport, Node, State};
use crate::{
    duty::DutyKind,
    hash::short_hash,
    member::{Member, MemberEntry},
    pipeline::RequestContext,
    settings::Settings,
    usage::{Usage, UsageOwner, UsageTarget},
};
use carobwheel_core::{
    fleet::role_order,
    time::Millis,
    usage::{Recipient, ReportTimes},
};
use std::{collections::BTreeSet, sync::Arc};

/// Instances of each region that collect the counters of its instances. The holder of the duty is one of
/// them; the second one replaces the first.
const COLLECTORS_PER_REGION: usize = 2;

impl Settings {
    /// Times of usage reports, if the deployment wants them.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn usage_times(&self) -> Option<ReportTimes> {
        let duties = self.duties.as_ref()?;
        let is_wanted = duties.kinds.contains(&DutyKind::UsageReport);
        is_wanted.then_some(ReportTimes {
            window_ms: ((duties.window_s * 1_000.0) as u64).max(1),
            late_ms: (duties.late_s * 1_000.0) as u64,
        })
    }
}

/// Counters of the instance with this entry, if the deployment wants them.
pub(crate) fn usage_of(
    settings: &Settings,
    entry: &MemberEntry,
    start_unix_ms: u64,
) -> Option<Usage> {
    let owner = UsageOwner {
        process: entry.key(),
        region: short_hash(&entry.region),
        start_unix_ms,
    };
    Some(Usage::new(owner, settings.usage_times()?))
}

impl Node {
    /// Counts a request that an upstream has begun to run for an account. Further attempts of it do not
    /// count.
    pub fn note_run(&self, ctx: &RequestContext) {
        let boot_now = self.clock.boot_now();
        let mut state = self.state.borrow_mut();
        let Some(usage) = &mut state.usage else {
            return;
        };
        if !ctx.meta.account.is_empty() && !ctx.is_counted.replace(true) {
            usage.record(&ctx.meta.account, boot_now);
            self.metrics.usage.requests.add(1);
        }
    }

    /// Input of the duties for the next message to an instance.
    pub(super) fn duty_report_for(&self, target: &MemberEntry) -> Option<DutyReport> {
        let now = self.now();
        let times = (self.clock.boot_now(), now);
        let mut state = self.state.borrow_mut();
        let is_same_region = target.region == self.region;
        let is_delegate = state.topology.region_delegates.contains(&*target.name);
        let recipient = state.recipient(self, target, now);
        let is_leaving = state.leaving_at.is_some();
        let member = state.members.by_name.get(&target.name);
        let target = UsageTarget {
            process: target.key(),
            recipient,
            config_version: member.map(|member| member.config_version),
        };
        let usage = state
            .usage
            .as_mut()
            .and_then(|usage| usage.message(target, is_leaving, times));
        let unmet = match &state.scaling {
            Some(scaling) if is_same_region && is_delegate => scaling.own_unmet(short_hash, now),
            Some(_) | None => Vec::new(),
        };
        let report = DutyReport { usage, unmet };
        (report != DutyReport::default()).then_some(report)
    }

    /// Applies the input of duties in a message of the instance `name`.
    pub(super) fn receive_duty_report(&self, name: &Arc<str>, report: DutyReport) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(sender) = state.members.by_name.get(name) else {
            return;
        };
        let (key, region) = (sender.key, Arc::clone(&sender.entry.region));
        if let (Some(usage), Some(message)) = (&mut state.usage, report.usage) {
            usage.receive(key, short_hash(&region), message);
        }
        if let Some(scaling) = state.scaling.as_mut().filter(|_| region == self.region) {
            scaling.receive_unmet(name, report.unmet, now);
        }
    }

    /// Follows the time and the instance's role in the collection of counters.
    pub(super) fn tick_usage(&self) {
        let now = self.now();
        let boot_now = self.clock.boot_now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        if state.usage.is_none() {
            return;
        }
        let collectors = state.collectors(self, &self.region, now);
        let is_collector = collectors.contains(&self.name);
        let members = &state.members;
        if let Some(usage) = &mut state.usage {
            usage.tick(state.config.as_deref(), is_collector, boot_now);
            usage.retain_links(|key| members.by_key(key).is_some());
            self.metrics
                .usage
                .counters
                .set(usage.table.counters() as u64);
            self.metrics.usage.left_out.set(usage.table.left_out());
        }
    }
}

impl State {
    /// What an instance is told of the counters.
    fn recipient(&self, node: &Node, target: &MemberEntry, now: Millis) -> Recipient {
        if self.usage.is_none()
            || !self
                .collectors(node, &target.region, now)
                .contains(&target.name)
        {
            return Recipient::Nobody;
        }
        if target.region == node.region {
            Recipient::OwnCollector
        } else {
            Recipient::OtherCollector
        }
    }

    /// Instances that collect the counters of a region: the first ones that are up, as for the watches of the
    /// store. Those that follow the store come first, since a holder needs it.
    fn collectors(&self, node: &Node, region: &str, now: Millis) -> BTreeSet<Arc<str>> {
        let of_member = |member: &Member| {
            let entry = &member.entry;
            (
                member.has_store,
                entry.processor_millicores,
                Arc::clone(&entry.name),
            )
        };
        let mut all: Vec<(bool, u32, Arc<str>)> =
            self.members.up_in(region, now).map(of_member).collect();
        if region == &*node.region && self.leaving_at.is_none() {
            let millicores = node.settings.processor.millicores();
            all.push((self.follows_upstreams(), millicores, Arc::clone(&node.name)));
        }
        all.sort_by(|(a_store, a_size, a), (b_store, b_size, b)| {
            (!a_store, role_order(*a_size, a)).cmp(&(!b_store, role_order(*b_size, b)))
        });
        let first = all.into_iter().take(COLLECTORS_PER_REGION);
        first.map(|(_, _, name)| name).collect()
    }

    /// Whether all regions with an instance that is up have told their counts of a window.
    pub(crate) fn is_usage_complete(&self, node: &Node, window: u64, now: Millis) -> bool {
        let Some(usage) = &self.usage else {
            return false;
        };
        let known: BTreeSet<u32> = usage
            .table
            .other_regions(window)
            .map(|(region, _)| region)
            .collect();
        let members = self.members.by_name.values();
        let mut up = members.filter(|member| self.members.is_up(member, now));
        up.all(|member| {
            member.entry.region == node.region || known.contains(&short_hash(&member.entry.region))
        })
    }
}
