//! Discrete-event simulation of instances and engines.

mod attempt;
mod updates;

use super::baseline::{self, Policy};
use super::deployment::Deployment;
use super::event::{Event, EventQueue};
use super::instance::Instance;
use super::measure::{EngineTotals, Measurements, PolicyRow};
use super::request_state::{RequestState, Stage};
use super::scenario::ScenarioSettings;
use super::workload::Arrival;
use carobwheel_core::admit::{Dequeued, QueuedRequest};
use carobwheel_core::document::Document;
use carobwheel_core::route::{Hops, LatencyTarget, Placement, Refusal, Request, Requirement};
use carobwheel_core::time::Millis;
use carobwheel_standin::batch::BatchEngine;

/// One-way delay between caller and instance, in microseconds.
const CALLER_DELAY_US: u64 = 3_000;
const TICK_INTERVAL_US: u64 = 20_000;
const REGION_DIGEST_INTERVAL_US: u64 = 200_000;
const CROSS_REGION_DIGEST_INTERVAL_US: u64 = 1_000_000;
const REPORT_INTERVAL_US: u64 = 500_000;
/// Delay until the live list shows a crash or return, in microseconds.
const LIVE_LIST_DELAY_US: u64 = 2_000_000;
/// Time allowed for retrying a request that has its first token, in milliseconds.
const RESUME_TIMEOUT_MS: u64 = 10_000;

struct Engine {
    batch: BatchEngine,
    is_alive: bool,
    /// Number of the registration, raised at each return.
    registration: u64,
}

struct World<'a> {
    deployment: &'a Deployment,
    settings: &'a ScenarioSettings,
    arrivals: &'a [Arrival],
    policy: Policy,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    requests: Vec<RequestState>,
    events: EventQueue,
    measurements: Measurements,
    now_us: u64,
    unfinished_requests: usize,
}

/// Simulates the arrivals with one policy and returns its results.
pub(super) fn run(
    deployment: &Deployment,
    settings: &ScenarioSettings,
    arrivals: &[Arrival],
    policy: Policy,
    seed: u64,
) -> PolicyRow {
    let mut world = World::new(deployment, settings, arrivals, policy, seed);
    world.schedule();
    while world.unfinished_requests > 0 {
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
    world.measurements.row(policy.name(), deployment, &totals)
}

/// Returns the request in the form that the router places.
fn placement_request<'r>(
    document: &'r Document,
    arrival: &'r Arrival,
    state: &'r RequestState,
    now_us: u64,
) -> Request<'r> {
    let class = &document.classes[arrival.class];
    let model = &document.models[0];
    let waited_ms = (now_us - arrival.at_us) / 1_000;
    let remaining_ms = match state.last_token_at_us {
        Some(_) => RESUME_TIMEOUT_MS,
        None => class.deadline_ms.saturating_sub(waited_ms),
    };
    Request {
        id: &state.id,
        requirement: Requirement::Model {
            model: &model.id,
            version: &model.version,
        },
        prompt_tokens: arrival.prompt_tokens + state.resume_point.relayed_tokens(),
        max_output_tokens: arrival.max_output_tokens - state.resume_point.relayed_tokens(),
        prefix_hashes: &arrival.prefix_hashes,
        target: LatencyTarget::of_class(class, remaining_ms),
        bound_region: document.accounts[arrival.account].bound_region.as_ref(),
        hops: &state.hops,
        tried: &state.tried,
    }
}

impl<'a> World<'a> {
    fn new(
        deployment: &'a Deployment,
        settings: &'a ScenarioSettings,
        arrivals: &'a [Arrival],
        policy: Policy,
        seed: u64,
    ) -> Self {
        let state = |(index, arrival): (usize, &Arrival)| {
            let id = format!("r{index}").parse().expect("a request name");
            let instance = &deployment.instances[arrival.instance].id;
            let hops = Hops::default().arrive(instance).expect("a first visit");
            RequestState::new(id, hops, arrival.max_output_tokens)
        };
        let engine = |_: &_| Engine {
            batch: BatchEngine::new(deployment.engine),
            is_alive: true,
            registration: 1,
        };
        let instances = 0..deployment.instances.len();
        Self {
            deployment,
            settings,
            arrivals,
            policy,
            engines: deployment.document.upstreams.iter().map(engine).collect(),
            instances: instances
                .map(|index| Instance::new(deployment, index, seed))
                .collect(),
            requests: arrivals.iter().enumerate().map(state).collect(),
            events: EventQueue::default(),
            measurements: Measurements::new(deployment, settings.greedy_account),
            now_us: 0,
            unfinished_requests: arrivals.len(),
        }
    }

