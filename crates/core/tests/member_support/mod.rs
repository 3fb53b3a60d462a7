//! Seeded simulation of a network of membership tables.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use carobwheel_core::id::InstanceId;
use carobwheel_core::member::{
    Identity, Incarnation, LiveListEntry, MemberState, Members, Outgoing, Packet,
};
use carobwheel_core::time::Millis;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::{cmp::Reverse, net::SocketAddr};

/// Tick interval of every table, in milliseconds.
pub(crate) const TICK_MS: u64 = 100;

/// Fault rates of the simulated network.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Packets lost, out of 1,000.
    pub(crate) lost_per_mille: u32,
    /// Packets duplicated, out of 1,000.
    pub(crate) duplicated_per_mille: u32,
    /// Maximum additional delay, in milliseconds.
    pub(crate) jitter_ms: u64,
}

/// A packet that has been sent but not delivered.
struct InFlightPacket {
    from: usize,
    to: usize,
    packet: Packet,
}

/// One simulated instance.
pub(crate) struct Node {
    pub(crate) members: Members,
    pub(crate) identity: Identity,
    pub(crate) is_running: bool,
    pub(crate) has_left: bool,
    pub(crate) revision: u64,
    pub(crate) sent_packets: u64,
    fetch: Option<(usize, u64)>,
}

/// The simulated network.
pub(crate) struct Net {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Millis,
    pub(crate) faults: Faults,
    /// Whether documents that are fetched never arrive.
    pub(crate) fetches_fail: bool,
    pub(crate) rng: StdRng,
    /// Partition side of each node; packets are delivered only within a side.
    pub(crate) side: Vec<u8>,
    pub(crate) incarnations_left: BTreeSet<(InstanceId, Incarnation)>,
    by_name: BTreeMap<InstanceId, usize>,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    in_flight: BTreeMap<u64, InFlightPacket>,
    last_packet_number: u64,
    /// Highest revision and leaving flag seen in each node's view of each member, to detect a
    /// regression.
    seen: BTreeMap<(usize, InstanceId, Incarnation), (u64, bool)>,
}

pub(crate) fn identity(region: usize, index: usize, incarnation: u64) -> Identity {
    let port = 1 + index as u16;
    let addr = SocketAddr::from(([10, region as u8, 0, 1], port));
    Identity {
        instance: format!("r{region}-i{index}")
            .parse()
            .expect("valid identifier"),
        incarnation: Incarnation(incarnation),
        region: format!("r{region}").parse().expect("valid identifier"),
        data_centre: format!("r{region}-d{}", index % 2)
            .parse()
            .expect("valid identifier"),
        peer_addr: addr,
        caller_addr: addr,
    }
}

