//! One instance of the fleet: its links, and a thread that owns its membership table.

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

/// Time between two ticks of a table, in milliseconds.
const TICK_MS: u64 = 100;
/// Events that may wait for the thread.
const QUEUE_EVENTS: usize = 4_096;
/// Topic of the load digest; it stays inside the region.
const DIGEST_TOPIC: u8 = 200;
/// Time between two digests, in milliseconds.
const DIGEST_PERIOD_MS: u64 = 1_000;

/// What the thread waits for.
pub(super) enum Event {
    /// Something arrived.
    Inbound(Inbound),
    /// The live list.
    LiveList(Arc<Vec<LiveListEntry>>),
    /// A new document from the operators.
    Publish { revision: u64, bytes: Bytes },
}

/// Readable state of the thread.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// Revision in force.
    pub(super) revision: AtomicU64,
    /// Members that are alive, the instance itself included.
    pub(super) alive: AtomicU64,
    /// Lowest revision over all members.
    pub(super) lowest_revision: AtomicU64,
}

/// A running instance.
pub(super) struct Node {
    pub(super) identity: Identity,
    pub(super) handle: Handle,
    pub(super) events: mpsc::SyncSender<Event>,
    pub(super) seen: Arc<Seen>,
    pub(super) threads: Vec<JoinHandle<()>>,
}

/// Settings that all instances share.
#[derive(Clone, Copy)]
pub(super) struct NodeOptions {
    pub(super) region_delay_ms: u64,
    pub(super) digest_bytes: usize,
    pub(super) seed: u64,
}

/// Starts an instance; `identity` gets the address that it listens on.
pub(super) fn start(
    mut identity: Identity,
    settings: PeerSettings,
    options: NodeOptions,
    cancel: &CancellationToken,
) -> anyhow::Result<Node> {
    let (events, queue) = mpsc::sync_channel(QUEUE_EVENTS);
    let inbound = events.clone();
    let sinks = Sinks {
        inbound: Box::new(move |message| inbound.try_send(Event::Inbound(message)).is_ok()),
        forward: Box::new(drop),
    };
    let (handle, links) = peers::start(settings, sinks, cancel.clone())?;
    identity.peer_addr = handle.local_addr();
    let seen = Arc::new(Seen::default());
    let table = Table {
        own_region: identity.region.clone(),
        members: Members::new(identity.clone(), 1, options.seed, Millis(0)),
        handle: handle.clone(),
        clock: Clock::default(),
        options,
        delayed: VecDeque::new(),
        revision: 1,
        next_digest_at: Millis(0),
        digests: 0,
        seen: Arc::clone(&seen),
    };
    let token = cancel.clone();
    let decide = thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || table.run(&queue, &token))
        .context("no thread")?;
    Ok(Node {
        identity,
        handle,
        events,
        seen,
        threads: vec![links, decide],
    })
}

/// Something from another region that is held back.
struct Delayed {
    due: Millis,
    inbound: Inbound,
}

/// The thread that owns the table.
struct Table {
    own_region: RegionId,
    members: Members,
    handle: Handle,
    clock: Clock,
    options: NodeOptions,
    delayed: VecDeque<Delayed>,
    revision: u64,
    next_digest_at: Millis,
    digests: u64,
    seen: Arc<Seen>,
}

impl Table {
    fn run(mut self, queue: &mpsc::Receiver<Event>, cancel: &CancellationToken) {
        let mut next_tick = self.clock.now();
        while !cancel.is_cancelled() {
            let now = self.clock.now();
            let next_due = self.delayed.front().map_or(next_tick, |d| d.due);
            let wait_ms = next_due.min(next_tick).since(now);
            if let Ok(event) = queue.recv_timeout(Duration::from_millis(wait_ms)) {
                self.handle_event(event);
            }
            self.release_delayed();
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now.plus(TICK_MS);
                self.renew_digest(now);
                let out = self.members.tick(now);
                self.send(out);
                self.fetch(now);
                self.publish_seen();
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Inbound(inbound) => self.hold_back(inbound, now),
            Event::LiveList(list) => {
                let out = self.members.on_live_list(&list, now);
                self.send(out);
            }
            Event::Publish { revision, bytes } => self.apply(revision, bytes, now),
        }
    }

    /// Holds back what comes from another region: a message for one way, a document for two.
    fn hold_back(&mut self, inbound: Inbound, now: Millis) {
        let (from, ways) = match &inbound {
            Inbound::Message { from, .. } => (from, 1),
            Inbound::Document { from, .. } | Inbound::DocumentFailed { from } => (from, 2),
        };
        let is_local = self
            .members
            .member(from)
            .is_none_or(|member| member.identity.region == self.own_region);
        if is_local {
            self.take_in(inbound, now);
            return;
        }
        let due = now.plus(self.options.region_delay_ms * ways);
        let at = self.delayed.partition_point(|delayed| delayed.due <= due);
        self.delayed.insert(at, Delayed { due, inbound });
    }

    fn release_delayed(&mut self) {
        let now = self.clock.now();
        while self.delayed.front().is_some_and(|d| d.due <= now) {
            if let Some(delayed) = self.delayed.pop_front() {
                self.take_in(delayed.inbound, now);
            }
        }
    }

    fn take_in(&mut self, inbound: Inbound, now: Millis) {
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
        self.seen.revision.store(revision, Ordering::Release);
        let out = self.members.set_revision(revision, now);
        self.send(out);
    }

    fn fetch(&mut self, now: Millis) {
        if let Some((from, addr)) = self.members.choose_fetch_peer(now) {
            // A full queue shows as a fetch that brings nothing.
            let _ = self.handle.fetch_document(from, addr, self.revision);
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, addr, packet } in out {
            // A packet that finds no room is lost, like any datagram.
            let _ = self.handle.send(to, addr, Message::Member(packet));
        }
    }

    fn renew_digest(&mut self, now: Millis) {
        if self.options.digest_bytes == 0 || now < self.next_digest_at {
            return;
        }
        self.next_digest_at = now.plus(DIGEST_PERIOD_MS);
        self.digests += 1;
        let mut bytes = vec![0; self.options.digest_bytes];
        bytes[0] = self.digests as u8;
        // The content is within the bound that the command line sets.
        let _ = self.members.set_entry(DIGEST_TOPIC, &bytes);
    }

    fn publish_seen(&mut self) {
        self.members.take_events();
        let alive: usize = self
            .members
            .regions()
            .into_iter()
            .map(|region| self.members.alive_in(region).len())
            .sum();
        let lowest = self.members.revision_range().lowest;
        self.seen.alive.store(alive as u64, Ordering::Release);
        self.seen.lowest_revision.store(lowest, Ordering::Release);
    }
}
