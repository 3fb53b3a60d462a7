//! The event loop over instances and engines.

mod attempt;
mod updates;

use super::baseline::{self, Policy};
use super::deployment::Deployment;
use super::event::{Event, Events};
use super::instance::Instance;
use super::measure::{EngineTotals, Measure, Row};
use super::request_state::{Live, Stage};
use super::scenario::Case;
use super::workload::Arrival;
use carobwheel_core::admit::{Dequeued, QueuedRequest};
use carobwheel_core::document::Document;
use carobwheel_core::route::{Hops, LatencyTarget, Placement, Refusal, Request, Requirement};
use carobwheel_core::time::Millis;
use carobwheel_standin::batch::BatchEngine;

/// One-way delay between caller and instance, in microseconds.
const CALLER_US: u64 = 3_000;
const TICK_US: u64 = 20_000;
const NEAR_DIGEST_US: u64 = 200_000;
const FAR_DIGEST_US: u64 = 1_000_000;
const REPORT_US: u64 = 500_000;
/// Lag of the live list, in microseconds.
const LIVE_LIST_US: u64 = 2_000_000;
/// Time left to a request that has its first token, in milliseconds.
const RESUME_MS: u64 = 10_000;

struct Engine {
    batch: BatchEngine,
    is_alive: bool,
    life: u64,
}

struct World<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    arrivals: &'a [Arrival],
    policy: Policy,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    live: Vec<Live>,
    events: Events,
    measure: Measure,
    now_us: u64,
    open: usize,
}

/// Runs one policy over the arrivals.
pub(super) fn run(
    deployment: &Deployment,
    case: &Case,
    arrivals: &[Arrival],
    policy: Policy,
    seed: u64,
) -> Row {
    let mut world = World::new(deployment, case, arrivals, policy, seed);
    world.schedule();
    while world.open > 0 {
        let Some((at_us, event)) = world.events.pop() else {
            break;
        };
        world.now_us = at_us;
        world.handle(event);
    }
    let mut totals = EngineTotals::default();
    for engine in &world.engines {
        let (prompt, cached) = engine.batch.prompt_and_cached_tokens();
        totals.busy_us += engine.batch.busy_us();
        totals.output_tokens += engine.batch.output_tokens();
        totals.prompt_tokens += prompt;
        totals.cached_tokens += cached;
    }
    world.measure.row(policy.name(), deployment, &totals)
}

/// What the router is asked for a request.
fn request<'r>(
    document: &'r Document,
    arrival: &'r Arrival,
    live: &'r Live,
    now_us: u64,
) -> Request<'r> {
    let class = &document.classes[arrival.class];
    let model = &document.models[0];
    let waited_ms = (now_us - arrival.at_us) / 1_000;
    let remaining_ms = match live.last_token_at_us {
        Some(_) => RESUME_MS,
        None => class.deadline_ms.saturating_sub(waited_ms),
    };
    Request {
        id: &live.id,
        requirement: Requirement::Model {
            model: &model.id,
            version: &model.version,
        },
        prompt_tokens: arrival.prompt_tokens + live.resume.relayed_tokens(),
        max_output_tokens: arrival.max_output_tokens - live.resume.relayed_tokens(),
        prefix_hashes: &arrival.prefix_hashes,
        target: LatencyTarget::of_class(class, remaining_ms),
        bound_region: document.accounts[arrival.account].bound_region.as_ref(),
        hops: &live.hops,
        tried: &live.tried,
    }
}

impl<'a> World<'a> {
    fn new(
        deployment: &'a Deployment,
        case: &'a Case,
        arrivals: &'a [Arrival],
        policy: Policy,
        seed: u64,
    ) -> Self {
        let live = |(index, arrival): (usize, &Arrival)| {
            let id = format!("r{index}").parse().expect("a request name");
            let instance = &deployment.instances[arrival.instance].id;
            let hops = Hops::default().arrive(instance).expect("a first visit");
            Live::new(id, hops, arrival.max_output_tokens)
        };
        let engine = |_: &_| Engine {
            batch: BatchEngine::new(deployment.engine),
            is_alive: true,
            life: 1,
        };
        let instances = 0..deployment.instances.len();
        Self {
            deployment,
            case,
            arrivals,
            policy,
            engines: deployment.document.upstreams.iter().map(engine).collect(),
            instances: instances
                .map(|index| Instance::new(deployment, index, seed))
                .collect(),
            live: arrivals.iter().enumerate().map(live).collect(),
            events: Events::default(),
            measure: Measure::new(deployment, case.greedy_account),
            now_us: 0,
            open: arrivals.len(),
        }
    }

