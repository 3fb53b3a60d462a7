//! Deterministic discrete-event simulation of instances, a network and a store in true time.
//!
//! Shared by the randomised tests of the core and by this experiment. Limiters and ownership
//! reconcilers are the real ones; all else is faked at their interfaces.

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

/// Interval at which arrivals are generated, in milliseconds.
const ARRIVAL_STEP_MS: u64 = 10;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
const STORE_READ_INTERVAL_MS: u64 = 2_000;
const STORE_TIMEOUT_MS: u64 = 1_000;
const LIVE_LIST_INTERVAL_MS: u64 = 2_000;
const SAME_REGION_DELAY_MS: u64 = 1;
const OTHER_REGION_DELAY_MS: u64 = 80;
/// Time after which a paused process is removed from the live list, in milliseconds.
const LIVE_LIST_RETENTION_MS: u64 = 8_000;

/// Configuration of a simulation.
pub struct Setup {
    /// Seed of all random choices.
    pub seed: u64,
    /// Regions; instance `n` is in region `n % regions`.
    pub regions: Vec<RegionId>,
    /// Number of instances.
    pub nodes: usize,
    /// Documents by revision, starting with revision 1.
    pub documents: Vec<Document>,
    /// Offered load.
    pub flows: Vec<Flow>,
    /// Faults by true time, in milliseconds.
    pub faults: Vec<(u64, Fault)>,
    /// Defect injected into the limiters.
    pub defect: Defect,
    /// Probability that a message is lost, duplicated, or delayed by up to 3 s, in percent each.
    pub loss_pct: u32,
    /// Interval between two ticks of an instance, in milliseconds.
    pub tick_ms: u64,
    /// Maximum drift of a clock in either direction, in parts per million.
    pub drift_ppm: i64,
    /// Returns the size of a message on the wire, in bytes.
    pub message_bytes: fn(&LoanMessage) -> usize,
}

/// Decisions on an account's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of requests refused although a perfect bucket with the same charges would have
    /// admitted them.
    pub wrongful: u64,
    /// Tokens that admitted requests use if they run to completion.
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
    StoreRequest(Peer, Option<OwnershipWrite>, Millis, bool),
    StoreResponse(Peer, Versioned, Millis),
    LiveList,
}

struct Process {
    node: Node,
    paused_from_ms: Option<u64>,
    paused_until_ms: u64,
    deferred: Vec<(Peer, Payload)>,
    next_heartbeat_ms: u64,
    next_read_ms: u64,
    store_call_deadline_ms: u64,
    bytes_sent: u64,
    messages_sent: u64,
}

/// A simulation of instances, network and store.
pub struct World {
    setup: Setup,
    rng: StdRng,
    /// Separate generator of the offered load, so that the load does not depend on decisions.
    load_rng: StdRng,
    now_ms: u64,
    sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<(u64, u64), Event>,
    processes: Vec<Option<Process>>,
    incarnations: Vec<u64>,
    /// The fake store.
    pub store: Store,
    isolated_regions: Vec<bool>,
    disconnected_until_ms: Vec<u64>,
    live_list: Vec<Peer>,
    /// Charges by account.
    pub ledgers: BTreeMap<AccountId, Ledger>,
    reference_buckets: BTreeMap<AccountId, Bucket>,
    /// Decisions by account and part of the run.
    pub tallies: BTreeMap<AccountId, Tally>,
    /// All requests offered so far.
    pub arrivals: Vec<Arrival>,
    /// True time of arrival from which requests are counted, in milliseconds.
    pub tally_from_ms: u64,
    published_revision: u64,
    ended_bytes_sent: u64,
    ended_messages_sent: u64,
}

