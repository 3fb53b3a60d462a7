//! Services of whose upstreams an instance reaches none, and the instances that run its requests.

use super::{Node, State};
use crate::{
    hash::short_hash,
    log::Event,
    member::{Member, MemberEntry},
};
use carobwheel_core::{
    fleet::{choose_target, target_contacts, ForwardTarget, Peer},
    time::Millis,
};
use std::{
    collections::{BTreeSet, HashSet},
    rc::Rc,
    sync::Arc,
};

/// Instances of the region to which this one keeps links for the requests of one service that it does not
/// reach.
const CONTACTS_PER_SERVICE: usize = 4;
/// Upper bound of them for all services.
const MAX_CONTACTS: usize = 8;

impl Node {
    /// Tells the other instances, and opens links, if the set of services that this instance does not reach
    /// has changed since the last call. To be called after each change; otherwise the next tick does so.
    pub fn publish_cut_off(&self) {
        {
            let mut state = self.state.borrow_mut();
            if state.cut_off == state.published_cut_off {
                return;
            }
            state.published_cut_off = state.cut_off.clone();
        }
        self.links.announce();
        self.update_links();
    }

    /// Counts a request as forwarded to `member` until the guard is dropped.
    pub(crate) fn count_nearby(self: &Rc<Self>, member: &Arc<str>) -> NearbyGuard {
        let mut state = self.state.borrow_mut();
        *state
            .nearby_in_flight
            .entry(Arc::clone(member))
            .or_default() += 1;
        NearbyGuard {
            node: Rc::clone(self),
            member: Arc::clone(member),
        }
    }
}

/// A request that was forwarded inside the region and has no answer yet.
pub(crate) struct NearbyGuard {
    node: Rc<Node>,
    member: Arc<str>,
}

impl Drop for NearbyGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        let left = state
            .nearby_in_flight
            .get(&self.member)
            .map_or(0, |count| count.saturating_sub(1));
        if left == 0 {
            state.nearby_in_flight.remove(&self.member);
        } else {
            state
                .nearby_in_flight
                .insert(Arc::clone(&self.member), left);
        }
    }
}

impl State {
    /// Hashes of the services of whose upstreams in the own region this instance reaches none.
    pub(super) fn cut_off_hashes(&self) -> BTreeSet<u32> {
        let names = self.cut_off.iter();
        names.map(|service| short_hash(service)).collect()
    }

    /// Logs which services an instance does not reach.
    pub(super) fn log_cut_off(&self, node: &Node, member: &Member, heard_from: &str) {
        let config = self.config.clone().unwrap_or_default();
        let services = config.services.keys();
        let cut_off = services.filter(|service| member.cut_off.contains(&short_hash(service)));
        let names: Vec<&str> = cut_off.map(|service| &**service).collect();
        node.log.event(Event::MemberCutOff {
            member: &member.entry.name,
            services: names.join(" ").as_str(),
            count: member.cut_off.len() as u64,
            heard_from,
        });
    }

    /// Other instances of the own region that take requests and reach upstreams of the service.
    fn reaching<'a>(
        &'a self,
        node: &'a Node,
        service: &str,
        now: Millis,
    ) -> impl Iterator<Item = &'a Member> {
        let service = short_hash(service);
        let members = self.members.up_in(&node.region, now);
        members.filter(move |member| !member.cut_off.contains(&service))
    }

    /// Instance of the own region that runs a request of a service which this one does not reach. Skips the
    /// instances in `tried`, which have refused it.
    pub(crate) fn nearby_target(
        &self,
        node: &Node,
        service: &str,
        tried: &[Arc<str>],
        now: Millis,
    ) -> Option<Arc<str>> {
        let mut entries: Vec<&MemberEntry> = self
            .reaching(node, service, now)
            .map(|member| &member.entry)
            .filter(|entry| !tried.contains(&entry.name))
            .filter(|entry| node.links.connection(&entry.name).is_some())
            .collect();
        // The others may not send to limited upstreams.
        let users = self.only_users(node, service, now);
        if entries.iter().any(|entry| users.contains(&entry.name)) {
            entries.retain(|entry| users.contains(&entry.name));
        }
        let targets: Vec<ForwardTarget> = entries
            .iter()
            .map(|entry| ForwardTarget {
                processor_millicores: entry.processor_millicores,
                in_flight: self
                    .nearby_in_flight
                    .get(&entry.name)
                    .copied()
                    .unwrap_or_default(),
            })
            .collect();
        let index = choose_target(&targets, rand::random())?;
        entries.get(index).map(|entry| Arc::clone(&entry.name))
    }

    /// Instances that use the limited upstreams of a service that has no others in the own region.
    fn only_users(&self, node: &Node, service: &str, now: Millis) -> HashSet<Arc<str>> {
        let mut users = HashSet::new();
        for upstream in self.upstreams.by_id.values() {
            if *upstream.entry.service != *service || upstream.region != node.region {
                continue;
            }
            if upstream.limit.rate(now).is_none() {
                return HashSet::new();
            }
            users.extend(self.limit_user_names(node, &upstream.entry.id, now));
        }
        users
    }

    /// Instances of the own region to which this one keeps links because it does not reach all services.
    /// Links that they have dialled serve as well.
    pub(super) fn cut_off_contacts(&self, node: &Node, now: Millis) -> BTreeSet<Arc<str>> {
        let mut contacts: BTreeSet<Arc<str>> = BTreeSet::new();
        let services: BTreeSet<&Arc<str>> = self.cut_off.iter().collect();
        for service in services {
            let candidates: Vec<Peer<'_>> = self
                .reaching(node, service, now)
                .map(|member| Peer {
                    name: &member.entry.name,
                    region: &member.entry.region,
                    data_centre: &member.entry.data_centre,
                    processor_millicores: member.entry.processor_millicores,
                    is_heard: true,
                })
                .collect();
            let chosen = target_contacts(&node.name, &candidates, CONTACTS_PER_SERVICE);
            contacts.extend(chosen.into_iter().map(Arc::from));
        }
        contacts
            .into_iter()
            .filter(|name| !node.links.has_only_accepted(name))
            .take(MAX_CONTACTS)
            .collect()
    }
}
