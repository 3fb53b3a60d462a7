//! Test instances: a membership table over real links, each driven by its own thread.

use super::{authority, id, issue, wait};
use bytes::Bytes;
use carobwheel_core::member::{
    Identity, Incarnation, LiveListEntry, MemberState, Members, Outgoing,
};
use carobwheel_core::time::{Clock, Millis};
use carobwheel_gateway::peers::{start, Handle, Inbound, PeerSettings, Sinks};
use carobwheel_standin::tls::CertificateAuthority;
use carobwheel_wire::peer::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// State of an instance as seen by a test.
#[derive(Clone, Default)]
pub(crate) struct View {
    pub(crate) states: BTreeMap<String, (u64, MemberState)>,
    pub(crate) document: Option<(u64, Bytes)>,
}

/// A running test instance.
pub(crate) struct Instance {
    pub(crate) identity: Identity,
    pub(crate) handle: Handle,
    events: mpsc::SyncSender<Event>,
    view: Arc<Mutex<View>>,
    cancel: CancellationToken,
    threads: Vec<JoinHandle<()>>,
}

enum Event {
    Inbound(Inbound),
    LiveList(Vec<LiveListEntry>),
    Document(u64, Bytes),
    Leave,
}

impl Instance {
    pub(crate) fn start(
        authority: &CertificateAuthority,
        region: &str,
        name: &str,
        incarnation: u64,
    ) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = PeerSettings::new(id(name), loopback, issue(authority, name));
        let (events, queue) = mpsc::sync_channel(1_024);
        let inbound = events.clone();
        let sinks = Sinks {
            inbound: Box::new(move |message| inbound.try_send(Event::Inbound(message)).is_ok()),
            forward: Box::new(drop),
        };
        let cancel = CancellationToken::new();
        let (handle, links) = start(settings, sinks, cancel.clone()).expect("links start");
        let identity = Identity {
            instance: id(name),
            incarnation: Incarnation(incarnation),
            region: region.parse().expect("valid identifier"),
            data_centre: region.parse().expect("valid identifier"),
            peer_addr: handle.local_addr(),
            caller_addr: handle.local_addr(),
        };
        let view = Arc::new(Mutex::new(View::default()));
        let mut table = MemberTable {
            members: Members::new(identity.clone(), 0, incarnation, Millis(0)),
            handle: handle.clone(),
            clock: Clock::default(),
            view: Arc::clone(&view),
        };
        let token = cancel.clone();
        let decide = thread::spawn(move || {
            while !token.is_cancelled() {
                if let Ok(event) = queue.recv_timeout(TICK_INTERVAL) {
                    table.on_event(event);
                }
                table.tick();
            }
        });
        Self {
            identity,
            handle,
            events,
            view,
            cancel,
            threads: vec![links, decide],
        }
    }

    pub(crate) fn set_live_list(&self, list: &[Identity]) {
        let line = |identity: &Identity| LiveListEntry {
            identity: identity.clone(),
            is_leaving: false,
        };
        self.event(Event::LiveList(list.iter().map(line).collect()));
    }

    pub(crate) fn publish(&self, revision: u64, bytes: Bytes) {
        self.event(Event::Document(revision, bytes));
    }

    pub(crate) fn leave(&self) {
        self.event(Event::Leave);
    }

    pub(crate) fn view(&self) -> View {
        self.view.lock().expect("not poisoned").clone()
    }

    /// Returns the names and incarnations of the instances that this one has in `state`.
    pub(crate) fn seen_as(&self, state: MemberState) -> Vec<(String, u64)> {
        let states = self.view().states;
        let in_state = states.into_iter().filter(|(_, seen)| seen.1 == state);
        in_state.map(|(name, seen)| (name, seen.0)).collect()
    }

    fn event(&self, event: Event) {
        self.events.send(event).expect("the instance runs");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.cancel.cancel();
        for thread in self.threads.drain(..) {
            thread.join().expect("the thread ends");
        }
    }
}

struct MemberTable {
    members: Members,
    handle: Handle,
    clock: Clock,
    view: Arc<Mutex<View>>,
}

