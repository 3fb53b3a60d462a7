//! Services of whose upstreams in the own region this instance reaches none.

use super::{Node, State};
use crate::{
    hash::short_hash,
    health_check::{ProbeReason, ReachProbe},
    log::Event,
    model::Service,
    upstream::Upstream,
};
use carobwheel_core::{
    reach::{ContactFailure, ReachChange, ServiceReach, Sign},
    time::Millis,
};
use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};
use tokio::sync::watch;

/// Contacts with the upstreams of the own region, by service.
#[derive(Debug, Default)]
pub struct ReachTable {
    by_service: HashMap<Arc<str>, ServiceReach>,
    /// Notified when a service is cut off.
    cut_offs: watch::Sender<()>,
}

impl ReachTable {
    /// Records that a request is sent to an upstream of the service.
    pub(super) fn record_sent(&mut self, service: &Arc<str>, expected_ms: u64, now: Millis) {
        let reach = self.by_service.entry(Arc::clone(service)).or_default();
        reach.record_sent(expected_ms, now);
    }
}

impl Node {
    /// Whether this instance reaches no upstream of the service in its region.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.state.borrow().cut_off.contains(service)
    }

    /// Waits until the service is cut off. Never returns if it is already.
    pub async fn cut_off_begins(&self, service: &str) {
        let mut cut_offs = self.state.borrow().reach.cut_offs.subscribe();
        let mut is_new = !self.is_cut_off(service);
        while cut_offs.changed().await.is_ok() {
            if is_new && self.is_cut_off(service) {
                return;
            }
            is_new |= !self.is_cut_off(service);
        }
        std::future::pending().await
    }

    /// Records that something was heard from an upstream.
    pub fn note_heard(&self, id: &str, sign: Sign) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(upstream) = state.upstreams.by_id.get_mut(id) else {
            return;
        };
        if sign == Sign::Probe {
            upstream.health.end_unreachable();
        }
        let service = &upstream.entry.service;
        let Some(reach) = state.reach.by_service.get_mut(service) else {
            return;
        };
        if let Some(change) = reach.record_heard(sign, now) {
            let service = Arc::clone(service);
            self.apply_reach_change(state, &service, change);
        }
    }

    /// Records that a contact with an upstream, begun at `begun_at`, has failed.
    pub fn note_contact_failed(&self, id: &str, failure: ContactFailure, begun_at: Millis) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstreams.by_id.get(id) else {
            return;
        };
        if *upstream.region != *self.region {
            return;
        }
        let (id, service) = (
            Arc::clone(&upstream.entry.id),
            Arc::clone(&upstream.entry.service),
        );
        let reach = state.reach.by_service.entry(Arc::clone(&service));
        let reach = reach.or_default();
        reach.record_failed(&id, failure, begun_at, now);
        let upstreams = state.probed_upstreams(self, &service).len();
        self.decide_reach(&mut state, &service, upstreams, now);
    }

    /// Records the end of a probe.
    pub fn note_reach_probe_end(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        for reach in state.reach.by_service.values_mut() {
            reach.record_probe_end(id);
        }
    }

    /// Decides on the services whose upstreams may be out of reach, and returns the probes that are
    /// due.
    pub fn due_reach_probes(&self) -> Vec<ReachProbe> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let waiting = state.waiting_services(self);
        let suspects: Vec<Arc<str>> = state
            .reach
            .by_service
            .iter_mut()
            .filter_map(|(service, reach)| {
                let is_waiting = waiting.contains(service);
                let is_suspect = reach.update_suspicion(is_waiting, now);
                is_suspect.then(|| Arc::clone(service))
            })
            .collect();
        let mut probes = Vec::new();
        for service in suspects {
            let upstreams = state.probed_upstreams(self, &service);
            if upstreams.is_empty() {
                self.forget_reach(&mut state, &service);
                continue;
            }
            self.decide_reach(&mut state, &service, upstreams.len(), now);
            let Some(reach) = state.reach.by_service.get_mut(&service) else {
                continue;
            };
            let due = reach.due_probes(&upstreams, waiting.contains(&service), now);
            let config = state.service(&service);
            for id in due {
                if let Some(upstream) = state.upstreams.by_id.get(&id) {
                    let path = probe_path(upstream, config.as_ref(), now);
                    let reason = ProbeReason::Service;
                    probes.push(ReachProbe::new(&upstream.entry, path, reason));
                }
            }
        }
        probes.extend(state.due_probes_of_ejected(self, now));
        self.metrics.reach_probes.add(probes.len() as u64);
        probes
    }

    /// Forgets the contacts with a service that has no upstream left here: none can answer any more.
    fn forget_reach(&self, state: &mut State, service: &str) {
        state.reach.by_service.remove(service);
        state.cut_off.remove(service);
        let cut_off = state.cut_off.len() as u64;
        self.metrics.services_cut_off.set(cut_off);
    }

    fn decide_reach(&self, state: &mut State, service: &Arc<str>, upstreams: usize, now: Millis) {
        let reach = state.reach.by_service.get_mut(service);
        if let Some(change) = reach.and_then(|reach| reach.decide(upstreams, now)) {
            self.apply_reach_change(state, service, change);
        }
    }

    fn apply_reach_change(&self, state: &mut State, service: &Arc<str>, change: ReachChange) {
        match change {
            ReachChange::Lost {
                contacted,
                silent_ms,
                probes,
            } => {
                state.cut_off.insert(Arc::clone(service));
                state.reach.cut_offs.send_replace(());
                self.metrics.cut_offs.add(1);
                self.log.event(Event::UpstreamsUnreachable {
                    service,
                    contacted,
                    silent_ms,
                    probes,
                });
            }
            ReachChange::Restored { lost_ms, probes } => {
                state.cut_off.remove(service);
                state.forget_unreachability(self, service);
                state.ask_all_again(self.now());
                self.restart_suspected.notify_one();
                self.log.event(Event::UpstreamsReachable {
                    service,
                    lost_ms,
                    probes,
                });
            }
        }
        let cut_off = state.cut_off.len() as u64;
        self.metrics.services_cut_off.set(cut_off);
    }
}

