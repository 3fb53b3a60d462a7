//! A small world of instances, a network and a store, in seeded steps of true time.
//!
//! The randomised runs of the core and the measurement share it. Limiters and keepers are the
//! real ones; everything around them is a fake at their interfaces.

pub mod bucket;
pub mod fault;
pub mod flow;
pub mod node;
pub mod oracle;
pub mod store;

use bucket::Bucket;
use carobwheel_core::document::Document;
use carobwheel_core::id::{AccountId, RegionId};
use carobwheel_core::limit::{LoanMessage, Outgoing};
use carobwheel_core::slot::{Peer, Write};
use carobwheel_core::time::Millis;
use fault::{Fault, Plant};
use flow::{Arrival, Flow};
use node::{Heartbeat, Node, Waiting};
use oracle::{Ledger, Use, Violation};
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
    pub plant: Plant,
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
    StoreEffect(Peer, Option<Write>, Millis, bool),
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

    fn on_tick(&mut self, peer: &Peer) {
        let Some(at) = self.find(peer) else { return };
        if self.is_paused(at) {
            let until = self.processes[at].as_ref().map_or(0, |p| p.paused_until);
            self.schedule(until, Event::Tick(peer.clone()));
            return;
        }
        self.check_pause(at);
        self.end_lost_charges(at);
        self.generate(at);
        self.deliver_held_back(at);
        self.tick_limiter(at);
        self.try_waiting(at, false);
        self.send_heartbeats(at);
        self.call_store(at);
        self.after(self.setup.tick_ms, Event::Tick(peer.clone()));
    }

    /// The pause rule comes before anything else that an instance does after it wakes.
    fn check_pause(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let is_planted = self.setup.plant == Plant::PauseRuleOff;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        process.paused_from = None;
        let now = process.node.clock(now_ms);
        if !is_planted && process.node.keeper.has_paused(now) {
            process.node.limiter.void();
            process.awaits_store_until_ms = 0;
            process.next_read_ms = 0;
            self.end_requests(at);
        }
    }

    /// Ends requests whose charge has reached its longest time.
    fn end_lost_charges(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let ended = process.node.limiter.take_ended();
        let running = std::mem::take(&mut process.node.running);
        let (lost, kept) = running.into_iter().partition(|r| ended.contains(&r.charge));
        process.node.running = kept;
        self.settle_all(at, lost);
    }

    fn end_requests(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let running = std::mem::take(&mut process.node.running);
        self.settle_all(at, running);
    }

    fn settle_all(&mut self, at: usize, requests: Vec<node::Running>) {
        let now_ms = self.now_ms;
        for running in requests {
            let arrival = &running.arrival;
            let used = running.generated_tokens;
            let ledger = self.ledgers.entry(arrival.account.clone()).or_default();
            ledger.admitted.push(Use {
                at_ms: running.admitted_ms,
                tokens: arrival.prompt_tokens + used,
            });
            if let Some(shadow) = self.shadows.get_mut(&arrival.account) {
                shadow.settle(arrival.max_output_tokens, used, now_ms);
            }
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(now_ms);
                process.node.limiter.settle(running.charge, used, now);
            }
        }
    }

    /// Lets running requests generate, and settles those that are done.
    fn generate(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let mut done = Vec::new();
        let mut kept = Vec::new();
        for mut running in std::mem::take(&mut process.node.running) {
            let arrival = &running.arrival;
            let elapsed_ms = now_ms - running.admitted_ms;
            let possible = elapsed_ms * arrival.speed_tokens_per_s / 1_000;
            let target = possible.min(arrival.output_tokens);
            let tokens = target - running.generated_tokens;
            if tokens > 0 {
                let ledger = self.ledgers.entry(arrival.account.clone()).or_default();
                ledger.generated.push(Use {
                    at_ms: now_ms,
                    tokens,
                });
                running.generated_tokens = target;
            }
            if running.generated_tokens == arrival.output_tokens {
                done.push(running);
            } else {
                kept.push(running);
            }
        }
        process.node.running = kept;
        self.settle_all(at, done);
    }

    fn deliver_held_back(&mut self, at: usize) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        for (from, payload) in std::mem::take(&mut process.held_back) {
            self.receive(at, &from, payload);
        }
    }

    fn tick_limiter(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = process.node.clock(now_ms);
        let outgoing = process.node.limiter.tick(now);
        self.send_loans(at, outgoing);
    }

    fn try_waiting(&mut self, at: usize, is_urgent: bool) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let shadows = std::cell::RefCell::new(&mut self.shadows);
        let (tallies, ledgers) = (&mut self.tallies, &mut self.ledgers);
        let from_ms = self.tally_from_ms;
        let mut within = |arrival: &Arrival| {
            let tokens = arrival.prompt_tokens + arrival.max_output_tokens;
            let mut shadows = shadows.borrow_mut();
            let shadow = shadows.get_mut(&arrival.account);
            shadow.is_some_and(|shadow| shadow.has(tokens, now_ms))
        };
        let mut decided = |waiting: &Waiting, is_admitted: bool| {
            let arrival = &waiting.arrival;
            let mut nowhere = Tally::default();
            let tally = if arrival.at_ms >= from_ms {
                tallies.entry(arrival.account.clone()).or_default()
            } else {
                &mut nowhere
            };
            if !is_admitted {
                tally.refused += 1;
                tally.wrongful += u64::from(waiting.is_within);
                return;
            }
            tally.admitted += 1;
            tally.used_tokens += arrival.prompt_tokens + arrival.output_tokens;
            let ledger = ledgers.entry(arrival.account.clone()).or_default();
            ledger.generated.push(Use {
                at_ms: now_ms,
                tokens: arrival.prompt_tokens,
            });
            if let Some(shadow) = shadows.borrow_mut().get_mut(&arrival.account) {
                shadow.charge(arrival.prompt_tokens, arrival.max_output_tokens, now_ms);
            }
        };
        let node = &mut process.node;
        let outgoing = node.try_waiting(now_ms, is_urgent, &mut within, &mut decided);
        self.send_loans(at, outgoing);
    }

    fn send_heartbeats(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        if process.next_heartbeat_ms > now_ms {
            return;
        }
        process.next_heartbeat_ms = now_ms + HEARTBEAT_MS;
        let now = process.node.clock(now_ms);
        process.node.refresh_members(now);
        let heartbeat = Rc::new(process.node.heartbeat());
        let from = process.node.peer.clone();
        let to: Vec<Peer> = self
            .processes
            .iter()
            .flatten()
            .map(|other| other.node.peer.clone())
            .filter(|peer| *peer != from)
            .collect();
        for peer in to {
            self.send(&from, &peer, Payload::Heartbeat(heartbeat.clone()));
        }
    }

    fn send_loans(&mut self, at: usize, outgoing: Vec<Outgoing>) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let from = process.node.peer.clone();
        for (_, message) in &outgoing {
            process.messages_sent += 1;
            process.bytes_sent += (self.setup.message_bytes)(message) as u64;
        }
        for (to, message) in outgoing {
            self.send(&from, &to, Payload::Loan(Rc::new(message)));
        }
    }

    fn send(&mut self, from: &Peer, to: &Peer, payload: Payload) {
        let copies = if self.is_hit() { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_hit() {
                continue;
            }
            let (Some(a), Some(b)) = (self.region_of(from), self.region_of(to)) else {
                return;
            };
            let is_cut_off = a != b && (self.cut_off[a] || self.cut_off[b]);
            if is_cut_off || self.is_silent(from) || self.is_silent(to) {
                return;
            }
            let base_ms = if a == b { HOME_DELAY_MS } else { AWAY_DELAY_MS };
            let mut delay_ms = base_ms + self.rng.random_range(0..=base_ms / 8 + 1);
            if self.is_hit() {
                delay_ms += self.rng.random_range(0..3_000);
            }
            let event = Event::Deliver(from.clone(), to.clone(), payload.clone());
            self.after(delay_ms, event);
        }
    }

    fn is_hit(&mut self) -> bool {
        let loss_pct = self.setup.loss_pct;
        loss_pct > 0 && self.rng.random_ratio(loss_pct, 100)
    }

    fn number_of(&self, peer: &Peer) -> Option<usize> {
        peer.instance.as_str().get(1..)?.parse().ok()
    }

    fn region_of(&self, peer: &Peer) -> Option<usize> {
        Some(self.number_of(peer)? % self.setup.regions.len())
    }

    fn is_silent(&self, peer: &Peer) -> bool {
        let until_ms = self
            .number_of(peer)
            .map_or(0, |at| self.silent_until_ms[at]);
        until_ms > self.now_ms
    }

    fn on_deliver(&mut self, from: &Peer, to: &Peer, payload: Payload) {
        let Some(at) = self.find(to) else { return };
        if self.is_paused(at) {
            if let Some(process) = &mut self.processes[at] {
                process.held_back.push((from.clone(), payload));
            }
            return;
        }
        self.receive(at, from, payload);
    }

    fn receive(&mut self, at: usize, from: &Peer, payload: Payload) {
        let now_ms = self.now_ms;
        self.check_pause(at);
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let now = process.node.clock(now_ms);
        match payload {
            Payload::Heartbeat(heartbeat) => {
                if let Some(revision) = process.node.on_heartbeat(from, &heartbeat, now) {
                    self.apply(at, revision);
                }
            }
            Payload::Loan(message) => {
                let message = fault::corrupt(self.setup.plant, &message);
                let brings_tokens = !message.grants.is_empty();
                let outgoing = process.node.on_loan_message(from, &message, now);
                if self.setup.plant == Plant::LentForgotten {
                    fault::forget_lent(&mut process.node.limiter, &outgoing, now);
                }
                self.send_loans(at, outgoing);
                if brings_tokens {
                    self.try_waiting(at, true);
                }
            }
        }
    }

    fn apply(&mut self, at: usize, revision: u64) {
        let now_ms = self.now_ms;
        let is_at_once = self.setup.plant == Plant::GrowthAtOnce;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let Some(index) = usize::try_from(revision)
            .ok()
            .and_then(|r| r.checked_sub(1))
        else {
            return;
        };
        let now = process.node.clock(now_ms);
        process.node.document = process.node.document.max(revision);
        let document = &self.setup.documents[index];
        process.node.limiter.apply_document(revision, document, now);
        if is_at_once {
            process.node.limiter.set_fleet_revision(revision, now);
        }
    }

    fn call_store(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        if process.node.document == 0 && !self.store.is_down {
            let published = self.published;
            self.apply(at, published);
            return;
        }
        if process.awaits_store_until_ms > now_ms || !process.node.has_joined() {
            return;
        }
        let now = process.node.clock(now_ms);
        let write = process.node.next_write(now);
        if write.is_none() && process.next_read_ms > now_ms {
            return;
        }
        process.next_read_ms = now_ms + STORE_READ_MS;
        process.awaits_store_until_ms = now_ms + STORE_TIMEOUT_MS;
        let peer = process.node.peer.clone();
        if self.store.is_down || self.is_store_cut_off(at) {
            // A write may have left before the outage and take effect, with its answer lost.
            if self.rng.random_bool(0.9) || write.is_none() {
                return;
            }
            self.after(5, Event::StoreEffect(peer, write, now, false));
            return;
        }
        let mut delay_ms = self.rng.random_range(2..20);
        if self.is_hit() {
            delay_ms += self.rng.random_range(0..2_500);
        }
        let is_answered = !self.is_hit();
        let event = Event::StoreEffect(peer, write, now, is_answered);
        self.after(delay_ms, event);
    }

    /// The store stands in the first region.
    fn is_store_cut_off(&self, at: usize) -> bool {
        let region = at % self.setup.regions.len();
        region != 0 && (self.cut_off[region] || self.cut_off[0])
    }

    fn on_store(&mut self, peer: &Peer, write: Option<Write>, began: Millis, is_answered: bool) {
        let Some(region) = self.region_of(peer) else {
            return;
        };
        let region = self.setup.regions[region].clone();
        if let Some(write) = &write {
            self.store.write(&region, write);
        }
        if is_answered {
            let versioned = self.store.read(&region);
            let delay_ms = self.rng.random_range(2..20);
            let event = Event::StoreAnswer(peer.clone(), versioned, began);
            self.after(delay_ms, event);
        }
    }

    fn on_store_answer(&mut self, at: usize, versioned: &Versioned, began: Millis) {
        if self.is_paused(at) {
            return;
        }
        let now_ms = self.now_ms;
        let plant = self.setup.plant;
        self.check_pause(at);
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        let node = &mut process.node;
        let now = node.clock(now_ms);
        process.awaits_store_until_ms = 0;
        node.refresh_members(now);
        let before = node.keeper.record().owned_by(&node.peer);
        node.on_record(versioned, began, now);
        if plant == Plant::FullStart {
            fault::fill_new_slots(node, &before, &self.setup.documents[0], now);
        }
    }

    fn on_live_list(&mut self) {
        let now_ms = self.now_ms;
        // The list lags: what is read now was true at the last turn.
        let listed = std::mem::take(&mut self.listed);
        for at in 0..self.processes.len() {
            if self.is_paused(at) {
                continue;
            }
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(now_ms);
                process.node.on_live_list(&listed, now, now);
            }
        }
        self.listed = self
            .processes
            .iter()
            .flatten()
            .filter(|process| {
                let paused_from = process.paused_from;
                paused_from.is_none_or(|from| now_ms - from < UNLISTED_AFTER_MS)
            })
            .map(|process| process.node.peer.clone())
            .collect();
        self.after(LIVE_LIST_MS, Event::LiveList);
    }

    fn on_arrivals(&mut self) {
        let (nodes, regions) = (self.setup.nodes, self.setup.regions.len());
        let mut arrivals = Vec::new();
        for flow in &self.setup.flows {
            let of_flow =
                flow.arrivals(self.now_ms, ARRIVAL_STEP_MS, nodes, regions, &mut self.rng);
            arrivals.extend(of_flow);
        }
        for mut arrival in arrivals {
            // Callers turn to another instance of the region when theirs does not answer.
            let alternatives = (0..nodes).map(|step| (arrival.node + step * regions) % nodes);
            let mut reachable =
                alternatives.filter(|at| self.processes[*at].is_some() && !self.is_paused(*at));
            let Some(at) = reachable.next() else { continue };
            arrival.node = at;
            self.check_pause(at);
            self.arrivals.push(arrival.clone());
            if let Some(process) = &mut self.processes[at] {
                let now = process.node.clock(self.now_ms);
                process.node.on_arrival(arrival, now);
            }
            self.try_waiting(at, false);
        }
        self.after(ARRIVAL_STEP_MS, Event::Arrivals);
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
            Fault::Silence(at, silence_ms) => {
                self.silent_until_ms[at] = self.now_ms + silence_ms;
            }
            Fault::StoreDown => self.store.is_down = true,
            Fault::StoreUp => self.store.is_down = false,
            Fault::Isolate(region) => self.cut_off[region] = true,
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