impl MemberTable {
    fn on_event(&mut self, event: Event) {
        let now = self.clock.now();
        let out = match event {
            Event::Inbound(Inbound::Message {
                from,
                message: Message::Member(packet),
            }) => self.members.on_packet(&from, packet, now),
            Event::Inbound(Inbound::Document {
                revision, bytes, ..
            })
            | Event::Document(revision, bytes) => self.apply(revision, bytes),
            Event::Inbound(_) => Vec::new(),
            Event::LiveList(list) => self.members.on_live_list(&list, now),
            Event::Leave => self.members.leave(now),
        };
        self.send(out);
        self.fetch();
    }

    fn tick(&mut self) {
        let out = self.members.tick(self.clock.now());
        self.send(out);
        self.fetch();
        let states = self.members.snapshot().into_iter().map(|member| {
            let name = member.identity.instance.to_string();
            (name, (member.identity.incarnation.0, member.state))
        });
        self.view.lock().expect("not poisoned").states = states.collect();
    }

    fn apply(&mut self, revision: u64, bytes: Bytes) -> Vec<Outgoing> {
        let mut view = self.view.lock().expect("not poisoned");
        if view
            .document
            .as_ref()
            .is_some_and(|known| known.0 >= revision)
        {
            return Vec::new();
        }
        view.document = Some((revision, bytes.clone()));
        self.handle.serve_document(revision, bytes);
        self.members.set_revision(revision, self.clock.now())
    }

    fn fetch(&mut self) {
        let above = self.revision();
        if let Some((from, addr)) = self.members.choose_fetch_peer(self.clock.now()) {
            // Fails if the link thread has stopped before this one.
            let _ = self.handle.fetch_document(from, addr, above);
        }
    }

    fn revision(&self) -> u64 {
        let view = self.view.lock().expect("not poisoned");
        view.document.as_ref().map_or(0, |known| known.0)
    }

    fn send(&self, out: Vec<Outgoing>) {
        for Outgoing { to, addr, packet } in out {
            // Fails if the link thread has stopped before this one.
            let _ = self.handle.send(to, addr, Message::Member(packet));
        }
    }
}

/// Six instances in three regions that discover each other by the live list.
pub(crate) struct Fleet {
    authority: CertificateAuthority,
    pub(crate) instances: Vec<Option<Instance>>,
}

pub(crate) const NAMES: [(&str, &str); 6] = [
    ("north", "north-1"),
    ("north", "north-2"),
    ("centre", "centre-1"),
    ("centre", "centre-2"),
    ("south", "south-1"),
    ("south", "south-2"),
];

impl Fleet {
    pub(crate) fn start() -> Self {
        let mut fleet = Self {
            authority: authority(),
            instances: NAMES.iter().map(|_| None).collect(),
        };
        for at in 0..NAMES.len() {
            fleet.start_one(at, 1);
        }
        fleet.set_live_list();
        fleet
    }

    pub(crate) fn start_one(&mut self, at: usize, incarnation: u64) {
        let (region, name) = NAMES[at];
        let instance = Instance::start(&self.authority, region, name, incarnation);
        self.instances[at] = Some(instance);
    }

    pub(crate) fn set_live_list(&self) {
        let running: Vec<Identity> = self.running().map(|i| i.identity.clone()).collect();
        for instance in self.running() {
            instance.set_live_list(&running);
        }
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Instance> {
        self.instances.iter().flatten()
    }

    pub(crate) fn get(&self, at: usize) -> &Instance {
        self.instances[at].as_ref().expect("runs")
    }

    /// Waits until every running instance has all running ones as alive in their incarnations.
    pub(crate) fn wait_until_all_alive(&self) {
        let mut expected: Vec<(String, u64)> = self
            .running()
            .map(|i| (i.identity.instance.to_string(), i.identity.incarnation.0))
            .collect();
        expected.sort();
        wait("every instance has all others as alive", || {
            self.running()
                .all(|instance| instance.seen_as(MemberState::Alive) == expected)
        });
    }

    pub(crate) fn wait_for_revision(&self, revision: u64) {
        wait("the revision is in force everywhere", || {
            self.running().all(|instance| {
                let document = instance.view().document;
                document.is_some_and(|known| known.0 == revision)
            })
        });
    }
}
