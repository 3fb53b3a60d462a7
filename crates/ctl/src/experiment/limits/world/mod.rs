//! A small world of instances, a network and a store, in seeded steps of true time.
//!
//! The randomised runs of the core and the measurement share it. Limiters and keepers are the
//! real ones; everything around them is a fake at their interfaces.

pub mod bucket;
pub mod fault;
pub mod flow;
mod network;
pub mod node;
pub mod oracle;
mod platform;
mod process;
pub mod store;

use bucket::Bucket;
use carobwheel_core::document::Document;
use carobwheel_core::id::{AccountId, RegionId};
use carobwheel_core::limit::LoanMessage;
use carobwheel_core::slot::{OwnershipWrite, Peer};
use carobwheel_core::time::Millis;
use fault::{Defect, Fault};
use flow::{Arrival, Flow};
use node::{Heartbeat, Node};
use oracle::{Ledger, Violation};
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use store::{Store, Versioned};

/// Step of arrivals, in milliseconds.
const ARRIVAL_STEP_MS: u64 = 10;
const HEARTBEAT_MS: u64 = 1_000;
const STORE_READ_MS: u64 = 2_000;
const STORE_TIMEOUT_MS: u64 = 1_000;
const LIVE_LIST_MS: u64 = 2_000;
const HOME_DELAY_MS: u64 = 1;
const AWAY_DELAY_MS: u64 = 80;
/// A paused process falls off the live list after this time, in milliseconds.
const UNLISTED_AFTER_MS: u64 = 8_000;

/// What a world is made of.
pub struct Setup {
    /// Seed of everything random.
    pub seed: u64,
    /// Regions; instance `n` stands in region `n % regions`.
    pub regions: Vec<RegionId>,
    /// Instances.
    pub nodes: usize,
    /// Documents by revision, starting with revision 1.
    pub documents: Vec<Document>,
    /// Offered load.
    pub flows: Vec<Flow>,
    /// Faults by true time, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// A fault planted in the mechanism.
    pub defect: Defect,
    /// Messages lost, doubled, and delayed by up to 3 s, in percent each.
    pub loss_pct: u32,
    /// Time between two ticks of an instance, in milliseconds.
    pub tick_ms: u64,
    /// Largest drift of a clock, in parts per million either way.
    pub drift_ppm: i64,
    /// Size of a message on the wire, in bytes.
    pub message_bytes: fn(&LoanMessage) -> usize,
}

/// What was decided on an account's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused although a perfect bucket charged alike would have admitted them.
    pub wrongful: u64,
    /// Tokens that admitted requests use when they run to their end.
    pub used_tokens: u64,
}

#[derive(Clone)]
enum Payload {
    Loan(Rc<LoanMessage>),
    Heartbeat(Rc<Heartbeat>),
}

enum Event {
    Tick(Peer),
    Arrivals,
    Fault(Fault),
    Deliver(Peer, Peer, Payload),
    StoreEffect(Peer, Option<OwnershipWrite>, Millis, bool),
    StoreAnswer(Peer, Versioned, Millis),
    LiveList,
}

struct Process {
    node: Node,
    paused_from: Option<u64>,
    paused_until: u64,
    held_back: Vec<(Peer, Payload)>,
    next_heartbeat_ms: u64,
    next_read_ms: u64,
    awaits_store_until_ms: u64,
    bytes_sent: u64,
    messages_sent: u64,
}

/// Instances, network and store.
pub struct World {
    setup: Setup,
    rng: StdRng,
    /// Offered load has a source of its own, so that it is the same whatever is decided.
    load_rng: StdRng,
    now_ms: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    processes: Vec<Option<Process>>,
    incarnations: Vec<u64>,
    /// The store.
    pub store: Store,
    cut_off: Vec<bool>,
    silent_until_ms: Vec<u64>,
    listed: Vec<Peer>,
    /// Charges by account.
    pub ledgers: BTreeMap<AccountId, Ledger>,
    shadows: BTreeMap<AccountId, Bucket>,
    /// Decisions by account and part of the run.
    pub tallies: BTreeMap<AccountId, Tally>,
    /// Every request that was offered.
    pub arrivals: Vec<Arrival>,
    /// Decisions count from this true time on, in milliseconds.
    pub tally_from_ms: u64,
    published: u64,
    bytes_of_past: u64,
    messages_of_past: u64,
}

