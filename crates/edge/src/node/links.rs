//! Role of the instance in its region, and the links that it wants.

use super::{Node, State};
use crate::{
    hash::rendezvous,
    member::MemberEntry,
    peers::{LinkUse, WantedLink},
    place::{JobKind, LatencyForecast},
};
use carobwheel_core::{fleet::Peer, time::Millis};
use std::{collections::BTreeSet, sync::Arc};

/// Uptime until which links wait for the entries of other instances to be complete, in milliseconds.
const START_MS: u64 = 3_000;
/// Time without a new entry after which they count as complete, in milliseconds.
const ENTRIES_QUIET_MS: u64 = 100;
/// Time without a message of a delegate after which another one is asked for sums, in milliseconds.
const DELEGATE_SILENCE_MS: u64 = 700;
/// Instances that use limited upstreams to which this one keeps links.
const MAX_LIMIT_CONTACTS: usize = 8;

impl Node {
    /// Chooses the links anew, and opens and closes what has changed.
    pub(super) fn update_links(&self) {
        let now = self.now();
        let wanted = {
            let mut state = self.state.borrow_mut();
            let changed_at = state.members.entries_changed_at;
            if now.0 < START_MS && now.since(changed_at) < ENTRIES_QUIET_MS {
                return;
            }
            state.update_topology(self, now);
            state.wanted_links(self, now)
        };
        self.links.keep(&self.name, &wanted, now);
    }
}

impl Node {
    /// This instance as the choice of roles sees it. While it drains the others hear it and count on it, so
    /// it keeps its role until its exit.
    pub(super) fn as_peer(&self) -> Peer<'_> {
        Peer {
            name: &self.name,
            region: &self.region,
            data_centre: &self.settings.data_centre,
            processor_millicores: self.settings.processor.millicores(),
            is_heard: true,
        }
    }
}

impl State {
    fn update_topology(&mut self, node: &Node, now: Millis) {
        let own = node.as_peer();
        let topology = self.members.topology(own, now);
        if topology.is_delegate != self.topology.is_delegate {
            self.forget_sums();
        }
        self.members.set_contacts(&topology, now);
        self.topology = topology;
        self.sums_from = self.choose_delegate(node, now);
    }

    /// Drops sums and single reports: in the other role they would count twice.
    pub(super) fn forget_sums(&mut self) {
        for upstream in self.upstreams.by_id.values_mut() {
            upstream.peer_loads.clear();
        }
        for bucket in self.buckets.values_mut() {
            bucket.forget_peers();
        }
        for trial in self.trials.values_mut() {
            trial.evidence.forget_peers();
        }
    }

    /// Delegate to subscribe to: the present one while it is heard, otherwise the next by rendezvous
    /// hashing, so that the instances of a region divide themselves among its delegates.
    fn choose_delegate(&self, node: &Node, now: Millis) -> Option<Arc<str>> {
        if self.topology.is_delegate {
            return None;
        }
        let is_heard = |name: &str| {
            let member = self.members.by_name.get(name);
            member.is_some_and(|member| member.has_direct_within(DELEGATE_SILENCE_MS, now))
        };
        let delegates = &self.topology.region_delegates;
        let present = self.sums_from.as_ref();
        if let Some(present) = present.filter(|name| delegates.contains(&***name) && is_heard(name))
        {
            return Some(Arc::clone(present));
        }
        let key = u64::from(crate::hash::short_hash(&node.name));
        let best = delegates
            .iter()
            .max_by_key(|name| (is_heard(name), rendezvous(name, key)))?;
        Some(best.as_str().into())
    }

    fn wanted_links(&self, node: &Node, now: Millis) -> Vec<WantedLink> {
        let mut forward: BTreeSet<Arc<str>> = self.limit_contacts(node, now);
        forward.extend(self.cut_off_contacts(node, now));
        forward.extend(
            self.topology
                .forward
                .iter()
                .map(|name| name.as_str().into()),
        );
        let gossip = self.topology.gossip.iter().map(String::as_str);
        let gossip = gossip.filter_map(|name| self.wanted_link(name, LinkUse::Gossip));
        let forward = forward
            .iter()
            .filter(|name| !self.topology.gossip.contains(&***name))
            .filter_map(|name| self.wanted_link(name, LinkUse::Forward));
        gossip.chain(forward).collect()
    }

    fn wanted_link(&self, name: &str, link_use: LinkUse) -> Option<WantedLink> {
        let member = self.members.by_name.get(name)?;
        let entry: MemberEntry = member.entry.clone();
        Some(WantedLink {
            entry,
            link_use,
            since: member.contact_since,
        })
    }

    /// Instances of the own region that use limited or brittle upstreams, which take the requests of the
    /// others.
    fn limit_contacts(&self, node: &Node, now: Millis) -> BTreeSet<Arc<str>> {
        let limited = self.upstreams.by_id.values().filter(|upstream| {
            upstream.region == node.region && upstream.limit.rate(now).is_some()
        });
        let mut users: BTreeSet<Arc<str>> = BTreeSet::new();
        for upstream in limited {
            users.extend(self.limit_user_names(node, &upstream.entry.id, now));
        }
        for service in self.config.iter().flat_map(|config| config.services.keys()) {
            users.extend(self.brittle_holder_names(node, service, now));
        }
        users.remove(&node.name);
        let key = u64::from(crate::hash::short_hash(&node.name));
        let mut ranked: Vec<Arc<str>> = users.into_iter().collect();
        ranked.sort_by_key(|name| rendezvous(name, key));
        ranked.into_iter().take(MAX_LIMIT_CONTACTS).collect()
    }

    /// Forecast for the region of an instance, if it reaches upstreams of the service: its own if it has
    /// sent one here, otherwise the one that a delegate has passed on.
    pub(crate) fn forecast_of(
        &self,
        member: &crate::member::Member,
        service: u32,
        kind: JobKind,
        now: Millis,
    ) -> Option<LatencyForecast> {
        if member.cut_off.contains(&service) {
            return None;
        }
        if member.has_direct_within(DELEGATE_SILENCE_MS, now) {
            if let Some(forecast) = member.forecasts.get(&(service, kind)) {
                return Some(*forecast);
            }
        }
        let (_, reports) = self.region_forecasts.get(&member.entry.region)?;
        let report = reports
            .iter()
            .find(|report| report.service == service && report.kind == kind)?;
        Some(report.forecast())
    }
}
