//! Use of upstreams that state that they fail if they reject too many requests.

use super::{limits::KeyedLimitReport, Node, SendIds, State};
use crate::{log::Event, place::NOT_A_USER, upstream::Upstream};
use carobwheel_core::{
    brittle::{brittle_holders_among, BrittleCapacity, BrittleShare, Brittleness, Occupancy},
    time::Millis,
    upstream_limit::LimitReport,
};
use std::{collections::HashMap, sync::Arc};

/// Time for which a share of the places is kept, in milliseconds: it hashes the names of all instances
/// of the region.
const SHARE_LIFETIME_MS: u64 = 1_000;
/// Wait that is expected for a place of a brittle upstream, in milliseconds.
const PLACE_WAIT_MS: u64 = 200;

impl Node {
    /// Records what a response states about the rejections that the upstream endures.
    pub fn note_brittle(&self, id: &str, statement: Brittleness) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstreams.by_id.get_mut(id) else {
            return;
        };
        if upstream.brittle.record_response(statement, now) {
            self.log_brittle(upstream, "", now);
        }
    }

    /// Records that an upstream rejected a request for want of room.
    pub fn note_rejection(&self, sent: SendIds<'_>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstreams.by_id.get_mut(sent.upstream) else {
            return;
        };
        if upstream.brittle.max_rejections_per_s(now).is_none() {
            return;
        }
        let occupancy = upstream.occupancy(now);
        upstream.brittle.record_rejection(rand::random(), now);
        self.log.event(Event::BrittleRejection {
            upstream: sent.upstream,
            request: sent.request,
            in_flight: occupancy.own,
            at_upstream: occupancy.known,
            slots: occupancy.slots,
        });
        self.links.announce();
    }

    /// Whether an upstream has stated that it fails if it rejects too many requests.
    pub fn is_brittle(&self, id: &str) -> bool {
        let state = self.state.borrow();
        let upstream = state.upstreams.by_id.get(id);
        upstream.is_some_and(|upstream| {
            let max = upstream.brittle.max_rejections_per_s(self.now());
            max.is_some()
        })
    }

    /// Applies another instance's reports about brittle upstreams, by their keys.
    pub(super) fn receive_brittle(
        &self,
        state: &mut State,
        name: &Arc<str>,
        life: u64,
        reports: &HashMap<u32, LimitReport>,
        now: Millis,
    ) {
        if reports.is_empty() {
            return;
        }
        for upstream in state.upstreams.by_id.values_mut() {
            let Some(report) = reports.get(&upstream.brittle_key()) else {
                continue;
            };
            let brittle = &mut upstream.brittle;
            if brittle.record_report(name, life, report, rand::random(), now) {
                self.log_brittle(upstream, name, now);
            }
        }
    }

    fn log_brittle(&self, upstream: &Upstream, heard_from: &str, now: Millis) {
        let brittle = &upstream.brittle;
        self.log.event(Event::UpstreamBrittle {
            upstream: &upstream.entry.id,
            heard_from,
            max_rejections_per_s: brittle.max_rejections_per_s(now).unwrap_or_default(),
            rejections: brittle.own_rejections(),
        });
    }
}

impl Upstream {
    fn occupancy(&self, now: Millis) -> Occupancy {
        Occupancy {
            own: self.own.requests,
            known: self.load(now).requests,
            slots: self.entry.slots,
        }
    }

    fn brittle_capacity(&self, now: Millis) -> Option<BrittleCapacity> {
        Some(BrittleCapacity {
            slots: self.entry.slots,
            max_rejections_per_s: self.brittle.max_rejections_per_s(now)?,
        })
    }
}

impl State {
    /// Reports about brittle upstreams of the own region.
    pub(super) fn brittle_reports<'a>(
        &'a self,
        node: &'a Node,
        now: Millis,
    ) -> impl Iterator<Item = KeyedLimitReport> + 'a {
        let upstreams = self.upstreams.by_id.values();
        upstreams.filter_map(move |upstream| {
            let share = self.brittle_share(node, upstream, now);
            let is_reporter = share.is_some_and(|share| share.is_reporter);
            let report = upstream.brittle.report(is_reporter, now)?;
            Some((upstream.brittle_key(), report))
        })
    }

    /// Time until this instance may send a request to the upstream while it is brittle, in
    /// milliseconds; [`NOT_A_USER`] if it holds none of the places.
    pub(super) fn brittle_wait_ms(&self, node: &Node, upstream: &Upstream, now: Millis) -> u64 {
        let Some(share) = self.brittle_share(node, upstream, now) else {
            return 0;
        };
        if upstream
            .brittle
            .is_open(share, upstream.occupancy(now), now)
        {
            0
        } else if share.places == 0 {
            NOT_A_USER
        } else {
            PLACE_WAIT_MS.max(upstream.brittle.pause_left_ms(now))
        }
    }

    /// Records that this instance sends a request to the upstream.
    pub(super) fn record_brittle_send(&mut self, node: &Node, id: &str, now: Millis) {
        let Some(upstream) = self.upstreams.by_id.get(id) else {
            return;
        };
        let Some(share) = self.brittle_share(node, upstream, now) else {
            return;
        };
        if let Some(upstream) = self.upstreams.by_id.get_mut(id) {
            let occupancy = upstream.occupancy(now);
            upstream.brittle.record_sent(share, occupancy, now);
        }
    }

    /// Names of the instances of the region that hold places of the service's brittle upstreams.
    pub(super) fn brittle_holder_names(
        &self,
        node: &Node,
        service: &str,
        now: Millis,
    ) -> Vec<Arc<str>> {
        let upstreams = self.upstreams.by_id.values().filter(|upstream| {
            &*upstream.entry.service == service && *upstream.region == *node.region
        });
        let holders = upstreams.filter_map(|upstream| {
            let capacity = upstream.brittle_capacity(now)?;
            let members = self.region_members(node, now).into_iter().map(Arc::clone);
            Some(brittle_holders_among(
                members.chain([Arc::clone(&node.name)]).collect(),
                &upstream.entry.id,
                capacity,
            ))
        });
        holders.flatten().collect()
    }

    /// Share of this instance in the places of a brittle upstream; `None` if it is not brittle.
    fn brittle_share(&self, node: &Node, upstream: &Upstream, now: Millis) -> Option<BrittleShare> {
        let capacity = upstream.brittle_capacity(now)?;
        if let Some((at, share)) = upstream.brittle_share.get() {
            if now.since(at) < SHARE_LIFETIME_MS {
                return Some(share);
            }
        }
        let others = self.region_members(node, now);
        let others = others.iter().map(|name| &***name);
        let share = BrittleShare::choose(&node.name, others, &upstream.entry.id, capacity);
        upstream.brittle_share.set(Some((now, share)));
        Some(share)
    }
}