impl World {
    /// A world at time 0 with all instances just started.
    pub fn new(setup: Setup) -> Self {
        let first = &setup.documents[0];
        let shadows = first.accounts.iter().map(|account| {
            let bucket = Bucket::full(account.rate_tokens_per_s, account.burst_tokens);
            (account.id.clone(), bucket)
        });
        let mut world = Self {
            rng: StdRng::seed_from_u64(setup.seed),
            load_rng: StdRng::seed_from_u64(!setup.seed),
            now_ms: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            processes: Vec::new(),
            incarnations: vec![0; setup.nodes],
            store: Store::default(),
            cut_off: vec![false; setup.regions.len()],
            silent_until_ms: vec![0; setup.nodes],
            listed: Vec::new(),
            ledgers: BTreeMap::new(),
            shadows: shadows.collect(),
            tallies: BTreeMap::new(),
            arrivals: Vec::new(),
            tally_from_ms: 0,
            published: 1,
            bytes_of_past: 0,
            messages_of_past: 0,
            setup,
        };
        for at in 0..world.setup.nodes {
            world.processes.push(None);
            world.start(at);
        }
        for (at_ms, fault) in world.setup.faults.clone() {
            world.schedule(at_ms, Event::Fault(fault));
        }
        world.schedule(0, Event::Arrivals);
        world.schedule(0, Event::LiveList);
        world
    }

    /// Runs until a true time, in milliseconds.
    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(Reverse(key)) = self.queue.peek().copied() {
            if key.0 > end_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = key.0;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
        self.now_ms = end_ms;
    }

    /// Ends all requests and checks every account.
    pub fn violation(&mut self) -> Option<Violation> {
        for at in 0..self.processes.len() {
            self.end_requests(at);
        }
        let document = &self.setup.documents[0];
        document.accounts.iter().find_map(|account| {
            let ledger = self.ledgers.get(&account.id)?;
            let rate = account.rate_tokens_per_s;
            oracle::violation(&account.id, ledger, rate, account.burst_tokens)
        })
    }

    /// Loan messages and their bytes sent by all instances.
    pub fn traffic(&self) -> (u64, u64) {
        let running = self.processes.iter().flatten();
        running.fold(
            (self.messages_of_past, self.bytes_of_past),
            |(messages, bytes), process| {
                (messages + process.messages_sent, bytes + process.bytes_sent)
            },
        )
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        let key = (at_ms, self.sequence);
        self.queue.push(Reverse(key));
        self.events.insert(key, event);
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.schedule(self.now_ms + delay_ms, event);
    }

    fn start(&mut self, at: usize) {
        if self.processes[at].is_some() {
            return;
        }
        self.incarnations[at] += 1;
        let region = self.setup.regions[at % self.setup.regions.len()].clone();
        let instance = format!("i{at}").parse().expect("a valid name");
        let peer = Peer {
            instance,
            incarnation: self.incarnations[at],
        };
        let drift_ppm = self.setup.drift_ppm;
        let clock_ppm = self.rng.random_range(-drift_ppm..=drift_ppm);
        let node = Node::new(peer.clone(), region, self.now_ms, clock_ppm);
        self.processes[at] = Some(Process {
            node,
            paused_from: None,
            paused_until: 0,
            held_back: Vec::new(),
            next_heartbeat_ms: 0,
            next_read_ms: 0,
            awaits_store_until_ms: 0,
            bytes_sent: 0,
            messages_sent: 0,
        });
        let offset_ms = self.rng.random_range(0..self.setup.tick_ms);
        self.after(offset_ms, Event::Tick(peer));
    }

    fn find(&self, peer: &Peer) -> Option<usize> {
        self.processes.iter().position(|process| {
            process
                .as_ref()
                .is_some_and(|process| process.node.peer == *peer)
        })
    }

    fn is_paused(&self, at: usize) -> bool {
        self.processes[at]
            .as_ref()
            .is_some_and(|process| process.paused_until > self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(peer) => self.on_tick(&peer),
            Event::Arrivals => self.on_arrivals(),
            Event::Fault(fault) => self.on_fault(fault),
            Event::Deliver(from, to, payload) => self.on_deliver(&from, &to, payload),
            Event::StoreEffect(peer, write, began, is_answered) => {
                self.on_store(&peer, write, began, is_answered);
            }
            Event::StoreAnswer(peer, versioned, began) => {
                if let Some(at) = self.find(&peer) {
                    self.on_store_answer(at, &versioned, began);
                }
            }
            Event::LiveList => self.on_live_list(),
        }
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(at) => {
                self.end_requests(at);
                if let Some(process) = self.processes[at].take() {
                    self.bytes_of_past += process.bytes_sent;
                    self.messages_of_past += process.messages_sent;
                }
            }
            Fault::Start(at) => self.start(at),
            Fault::Pause(at, pause_ms) => {
                let now_ms = self.now_ms;
                if let Some(process) = &mut self.processes[at] {
                    process.paused_from = Some(now_ms);
                    process.paused_until = now_ms + pause_ms;
                }
            }
            Fault::Disconnect(at, silence_ms) => {
                self.silent_until_ms[at] = self.now_ms + silence_ms;
            }
            Fault::StoreDown => self.store.is_down = true,
            Fault::StoreUp => self.store.is_down = false,
            Fault::IsolateRegion(region) => self.cut_off[region] = true,
            Fault::Heal => self.cut_off.fill(false),
            Fault::Publish(revision) => {
                self.published = revision;
                let first = (0..self.processes.len()).find(|at| self.processes[*at].is_some());
                if let Some(at) = first {
                    self.apply(at, revision);
                }
            }
        }
    }
}
