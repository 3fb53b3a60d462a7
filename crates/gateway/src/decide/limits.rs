//! Upstreams that state a limit on the rate of requests from all instances.

use super::state::State;
use carobwheel_core::{
    id::{InstanceId, RegionId, UpstreamId},
    member::MemberView,
    time::Millis,
    upstream_limit::{LimitReport, LimitUsers, News, RateGate},
};
use carobwheel_wire::peer::Message;
use std::{collections::HashMap, sync::Arc};

/// Maximum size of an encoded message with reports, in bytes.
const MAX_REPORT_BYTES: usize = 16 * 1_024;

/// Reports about upstreams, with the incarnation of the sender.
type LimitMessage = (u64, Vec<(UpstreamId, LimitReport)>);

/// Limits of the upstreams that state one, by upstream.
#[derive(Default)]
pub(super) struct UpstreamLimits {
    gates: HashMap<UpstreamId, RateGate>,
}

/// Upstreams that may get no request now, because of their limits or because they are leaving.
#[derive(Default)]
pub(super) struct ClosedUpstreams {
    pub(super) ids: Vec<UpstreamId>,
    /// Time until the first limited one may get a request, in milliseconds.
    pub(super) wait_ms: u64,
}

impl State {
    /// Records what the response to a placed request states about the upstream's limit.
    pub(super) fn on_limit_news(&mut self, ticket: u64, news: News, now: Millis) {
        let Some(active) = self.active.get(&ticket) else {
            return;
        };
        let upstream = active.upstream.clone();
        let is_known = self.limits.gates.contains_key(&upstream);
        if !is_known && news == News::Unlimited {
            return;
        }
        let gate = self.limits.gates.entry(upstream.clone()).or_default();
        if gate.record_response(news, now) {
            log_change(&upstream, gate, &self.identity.id, now);
        }
    }

    /// Upstreams that may get no request from this instance now.
    pub(super) fn closed_upstreams(&self, now: Millis) -> ClosedUpstreams {
        let mut closed = ClosedUpstreams {
            ids: self.leaving.ids(now),
            wait_ms: 0,
        };
        for (id, gate) in &self.limits.gates {
            let users = self.limit_users(id);
            if gate.is_open(users, now) {
                continue;
            }
            if users.is_user {
                let wait_ms = gate.wait_ms(users, now).max(1);
                closed.wait_ms = match closed.wait_ms {
                    0 => wait_ms,
                    known_ms => known_ms.min(wait_ms),
                };
            }
            closed.ids.push(id.clone());
        }
        closed
    }

    /// Records that a request is sent to an upstream.
    pub(super) fn record_limited_send(&mut self, upstream: &UpstreamId, now: Millis) {
        if !self.limits.gates.contains_key(upstream) {
            return;
        }
        let users = self.limit_users(upstream);
        if let Some(gate) = self.limits.gates.get_mut(upstream) {
            gate.record_sent(users, now);
        }
    }

    /// Reports limited upstreams to the instances of the own region.
    pub(super) fn send_limit_reports(&mut self, now: Millis) {
        self.limits.gates.retain(|_, gate| gate.has_report(now));
        if self.limits.gates.is_empty() {
            return;
        }
        let reports = self.limits.gates.iter().filter_map(|(id, gate)| {
            let report = gate.report(self.limit_users(id).is_user, now)?;
            Some((id.clone(), report))
        });
        let message: LimitMessage = (self.me.incarnation, reports.collect());
        let Ok(bytes) = postcard::to_stdvec(&message) else {
            return;
        };
        if bytes.len() > MAX_REPORT_BYTES {
            log::warn!(bytes = bytes.len(); "reports about limited upstreams too large to send");
            return;
        }
        for member in self.region_members() {
            let identity = &member.identity;
            let message = Message::opaque(super::gossip::LIMIT_CHANNEL, bytes.clone());
            let addr = Some(identity.peer_addr);
            self.outputs.send(identity.instance.clone(), addr, message);
        }
    }

    /// Takes in the reports of another instance.
    pub(super) fn on_limit_reports(&mut self, from: &InstanceId, bytes: &[u8], now: Millis) {
        let message = (bytes.len() <= MAX_REPORT_BYTES)
            .then(|| postcard::from_bytes::<LimitMessage>(bytes).ok())
            .flatten();
        let Some((incarnation, reports)) = message else {
            log::warn!(from = from.as_str(); "malformed reports about limited upstreams ignored");
            return;
        };
        let peer: Arc<str> = from.as_str().into();
        for (upstream, report) in reports {
            if self.upstream_region(&upstream).is_none() {
                continue;
            }
            let users = self.limit_users(&upstream);
            let gate = self.limits.gates.entry(upstream.clone()).or_default();
            if gate.record_report(&peer, incarnation, &report, users, now) {
                log_change(&upstream, gate, from, now);
            }
        }
    }

    /// Region of an upstream of the document in force.
    fn upstream_region(&self, upstream: &UpstreamId) -> Option<&RegionId> {
        let document = &self.configured.as_ref()?.in_force.document;
        let mut upstreams = document.upstreams.iter();
        let known = upstreams.find(|known| known.id == *upstream)?;
        Some(&known.region)
    }

    /// Other running instances of the own region.
    pub(super) fn region_members(&self) -> Vec<MemberView> {
        let mut members = self.running_members();
        members.retain(|member| member.identity.region == self.identity.region);
        members
    }

    /// Instances that use the upstream while it is limited: a few of its region, by rendezvous
    /// hashing.
    fn limit_users(&self, upstream: &UpstreamId) -> LimitUsers {
        let members = self.region_members();
        let others = members
            .iter()
            .map(|member| member.identity.instance.as_str());
        let users = LimitUsers::choose(self.identity.id.as_str(), others, upstream.as_str());
        let is_near = self.upstream_region(upstream) == Some(&self.identity.region);
        LimitUsers {
            is_user: is_near && users.is_user,
            ..users
        }
    }
}

fn log_change(upstream: &UpstreamId, gate: &RateGate, heard_by: &InstanceId, now: Millis) {
    log::info!(
        upstream = upstream.as_str(), rate_per_s = gate.rate(now).unwrap_or_default(),
        heard_by = heard_by.as_str(), news_age_ms = gate.news_age_ms(now);
        "limit of an upstream changed"
    );
}
