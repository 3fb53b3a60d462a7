//! One instance of the fleet: its links and the decision thread with its membership table.

use anyhow::Context as _;
use bytes::Bytes;
use carobwheel_core::id::{InstanceId, RegionId};
use carobwheel_core::member::{Identity, LiveListEntry, Members, Outgoing, Packet};
use carobwheel_core::time::{Clock, Millis};
use carobwheel_gateway::peers::{self, Handle, Inbound, PeerSettings, Sinks};
use carobwheel_wire::peer::Message;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Interval between two ticks of the membership table, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;
/// Capacity of the decision thread's event queue.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Topic of the load digest, which is not sent to other regions.
const DIGEST_TOPIC: u8 = 200;
/// Interval between two digests, in milliseconds.
const DIGEST_PERIOD_MS: u64 = 1_000;

/// An event for the decision thread.
pub(super) enum Event {
    /// A message or document from a peer.
    Inbound(Inbound),
    /// A live list from the store.
    LiveList(Arc<Vec<LiveListEntry>>),
    /// A new document published by the operators.
    Publish { revision: u64, bytes: Bytes },
}

/// State that the decision thread shares with the measurement.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// Document revision in force.
    pub(super) revision: AtomicU64,
    /// Number of members that are alive, including the instance itself.
    pub(super) alive: AtomicU64,
    /// Lowest revision over all members.
    pub(super) lowest_revision: AtomicU64,
}

/// A running instance.
pub(super) struct Node {
    pub(super) identity: Identity,
    pub(super) handle: Handle,
    pub(super) events: mpsc::SyncSender<Event>,
    pub(super) shared: Arc<SharedState>,
    pub(super) threads: Vec<JoinHandle<()>>,
}

/// Settings that all instances share.
#[derive(Clone, Copy)]
pub(super) struct NodeOptions {
    pub(super) region_delay_ms: u64,
    pub(super) digest_bytes: usize,
    pub(super) seed: u64,
}

/// Starts an instance and sets `identity.peer_addr` to the address that it listens on.
pub(super) fn start(
    mut identity: Identity,
    settings: PeerSettings,
    options: NodeOptions,
    cancel: &CancellationToken,
) -> anyhow::Result<Node> {
    let (events, queue) = mpsc::sync_channel(EVENT_QUEUE_CAPACITY);
    let inbound = events.clone();
    let sinks = Sinks {
        inbound: Box::new(move |message| inbound.try_send(Event::Inbound(message)).is_ok()),
        forward: Box::new(drop),
    };
    let (handle, links) = peers::start(settings, sinks, cancel.clone())?;
    identity.peer_addr = handle.local_addr();
    let shared = Arc::new(SharedState::default());
    let decision_thread = DecisionThread {
        own_region: identity.region.clone(),
        members: Members::new(identity.clone(), 1, options.seed, Millis(0)),
        handle: handle.clone(),
        clock: Clock::default(),
        options,
        delayed: VecDeque::new(),
        revision: 1,
        next_digest_at: Millis(0),
        digest_count: 0,
        shared: Arc::clone(&shared),
    };
    let token = cancel.clone();
    let decision_handle = thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || decision_thread.run(&queue, &token))
        .context("cannot start the decision thread")?;
    Ok(Node {
        identity,
        handle,
        events,
        shared,
        threads: vec![links, decision_handle],
    })
}

/// A message or document from another region whose delivery is delayed.
struct DelayedInbound {
    due: Millis,
    inbound: Inbound,
}

/// State of the decision thread, which owns the membership table.
struct DecisionThread {
    own_region: RegionId,
    members: Members,
    handle: Handle,
    clock: Clock,
    options: NodeOptions,
    delayed: VecDeque<DelayedInbound>,
    revision: u64,
    next_digest_at: Millis,
    digest_count: u64,
    shared: Arc<SharedState>,
}