impl World {
    /// Creates a simulation at time 0 with all instances just started.
    pub fn new(setup: Setup) -> Self {
        let first = &setup.documents[0];
        let reference_buckets = first.accounts.iter().map(|account| {
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
            isolated_regions: vec![false; setup.regions.len()],
            disconnected_until_ms: vec![0; setup.nodes],
            live_list: Vec::new(),
            ledgers: BTreeMap::new(),
            reference_buckets: reference_buckets.collect(),
            tallies: BTreeMap::new(),
            arrivals: Vec::new(),
            tally_from_ms: 0,
            published_revision: 1,
            ended_bytes_sent: 0,
            ended_messages_sent: 0,
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

    /// Runs the simulation until a true time, in milliseconds.
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

    /// Ends all requests and returns the first violation of any account.
    pub fn violation(&mut self) -> Option<Violation> {
        for at in 0..self.processes.len() {
            self.end_all_requests(at);
        }
        let document = &self.setup.documents[0];
        document.accounts.iter().find_map(|account| {
            let ledger = self.ledgers.get(&account.id)?;
            let rate = account.rate_tokens_per_s;
            oracle::violation(&account.id, ledger, rate, account.burst_tokens)
        })
    }

    /// Returns the number of loan messages sent by all instances and their size in bytes.
    pub fn traffic(&self) -> (u64, u64) {
        let running = self.processes.iter().flatten();
        running.fold(
            (self.ended_messages_sent, self.ended_bytes_sent),
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

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.schedule(self.now_ms + delay_ms, event);
    }

    fn start(&mut self, at: usize) {
        if self.processes[at].is_some() {
            return;
        }
        self.incarnations[at] += 1;
        let region = self.setup.regions[at % self.setup.regions.len()].clone();
        let instance = format!("i{at}").parse().expect("a valid identifier");
        let peer = Peer {
            instance,
            incarnation: self.incarnations[at],
        };
        let drift_ppm = self.setup.drift_ppm;
        let clock_ppm = self.rng.random_range(-drift_ppm..=drift_ppm);
        let node = Node::new(peer.clone(), region, self.now_ms, clock_ppm);
        self.processes[at] = Some(Process {
            node,
            paused_from_ms: None,
            paused_until_ms: 0,
            deferred: Vec::new(),
            next_heartbeat_ms: 0,
            next_read_ms: 0,
            store_call_deadline_ms: 0,
            bytes_sent: 0,
            messages_sent: 0,
        });
        let offset_ms = self.rng.random_range(0..self.setup.tick_ms);
        self.schedule_after(offset_ms, Event::Tick(peer));
    }

    /// Returns the index of the running process of a peer.
    fn locate(&self, peer: &Peer) -> Option<usize> {
        self.processes.iter().position(|process| {
            process
                .as_ref()
                .is_some_and(|process| process.node.peer == *peer)
        })
    }

    fn is_paused(&self, at: usize) -> bool {
        self.processes[at]
            .as_ref()
            .is_some_and(|process| process.paused_until_ms > self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(peer) => self.on_tick(&peer),
            Event::Arrivals => self.on_arrivals(),
            Event::Fault(fault) => self.on_fault(fault),
            Event::Deliver(from, to, payload) => self.on_deliver(&from, &to, payload),
            Event::StoreRequest(peer, write, began, is_answered) => {
                self.on_store_request(&peer, write, began, is_answered);
            }
            Event::StoreResponse(peer, versioned, began) => {
                if let Some(at) = self.locate(&peer) {
                    self.on_store_response(at, &versioned, began);
                }
            }
            Event::LiveList => self.on_live_list(),
        }
    }

    fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(at) => {
                self.end_all_requests(at);
                if let Some(process) = self.processes[at].take() {
                    self.ended_bytes_sent += process.bytes_sent;
                    self.ended_messages_sent += process.messages_sent;
                }
            }
            Fault::Start(at) => self.start(at),
            Fault::Pause(at, pause_ms) => {
                let now_ms = self.now_ms;
                if let Some(process) = &mut self.processes[at] {
                    process.paused_from_ms = Some(now_ms);
                    process.paused_until_ms = now_ms + pause_ms;
                }
            }
            Fault::Disconnect(at, disconnect_ms) => {
                self.disconnected_until_ms[at] = self.now_ms + disconnect_ms;
            }
            Fault::StoreDown => self.store.is_down = true,
            Fault::StoreUp => self.store.is_down = false,
            Fault::IsolateRegion(region) => self.isolated_regions[region] = true,
            Fault::Heal => self.isolated_regions.fill(false),
            Fault::Publish(revision) => {
                self.published_revision = revision;
                let first = (0..self.processes.len()).find(|at| self.processes[*at].is_some());
                if let Some(at) = first {
                    self.apply_revision(at, revision);
                }
            }
        }
    }
}