    fn schedule(&mut self) {
        for (index, fault) in self.settings.faults.iter().enumerate() {
            self.events.push(fault.at_us, Event::Fault(index));
            let listed_at_us = fault.at_us + LIVE_LIST_DELAY_US;
            self.events.push(listed_at_us, Event::UpdateLiveList(index));
        }
        for (index, arrival) in self.arrivals.iter().enumerate() {
            self.events.push(arrival.at_us, Event::Arrive(index));
        }
        for instance in 0..self.instances.len() {
            let offset_us = instance as u64 * 7_000;
            for is_cross_region in [false, true] {
                let event = Event::SendDigest {
                    instance,
                    is_cross_region,
                };
                self.events.push(offset_us, event);
            }
        }
        self.events.push(0, Event::ReportLoads);
        self.events.push(0, Event::Tick);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Submit { engine, job } => self.submit(engine, job),
            Event::StepEnd {
                engine,
                registration,
            } => self.end_step(engine, registration),
            Event::Deliver { instance, tokens } => self.deliver(instance, &tokens),
            Event::Fail { job, is_not_run } => self.handle_failure(job, is_not_run),
            Event::Retry(request) => self.place(request),
            Event::Deadline(request) => self.handle_deadline(request),
            Event::SendDigest {
                instance,
                is_cross_region,
            } => self.send_digest(instance, is_cross_region),
            Event::DeliverDigest { from, to, digest } => {
                let from = self.deployment.instances[from].id.clone();
                let now = self.now();
                self.instances[to].router.apply_digest(&from, &digest, now);
                self.place_waiting(to);
            }
            Event::ReportLoads => self.report_loads(),
            Event::Tick => self.tick(),
            Event::Fault(index) => self.apply_fault(index),
            Event::UpdateLiveList(index) => self.update_live_list(index),
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

    /// Places a request that is new or to be retried.
    fn place(&mut self, request: usize) {
        if self.requests[request].is_finished() {
            return;
        }
        match self.policy {
            Policy::Ours => self.place_by_router(request),
            Policy::Baseline {
                choice,
                is_everywhere,
            } => self.place_baseline(request, choice, is_everywhere),
        }
    }

    fn place_by_router(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let document = &self.deployment.document;
        let priority = document.classes[arrival.class].priority;
        let now = self.now();
        let instance = &mut self.instances[arrival.instance];
        let request = placement_request(document, arrival, &self.requests[index], self.now_us);
        let placed = instance.router.place(&request, now, &mut instance.rng);
        match placed {
            Ok(placement) if !instance.admission_queues.has_waiting(priority) => {
                self.start(index, &placement)
            }
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
        if instance
            .admission_queues
            .enqueue(entry, wait_ms, now)
            .is_err()
        {
            self.refuse(request);
            return;
        }
        self.requests[request].stage = Stage::Queued;
        self.place_waiting(arrival.instance);
    }

    /// Places waiting requests until none can be placed.
    fn place_waiting(&mut self, index: usize) {
        let now = self.now();
        loop {
            let (document, now_us) = (&self.deployment.document, self.now_us);
            let (requests, arrivals) = (&self.requests, self.arrivals);
            let Instance {
                admission_queues,
                router,
                rng,
                ..
            } = &mut self.instances[index];
            if admission_queues.is_empty() {
                return;
            }
            let next = admission_queues.dequeue(
                |_| true,
                |entry| {
                    let item = entry.item;
                    let request =
                        placement_request(document, &arrivals[item], &requests[item], now_us);
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
        self.requests[request].attempt_id = Some(instance.router.start(placement, now));
        self.dispatch(request, engine);
    }

    fn place_baseline(&mut self, request: usize, choice: baseline::Choice, is_everywhere: bool) {
        let arrival = &self.arrivals[request];
        let document = &self.deployment.document;
        let bound = document.accounts[arrival.account].bound_region.as_ref();
        let state = &self.requests[request];
        let instance = &mut self.instances[arrival.instance];
        let candidates =
            instance.candidates(&document.upstreams, bound, &state.tried, is_everywhere);
        let prefix = arrival.prefix_hashes[0];
        let Instance {
            round_robin_counter,
            rng,
            ..
        } = instance;
        match baseline::choose(choice, &candidates, round_robin_counter, prefix, rng) {
            Some(engine) => self.dispatch(request, engine),
            None => self.refuse(request),
        }
    }
}