impl DecisionThread {
    fn run(mut self, queue: &mpsc::Receiver<Event>, cancel: &CancellationToken) {
        let mut next_tick = self.clock.now();
        while !cancel.is_cancelled() {
            let now = self.clock.now();
            let next_due = self.delayed.front().map_or(next_tick, |d| d.due);
            let wait_ms = next_due.min(next_tick).since(now);
            if let Ok(event) = queue.recv_timeout(Duration::from_millis(wait_ms)) {
                self.handle_event(event);
            }
            self.process_delayed();
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now.plus(TICK_INTERVAL_MS);
                self.renew_digest(now);
                let out = self.members.tick(now);
                self.send(out);
                self.fetch(now);
                self.publish_state();
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Inbound(inbound) => self.delay_inbound(inbound, now),
            Event::LiveList(list) => {
                let out = self.members.on_live_list(&list, now);
                self.send(out);
            }
            Event::Publish { revision, bytes } => self.apply(revision, bytes, now),
        }
    }

    /// Delays input from another region: a message by one one-way delay, a document by two.
    fn delay_inbound(&mut self, inbound: Inbound, now: Millis) {
        let (from, one_way_delays) = match &inbound {
            Inbound::Message { from, .. } => (from, 1),
            Inbound::Document { from, .. } | Inbound::DocumentFailed { from } => (from, 2),
        };
        let is_local = self
            .members
            .member(from)
            .is_none_or(|member| member.identity.region == self.own_region);
        if is_local {
            self.process_inbound(inbound, now);
            return;
        }
        let due = now.plus(self.options.region_delay_ms * one_way_delays);
        let at = self.delayed.partition_point(|delayed| delayed.due <= due);
        self.delayed.insert(at, DelayedInbound { due, inbound });
    }

    fn process_delayed(&mut self) {
        let now = self.clock.now();
        while self.delayed.front().is_some_and(|d| d.due <= now) {
            if let Some(delayed) = self.delayed.pop_front() {
                self.process_inbound(delayed.inbound, now);
            }
        }
    }

    fn process_inbound(&mut self, inbound: Inbound, now: Millis) {
        match inbound {
            Inbound::Message {
                from,
                message: Message::Member(packet),
            } => self.on_packet(&from, packet, now),
            Inbound::Document {
                revision, bytes, ..
            } => self.apply(revision, bytes, now),
            Inbound::Message { .. } | Inbound::DocumentFailed { .. } => {}
        }
    }

    fn on_packet(&mut self, from: &InstanceId, packet: Packet, now: Millis) {
        let out = self.members.on_packet(from, packet, now);
        self.send(out);
        self.fetch(now);
    }

    fn apply(&mut self, revision: u64, bytes: Bytes, now: Millis) {
        if revision <= self.revision {
            return;
        }
        self.revision = revision;
        self.handle.serve_document(revision, bytes);
        self.shared.revision.store(revision, Ordering::Release);
        let out = self.members.set_revision(revision, now);
        self.send(out);
    }

    fn fetch(&mut self, now: Millis) {
        if let Some((from, addr)) = self.members.choose_fetch_peer(now) {
            // A full queue has the same effect as a fetch without a result.
            let _ = self.handle.fetch_document(from, addr, self.revision);
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, addr, packet } in out {
            // A packet is dropped if the queue is full, like any datagram.
            let _ = self.handle.send(to, addr, Message::Member(packet));
        }
    }

    fn renew_digest(&mut self, now: Millis) {
        if self.options.digest_bytes == 0 || now < self.next_digest_at {
            return;
        }
        self.next_digest_at = now.plus(DIGEST_PERIOD_MS);
        self.digest_count += 1;
        let mut bytes = vec![0; self.options.digest_bytes];
        bytes[0] = self.digest_count as u8;
        // Cannot fail: the command line limits the size of the digest.
        let _ = self.members.set_entry(DIGEST_TOPIC, &bytes);
    }

    fn publish_state(&mut self) {
        self.members.take_events();
        let alive: usize = self
            .members
            .regions()
            .into_iter()
            .map(|region| self.members.alive_in(region).len())
            .sum();
        let lowest = self.members.revision_range().lowest;
        self.shared.alive.store(alive as u64, Ordering::Release);
        self.shared.lowest_revision.store(lowest, Ordering::Release);
    }
}