impl State {
    /// Services at whose upstreams requests of this instance are in progress.
    fn waiting_services(&self, node: &Node) -> HashSet<Arc<str>> {
        let mut waiting = HashSet::new();
        for upstream in self.upstreams.by_id.values() {
            let is_own = *upstream.region == *node.region;
            let service = &upstream.entry.service;
            if is_own && upstream.own.requests > 0 && !waiting.contains(service) {
                waiting.insert(Arc::clone(service));
            }
        }
        waiting
    }

    /// Upstreams of the service in the own region that probes may go to, in an order of this
    /// instance's own.
    fn probed_upstreams(&self, node: &Node, service: &str) -> Vec<Arc<str>> {
        let is_probed = |upstream: &&Upstream| {
            *upstream.entry.service == *service
                && *upstream.region == *node.region
                && upstream.leaving_at.is_none()
                && !self.evacuated.contains(&upstream.entry.data_centre)
        };
        let of_service = self.upstreams.by_id.values().filter(is_probed);
        let mut ids: Vec<Arc<str>> = of_service.map(|up| Arc::clone(&up.entry.id)).collect();
        ids.sort_by_cached_key(|id| short_hash(&format!("{}/{id}", node.name)));
        ids
    }

    /// Probes of upstreams that were ejected for want of a connection, so that no caller's request has
    /// to test them. Upstreams of services that are cut off are probed anyway.
    fn due_probes_of_ejected(&mut self, node: &Node, now: Millis) -> Vec<ReachProbe> {
        let config = self.config.clone().unwrap_or_default();
        let mut probes = Vec::new();
        for upstream in self.upstreams.by_id.values_mut() {
            let service = &upstream.entry.service;
            if *upstream.region == *node.region
                && !self.cut_off.contains(service)
                && !self.evacuated.contains(&upstream.entry.data_centre)
                && upstream.health.try_reach_probe(now)
            {
                let path = probe_path(upstream, config.services.get(service), now);
                probes.push(ReachProbe::new(&upstream.entry, path, ProbeReason::Ejected));
            }
        }
        probes
    }

    /// Ends the ejections of upstreams that were out of reach.
    fn forget_unreachability(&mut self, node: &Node, service: &str) {
        for id in self.probed_upstreams(node, service) {
            if let Some(upstream) = self.upstreams.by_id.get_mut(&id) {
                upstream.health.end_unreachable();
            }
        }
    }
}

/// Path of a probe. A cold upstream gets no request, only a connection.
fn probe_path(upstream: &Upstream, service: Option<&Rc<Service>>, now: Millis) -> Option<Arc<str>> {
    let path = service.and_then(|service| service.health_path.clone());
    path.filter(|_| !upstream.cold.is_cold(now))
}