impl Net {
    /// Creates regions of the given sizes; every node gets all others from the live list.
    pub(crate) fn new(region_sizes: &[usize], seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now: Millis(1),
            faults: Faults::default(),
            fetches_fail: false,
            rng: StdRng::seed_from_u64(seed),
            side: Vec::new(),
            incarnations_left: BTreeSet::new(),
            by_name: BTreeMap::new(),
            queue: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            last_packet_number: 0,
            seen: BTreeMap::new(),
        };
        for (region, size) in region_sizes.iter().enumerate() {
            for index in 0..*size {
                let identity = identity(region, index, 1);
                let at = net.nodes.len();
                net.by_name.insert(identity.instance.clone(), at);
                let seed = net.rng.random();
                net.side.push(0);
                net.nodes.push(Node {
                    members: Members::new(identity.clone(), 1, seed, net.now),
                    identity,
                    is_running: true,
                    has_left: false,
                    revision: 1,
                    sent_packets: 0,
                    fetch: None,
                });
            }
        }
        for at in 0..net.nodes.len() {
            net.deliver_live_list(at);
        }
        net
    }

    pub(crate) fn live_list(&self) -> Vec<LiveListEntry> {
        let running = self.nodes.iter().filter(|node| node.is_running);
        running
            .map(|node| LiveListEntry {
                identity: node.identity.clone(),
                is_leaving: false,
            })
            .collect()
    }

    pub(crate) fn deliver_live_list(&mut self, at: usize) {
        let list = self.live_list();
        let out = self.nodes[at].members.on_live_list(&list, self.now);
        self.dispatch(at, out);
    }

    pub(crate) fn kill(&mut self, at: usize) {
        self.nodes[at].is_running = false;
    }

    /// Restarts a node with a new incarnation; it knows only the live list.
    pub(crate) fn restart(&mut self, at: usize) {
        let seed = self.rng.random();
        let node = &mut self.nodes[at];
        node.identity.incarnation.0 += 1;
        node.members = Members::new(node.identity.clone(), 0, seed, self.now);
        node.is_running = true;
        node.has_left = false;
        node.revision = 0;
        node.fetch = None;
        self.deliver_live_list(at);
    }

    pub(crate) fn leave(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.has_left = true;
        let identity = &node.identity;
        self.incarnations_left
            .insert((identity.instance.clone(), identity.incarnation));
        let out = node.members.leave(self.now);
        self.dispatch(at, out);
    }

    pub(crate) fn publish(&mut self, at: usize, revision: u64) {
        let node = &mut self.nodes[at];
        node.revision = revision;
        let out = node.members.set_revision(revision, self.now);
        self.dispatch(at, out);
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].is_running)
            .collect()
    }

    fn dispatch(&mut self, from: usize, out: Vec<Outgoing>) {
        for outgoing in out {
            self.nodes[from].sent_packets += 1;
            let to = self.by_name[&outgoing.to];
            let lost = self.rng.random_range(0..1_000) < self.faults.lost_per_mille;
            if lost || self.side[from] != self.side[to] || !self.nodes[to].is_running {
                continue;
            }
            let duplicated = self.rng.random_range(0..1_000) < self.faults.duplicated_per_mille;
            for _ in 0..=u32::from(duplicated) {
                let same = self.nodes[from].identity.region == self.nodes[to].identity.region;
                let jitter_ms = self.rng.random_range(0..=self.faults.jitter_ms);
                let delay_ms = if same { 1 } else { 80 } + jitter_ms;
                self.last_packet_number += 1;
                let packet = outgoing.packet.clone();
                let at = self.now.plus(delay_ms);
                self.queue.push(Reverse((at, self.last_packet_number)));
                self.in_flight
                    .insert(self.last_packet_number, InFlightPacket { from, to, packet });
            }
        }
    }

    /// Runs the simulation for `duration_ms`.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end = self.now.plus(duration_ms);
        while self.now < end {
            let next_tick = Millis((self.now.0 / TICK_MS + 1) * TICK_MS);
            self.deliver_until(next_tick.min(end));
            self.now = next_tick.min(end);
            if self.now == next_tick {
                self.tick_all();
            }
        }
    }

    fn deliver_until(&mut self, until: Millis) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                return;
            }
            self.queue.pop();
            self.now = at;
            let delivery = self.in_flight.remove(&number).expect("queued delivery");
            if !self.nodes[delivery.to].is_running
                || self.side[delivery.from] != self.side[delivery.to]
            {
                continue;
            }
            let from = self.nodes[delivery.from].identity.instance.clone();
            let node = &mut self.nodes[delivery.to];
            let out = node.members.on_packet(&from, delivery.packet, at);
            self.dispatch(delivery.to, out);
            self.start_fetch(delivery.to);
        }
    }

    fn tick_all(&mut self) {
        for at in self.running() {
            let out = self.nodes[at].members.tick(self.now);
            self.dispatch(at, out);
            self.finish_fetch(at);
            self.start_fetch(at);
            self.check_monotonic(at);
        }
    }

    /// Starts a document fetch; it completes at the next tick and fails across a partition.
    fn start_fetch(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if let Some((from, _)) = node.members.choose_fetch_peer(self.now) {
            let from = self.by_name[&from];
            let revision = self.nodes[from].revision;
            self.nodes[at].fetch = Some((from, revision));
        }
    }

    fn finish_fetch(&mut self, at: usize) {
        let Some((from, revision)) = self.nodes[at].fetch.take() else {
            return;
        };
        let is_reachable = self.side[from] == self.side[at] && self.nodes[from].is_running;
        if is_reachable && !self.fetches_fail && revision > self.nodes[at].revision {
            self.publish(at, revision);
        }
    }

    /// Asserts that in a node's view no member's revision decreases and no leaving flag is reset.
    fn check_monotonic(&mut self, at: usize) {
        for view in self.nodes[at].members.snapshot() {
            let identity = view.identity;
            let is_leaving = self
                .incarnations_left
                .contains(&(identity.instance.clone(), identity.incarnation))
                && view.state == MemberState::Leaving;
            let own = self.nodes[at].identity.incarnation.0 as usize;
            let key = (at + 1_000 * own, identity.instance, identity.incarnation);
            let seen = self.seen.entry(key).or_insert((0, false));
            assert!(view.revision >= seen.0, "a revision decreased");
            assert!(
                !seen.1 || matches!(view.state, MemberState::Leaving | MemberState::Gone),
                "a leaving member became active again"
            );
            *seen = (view.revision, seen.1 || is_leaving);
        }
    }

    /// Describes the first disagreement, or returns none if every running node sees the nodes of its
    /// side in the right state and has the highest revision of its side.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let running = self.running();
        for at in &running {
            let node = &self.nodes[*at];
            let highest = running
                .iter()
                .filter(|other| self.side[**other] == self.side[*at])
                .map(|other| self.nodes[*other].revision)
                .max();
            if Some(node.revision) != highest {
                return Some(format!(
                    "{} has revision {}",
                    node.identity.instance, node.revision
                ));
            }
            for other in 0..self.nodes.len() {
                if let Some(wrong) = self.wrong_view(*at, other) {
                    return Some(wrong);
                }
            }
        }
        None
    }

    fn wrong_view(&self, at: usize, other: usize) -> Option<String> {
        let node = &self.nodes[at];
        let target = &self.nodes[other];
        let view = node.members.member(&target.identity.instance);
        let same_side = self.side[at] == self.side[other];
        let same_region = node.identity.region == target.identity.region;
        let expected = match (target.is_running, target.has_left) {
            (true, false) if same_side => Some(MemberState::Alive),
            (true, true) if same_side => Some(MemberState::Leaving),
            (false, _) => Some(MemberState::Gone),
            // Only the member's own region decides that it is gone.
            _ if same_region => Some(MemberState::Gone),
            _ => None,
        }?;
        let seen = view.as_ref().map(|view| view.state);
        let is_current = view
            .as_ref()
            .is_some_and(|view| view.identity.incarnation == target.identity.incarnation);
        let revision = view.as_ref().map_or(0, |view| view.revision);
        let is_absent_as_expected = expected == MemberState::Gone && view.is_none();
        let is_right = is_absent_as_expected
            || seen == Some(expected)
                && (expected == MemberState::Gone || is_current && revision == target.revision);
        (!is_right).then(|| {
            format!(
                "{} sees {} as {seen:?} revision {revision} (current {is_current}), expected {expected:?} revision {}",
                node.identity.instance, target.identity.instance, target.revision
            )
        })
    }

    /// Runs until all nodes agree and returns the elapsed time; panics after `limit_ms`.
    pub(crate) fn settle(&mut self, limit_ms: u64) -> u64 {
        let start = self.now;
        loop {
            let Some(disagreement) = self.disagreement() else {
                return self.now.since(start);
            };
            assert!(
                self.now.since(start) < limit_ms,
                "no agreement after {limit_ms} ms: {disagreement}"
            );
            self.run(TICK_MS);
        }
    }
}