    fn schedule(&mut self) {
        for (index, fault) in self.case.faults.iter().enumerate() {
            self.events.push(fault.at_us, Event::Fault(index));
            let known_us = fault.at_us + LIVE_LIST_US;
            self.events.push(known_us, Event::LiveList(index));
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.events.push(arrival.at_us, Event::Arrive(index));
        }
        for instance in 0..self.instances.len() {
            let offset_us = instance as u64 * 7_000;
            for is_far in [false, true] {
                let event = Event::SendDigest { instance, is_far };
                self.events.push(offset_us, event);
            }
        }
        self.events.push(0, Event::Report);
        self.events.push(0, Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Submit { engine, job } => self.submit(engine, job),
            Event::StepEnd { engine, life } => self.step_end(engine, life),
            Event::Deliver { instance, tokens } => self.deliver(instance, &tokens),
            Event::Fail { job, is_not_run } => self.fail(job, is_not_run),
            Event::Retry(request) => self.place(request),
            Event::Deadline(request) => self.deadline(request),
            Event::SendDigest { instance, is_far } => self.send_digest(instance, is_far),
            Event::Digest { from, to, digest } => {
                let from = self.deployment.instances[from].id.clone();
                let now = self.now();
                self.instances[to].router.apply_digest(&from, &digest, now);
                self.drain(to);
            }
            Event::Report => self.report(),
            Event::Tick => self.tick(),
            Event::Fault(index) => self.fault(index),
            Event::LiveList(index) => self.live_list(index),
        }
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn arrive(&mut self, request: usize) {
        let arrival = &self.arrivals[request];
        self.instances[arrival.instance].retrier.on_request();
        let deadline_ms = self.deployment.document.classes[arrival.class].deadline_ms;
        let deadline_us = self.now_us + deadline_ms * 1_000;
        self.events.push(deadline_us, Event::Deadline(request));
        self.place(request);
    }

    /// Places a request that is new or failed before.
    fn place(&mut self, request: usize) {
        if self.live[request].is_over() {
            return;
        }
        match self.policy {
            Policy::Ours => self.place_ours(request),
            Policy::Baseline {
                choice,
                is_everywhere,
            } => self.place_baseline(request, choice, is_everywhere),
        }
    }

    fn place_ours(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let document = &self.deployment.document;
        let priority = document.classes[arrival.class].priority;
        let now = self.now();
        let instance = &mut self.instances[arrival.instance];
        let request = request(document, arrival, &self.live[index], self.now_us);
        let placed = instance.router.place(&request, now, &mut instance.rng);
        match placed {
            Ok(placement) if !instance.admit.has_waiting(priority) => self.start(index, &placement),
            Ok(_) => self.enqueue(index, 0),
            Err(Refusal::Full { wait_ms }) => self.enqueue(index, wait_ms),
            Err(_) => self.refuse(index),
        }
    }

    fn enqueue(&mut self, request: usize, wait_ms: u64) {
        let arrival = &self.arrivals[request];
        let document = &self.deployment.document;
        let class = &document.classes[arrival.class];
        let account = &document.accounts[arrival.account];
        let entry = QueuedRequest {
            account: Some(account.id.clone()),
            weight: account.queue_weight,
            priority: class.priority,
            cost_tokens: arrival.prompt_tokens + arrival.max_output_tokens,
            deadline: Millis(arrival.at_us / 1_000).plus(class.deadline_ms),
            item: request,
        };
        let now = self.now();
        let instance = &mut self.instances[arrival.instance];
        if instance.admit.enqueue(entry, wait_ms, now).is_err() {
            self.refuse(request);
            return;
        }
        self.live[request].stage = Stage::Queued;
        self.drain(arrival.instance);
    }

    /// Places what waits and can be placed.
    fn drain(&mut self, index: usize) {
        let now = self.now();
        loop {
            let (document, now_us) = (&self.deployment.document, self.now_us);
            let (live, arrivals) = (&self.live, self.arrivals);
            let Instance {
                admit, router, rng, ..
            } = &mut self.instances[index];
            if admit.is_empty() {
                return;
            }
            let next = admit.dequeue(
                |_| true,
                |entry| {
                    let item = entry.item;
                    let request = request(document, &arrivals[item], &live[item], now_us);
                    router.place(&request, now, rng).ok()
                },
            );
            match next {
                Some(Dequeued::Placed(entry, placement)) => self.start(entry.item, &placement),
                Some(Dequeued::Withdrawn(_)) | None => return,
            }
        }
    }

    fn start(&mut self, request: usize, placement: &Placement) {
        let upstreams = &self.deployment.document.upstreams;
        let engine = upstreams.iter().position(|u| u.id == placement.upstream);
        let engine = engine.expect("placed on a known upstream");
        let now = self.now();
        let instance = &mut self.instances[self.arrivals[request].instance];
        self.live[request].flight = Some(instance.router.start(placement, now));
        self.dispatch(request, engine);
    }

    fn place_baseline(&mut self, request: usize, choice: baseline::Choice, is_everywhere: bool) {
        let arrival = &self.arrivals[request];
        let document = &self.deployment.document;
        let bound = document.accounts[arrival.account].bound_region.as_ref();
        let live = &self.live[request];
        let instance = &mut self.instances[arrival.instance];
        let eligible = instance.eligible(&document.upstreams, bound, &live.tried, is_everywhere);
        let prefix = arrival.prefix_hashes[0];
        let Instance { turn, rng, .. } = instance;
        match baseline::choose(choice, &eligible, turn, prefix, rng) {
            Some(engine) => self.dispatch(request, engine),
            None => self.refuse(request),
        }
    }
}
