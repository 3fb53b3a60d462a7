//! Simulation of a rollout: six instances in three regions, two versions and a store.

use super::case::{Case, Fault, Onset};
use carobwheel_core::document::{Rollout, RolloutStep};
use carobwheel_core::evidence::{
    Evidence, EvidenceChange, EvidenceDigest, OriginTag, RequestTicket, RouteTag, Sample, Side,
    Suspicion,
};
use carobwheel_core::rollout::{
    RolloutState, Verdict, VerdictAnswer, VerdictEffect, VerdictWriter,
};
use carobwheel_core::time::{Millis, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const REGIONS: [&str; 3] = ["north", "south", "central"];
const INSTANCES: usize = 6;
/// Share of the requests on each route.
const ROUTE_WEIGHTS: [f64; 3] = [0.7, 0.25, 0.05];
/// Median time to the first token on each route, in milliseconds.
const MEDIAN_FIRST_TOKEN_MS: [f64; 3] = [150.0, 200.0, 400.0];
const MEDIAN_BETWEEN_TOKENS_MS: f64 = 25.0;
/// Ratio of requests that fail without an injected failure.
const BASE_FAILURE_RATIO: f64 = 0.002;
const REQUEST_TIMEOUT_MS: u64 = 5_000;
const UNIX_START_MS: u64 = 1_800_000_000_000;
/// Start of each step, in milliseconds, and share of the new version, in parts per million.
const STEPS: [(u64, u32); 5] = [
    (60_000, 10_000),
    (180_000, 50_000),
    (360_000, 200_000),
    (600_000, 500_000),
    (840_000, 1_000_000),
];
const DEADLINE_MS: u64 = 1_200_000;
/// End of the store's outage and of the partition, in milliseconds.
const OUTAGE_END_MS: u64 = DEADLINE_MS + 60_000;
const RUN_END_MS: u64 = DEADLINE_MS + 300_000;
const REGION_GOSSIP_INTERVAL_MS: u64 = 200;
const CROSS_REGION_GOSSIP_INTERVAL_MS: u64 = 500;
const CROSS_REGION_DELAY_MS: u64 = 80;
const MAX_DIGEST_ENTRIES: usize = 32;
/// Period over which the instances spread their first calls to the store, in milliseconds.
const VERDICT_SPREAD_MS: u64 = 2_000;

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunResult {
    /// Verdict in the store, if all instances have adopted it at the end.
    pub(super) verdict: Option<Verdict>,
    /// Requests to the new version before the first request that met its fault.
    pub(super) new_before: u64,
    /// Requests to the new version from the first one that met its fault.
    pub(super) new_after: u64,
    /// Requests to both versions from the same time to the deadline.
    pub(super) all_after: u64,
    /// Time from the first request that met the fault to the first suspicion, in milliseconds.
    pub(super) suspicion_ms: Option<u64>,
    /// Time from the deadline until all instances had adopted the verdict, in milliseconds;
    /// negative before the deadline.
    pub(super) verdict_after_deadline_ms: i64,
    /// Requests that an instance sent to the new version after it had stopped it itself.
    pub(super) new_after_stop: u64,
}

/// Event of the simulation. The first number is the index of an instance.
enum Event {
    Arrival,
    RequestEnded(usize, RequestTicket, Sample),
    RegionGossip(usize),
    CrossRegionGossip(usize),
    DeliverDigest(usize, Box<EvidenceDigest>),
    Tick(usize),
    StoreCall(usize, VerdictEffect),
    StoreAnswer(usize, u32, VerdictAnswer),
}

struct Instance {
    region: usize,
    evidence: Evidence,
    state: RolloutState,
    writer: VerdictWriter,
}

/// Event with its time. Events of equal time are ordered by `sequence`.
struct ScheduledEvent {
    at_ms: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}

struct World<'a> {
    case: &'a Case,
    rng: SmallRng,
    now_ms: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    instances: Vec<Instance>,
    stored_verdict: Option<Verdict>,
    request_count: u64,
    onset_ms: u64,
    swing_phase: f64,
    load_jump_at_ms: u64,
    common_failure_at_ms: u64,
    // Current second, and requests to the new version in it and in the previous one.
    new_version_rate: (u64, u64, u64),
    // Time of the first request that met the fault.
    first_fault_at_ms: Option<u64>,
    result: RunResult,
}

/// Simulates a case with a seed.
pub(super) fn run(case: &Case, seed: u64) -> RunResult {
    let mut world = World::new(case, seed);
    while let Some(Reverse(scheduled)) = world.events.pop() {
        world.now_ms = scheduled.at_ms;
        if world.now_ms > RUN_END_MS || world.is_settled() {
            break;
        }
        world.handle(scheduled.event);
    }
    world.finish()
}

fn rollout() -> Rollout {
    let id = |text: &str| text.to_owned();
    let step = |(at_ms, share_ppm): (u64, u32)| RolloutStep {
        at_unix_ms: UnixMillis(UNIX_START_MS + at_ms),
        share_ppm,
    };
    Rollout {
        id: id("appraiser-7").try_into().expect("a valid identifier"),
        model: id("appraiser").try_into().expect("a valid identifier"),
        old_version: id("6").try_into().expect("a valid identifier"),
        new_version: id("7").try_into().expect("a valid identifier"),
        steps: STEPS.into_iter().map(step).collect(),
        deadline_unix_ms: UnixMillis(UNIX_START_MS + DEADLINE_MS),
    }
}

fn instance(index: usize, rng: &mut SmallRng) -> Instance {
    let name = format!("instance-{index}");
    let origin = OriginTag::new(&name.try_into().expect("a valid identifier"), 1);
    let region = index % REGIONS.len();
    let region_id = REGIONS[region].parse().expect("a valid identifier");
    Instance {
        region,
        evidence: Evidence::new(origin, region_id),
        state: RolloutState::new(rollout(), origin),
        writer: VerdictWriter::new(rng.random_range(0..1_000)),
    }
}

impl<'a> World<'a> {
    fn new(case: &'a Case, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = (0..INSTANCES).map(|i| instance(i, &mut rng)).collect();
        let first_ms = STEPS[0].0;
        let onset_ms = match case.onset {
            Onset::AtRandomTime => rng.random_range(first_ms..DEADLINE_MS - 120_000),
            Onset::Immediate | Onset::UnderLoad(_) => 0,
        };
        let mut world = Self {
            case,
            now_ms: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            instances,
            stored_verdict: None,
            request_count: 0,
            onset_ms,
            swing_phase: rng.random_range(0.0..std::f64::consts::TAU),
            load_jump_at_ms: rng.random_range(first_ms..DEADLINE_MS),
            common_failure_at_ms: rng.random_range(first_ms..DEADLINE_MS - 60_000),
            new_version_rate: (0, 0, 0),
            first_fault_at_ms: None,
            result: RunResult::default(),
            rng,
        };
        world.schedule_after(1, Event::Arrival);
        for index in 0..INSTANCES {
            let phase_ms = world.rng.random_range(1..REGION_GOSSIP_INTERVAL_MS);
            world.schedule_after(phase_ms, Event::RegionGossip(index));
            world.schedule_after(phase_ms * 2, Event::CrossRegionGossip(index));
            world.schedule_after(phase_ms * 3, Event::Tick(index));
        }
        world
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at_ms: self.now_ms + delay_ms,
            sequence: self.sequence,
            event,
        }));
    }

    fn is_settled(&self) -> bool {
        self.instances.iter().all(|i| i.state.verdict().is_some())
    }

    fn unix_now(&self) -> UnixMillis {
        UnixMillis(UNIX_START_MS + self.now_ms)
    }

    fn load(&self) -> f64 {
        let load_swing = self.case.disturbances.load_swing;
        let angle = self.now_ms as f64 / 180_000.0 * std::f64::consts::TAU;
        let is_jump = (self.load_jump_at_ms..self.load_jump_at_ms + 60_000).contains(&self.now_ms);
        let jump = if is_jump { 1.0 + load_swing } else { 1.0 };
        (1.0 + load_swing * (angle + self.swing_phase).sin()) * jump
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::RequestEnded(index, ticket, sample) => {
                self.instances[index].evidence.end(ticket, sample);
                self.assess_own_evidence(index);
            }
            Event::RegionGossip(index) => self.region_gossip(index),
            Event::CrossRegionGossip(index) => self.cross_region_gossip(index),
            Event::DeliverDigest(index, digest) => self.deliver_digest(index, &digest),
            Event::Tick(index) => self.tick(index),
            Event::StoreCall(index, effect) => self.call_store(index, effect),
            Event::StoreAnswer(index, call, answer) => {
                let effects = self.instances[index]
                    .writer
                    .step(call, answer, Millis(self.now_ms));
                self.apply_verdict_effects(index, &effects);
            }
        }
    }

    fn handle_arrival(&mut self) {
        let rate_per_ms = self.case.requests_per_s * self.load() / 1_000.0;
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_ms;
        self.schedule_after(gap_ms.round() as u64, Event::Arrival);
        self.request_count += 1;
        let index = self.rng.random_range(0..INSTANCES);
        let route = self.pick_route();
        let request_id = format!("request-{}", self.request_count);
        let unix_now = self.unix_now();
        let side = self.instances[index]
            .state
            .choose(route_tag(route), &request_id, unix_now);
        let is_faulty = side == Side::New && self.is_fault_active(route);
        self.count_request(index, side, is_faulty);
        self.serve(index, route, side, is_faulty);
    }

    fn pick_route(&mut self) -> usize {
        let mut rest = self.rng.random::<f64>();
        for (route, weight) in ROUTE_WEIGHTS.iter().enumerate() {
            rest -= weight;
            if rest < 0.0 {
                return route;
            }
        }
        ROUTE_WEIGHTS.len() - 1
    }

    fn is_fault_active(&mut self, route: usize) -> bool {
        let second = self.now_ms / 1_000;
        if self.new_version_rate.0 != second {
            self.new_version_rate = (second, 0, self.new_version_rate.1);
        }
        self.new_version_rate.1 += 1;
        if !self.case.is_bad() || self.case.route.is_some_and(|only| only != route) {
            return false;
        }
        match self.case.onset {
            Onset::Immediate | Onset::AtRandomTime => self.now_ms >= self.onset_ms,
            Onset::UnderLoad(limit) => self.new_version_rate.1.max(self.new_version_rate.2) > limit,
        }
    }

    fn count_request(&mut self, index: usize, side: Side, is_faulty: bool) {
        if is_faulty && self.first_fault_at_ms.is_none() {
            self.first_fault_at_ms = Some(self.now_ms);
        }
        let has_fault = self.first_fault_at_ms.is_some();
        self.result.all_after += u64::from(has_fault);
        if side == Side::Old {
            return;
        }
        if has_fault {
            self.result.new_after += 1;
        } else {
            self.result.new_before += 1;
        }
        let state = &self.instances[index].state;
        let is_stopped = state.suspicion().is_some() && state.verdict() != Some(Verdict::Done);
        self.result.new_after_stop += u64::from(is_stopped);
    }

    fn serve(&mut self, index: usize, route: usize, side: Side, is_faulty: bool) {
        let load = self.load();
        let fault = if is_faulty {
            self.case.fault
        } else {
            Fault::None
        };
        let first_factor = match fault {
            Fault::SlowFirstToken(factor) => factor,
            _ => 1.0,
        };
        let between_factor = match fault {
            Fault::SlowTokens(factor) => factor,
            _ => 1.0,
        };
        let first_ms = lognormal(
            &mut self.rng,
            MEDIAN_FIRST_TOKEN_MS[route] * load * first_factor,
            0.5,
        );
        let between_ms = lognormal(
            &mut self.rng,
            MEDIAN_BETWEEN_TOKENS_MS * load * between_factor,
            0.2,
        );
        let failed = self.rng.random_bool(self.failure_ratio(fault));
        let hangs = fault == Fault::Hangs;
        let wait_ms = if hangs { REQUEST_TIMEOUT_MS } else { first_ms };
        let instance = &mut self.instances[index];
        let (tag, now) = (instance.state.tag(), Millis(self.now_ms));
        let ticket = instance.evidence.begin(tag, route_tag(route), side, now);
        let sample = Sample {
            failed: failed || hangs,
            first_token_ms: (!failed && !hangs).then_some(first_ms),
            between_tokens_ms: (!failed && !hangs).then_some(between_ms),
        };
        let duration_ms = if failed { wait_ms / 4 } else { wait_ms };
        self.schedule_after(duration_ms, Event::RequestEnded(index, ticket, sample));
    }

    fn failure_ratio(&self, fault: Fault) -> f64 {
        let common = &self.case.disturbances.common_failure_ratio;
        let is_common_failure =
            (self.common_failure_at_ms..self.common_failure_at_ms + 20_000).contains(&self.now_ms);
        let common = if is_common_failure { *common } else { 0.0 };
        match fault {
            Fault::Fails(ratio) => ratio.max(common),
            _ => BASE_FAILURE_RATIO.max(common),
        }
    }

    fn assess_own_evidence(&mut self, index: usize) {
        let changes = self.instances[index].evidence.count(Millis(self.now_ms));
        for change in &changes {
            self.assess_evidence(index, change);
        }
    }

    fn assess_evidence(&mut self, index: usize, change: &EvidenceChange) {
        let now = Millis(self.now_ms);
        let raised = self.instances[index].state.add_evidence(change, now);
        if let Some(suspicion) = raised {
            self.raise_suspicion(index, suspicion);
        }
    }

    // Sends a suspicion to all instances immediately. Gossip repeats it, so a lost message only
    // delays it.
    fn raise_suspicion(&mut self, index: usize, suspicion: Suspicion) {
        if self.result.suspicion_ms.is_none() {
            let first_fault_at_ms = self.first_fault_at_ms.unwrap_or(self.now_ms);
            self.result.suspicion_ms = Some(self.now_ms - first_fault_at_ms);
        }
        self.instances[index].evidence.suspect(suspicion);
        for other in 0..INSTANCES {
            let digest = EvidenceDigest {
                suspicions: vec![suspicion],
                ..EvidenceDigest::default()
            };
            self.send(index, other, digest);
        }
        self.propose(index);
    }

    fn is_region_partitioned(&self, region: usize) -> bool {
        let is_outage = self.now_ms < OUTAGE_END_MS;
        self.case.disturbances.is_partitioned && is_outage && region == REGIONS.len() - 1
    }

    fn send(&mut self, from: usize, to: usize, digest: EvidenceDigest) {
        let (from_region, to_region) = (self.instances[from].region, self.instances[to].region);
        let is_cross_region = from_region != to_region;
        let is_blocked = is_cross_region
            && (self.is_region_partitioned(from_region) || self.is_region_partitioned(to_region));
        if from == to || is_blocked || self.rng.random_bool(0.01) {
            return;
        }
        let delay_ms = if is_cross_region {
            CROSS_REGION_DELAY_MS
        } else {
            1
        };
        let jitter_ms = self.rng.random_range(0..=delay_ms / 4);
        self.schedule_after(
            delay_ms + jitter_ms,
            Event::DeliverDigest(to, Box::new(digest)),
        );
    }

    fn region_gossip(&mut self, index: usize) {
        self.schedule_after(REGION_GOSSIP_INTERVAL_MS, Event::RegionGossip(index));
        self.assess_own_evidence(index);
        let peer = (index + REGIONS.len()) % INSTANCES;
        let digest = self.instances[index]
            .evidence
            .digest_for_region(MAX_DIGEST_ENTRIES);
        self.send(index, peer, digest);
    }

    fn cross_region_gossip(&mut self, index: usize) {
        self.schedule_after(
            CROSS_REGION_GOSSIP_INTERVAL_MS,
            Event::CrossRegionGossip(index),
        );
        let region = self.instances[index].region;
        for other_region in (0..REGIONS.len()).filter(|other| *other != region) {
            let peers = INSTANCES / REGIONS.len();
            let peer = other_region + REGIONS.len() * self.rng.random_range(0..peers);
            let digest = self.instances[index].evidence.digest_for_other_region();
            self.send(index, peer, digest);
        }
    }

    fn deliver_digest(&mut self, index: usize, digest: &EvidenceDigest) {
        let instance = &mut self.instances[index];
        let changes = instance.evidence.merge(digest);
        let tag = instance.state.tag();
        if let Some(suspicion) = instance.evidence.suspicion(tag) {
            instance.state.suspect(*suspicion);
        }
        if let Some(verdict) = instance.evidence.verdict(tag) {
            let effects = instance.writer.settle(verdict);
            self.apply_verdict_effects(index, &effects);
        }
        for change in &changes {
            self.assess_evidence(index, change);
        }
    }

    fn tick(&mut self, index: usize) {
        self.schedule_after(1_000, Event::Tick(index));
        self.propose(index);
    }

    fn propose(&mut self, index: usize) {
        let unix_now = self.unix_now();
        let instance = &mut self.instances[index];
        if let Some(verdict) = instance.state.proposal(unix_now) {
            let now = Millis(self.now_ms);
            let effects = instance.writer.propose(verdict, VERDICT_SPREAD_MS, now);
            self.apply_verdict_effects(index, &effects);
        }
    }

    fn apply_verdict_effects(&mut self, index: usize, effects: &[VerdictEffect]) {
        for effect in effects {
            match effect {
                VerdictEffect::Adopt(verdict) => {
                    let instance = &mut self.instances[index];
                    instance.state.adopt(*verdict);
                    let tag = instance.state.tag();
                    instance.evidence.record_verdict(tag, *verdict);
                    let after_ms = self.now_ms as i64 - DEADLINE_MS as i64;
                    self.result.verdict_after_deadline_ms = after_ms;
                }
                VerdictEffect::Create { not_before, .. }
                | VerdictEffect::Read { not_before, .. } => {
                    let wait_ms = not_before.since(Millis(self.now_ms));
                    self.schedule_after(wait_ms + 40, Event::StoreCall(index, *effect));
                }
            }
        }
    }

    fn call_store(&mut self, index: usize, effect: VerdictEffect) {
        let (call, proposed) = match effect {
            VerdictEffect::Create { call, verdict, .. } => (call, Some(verdict)),
            VerdictEffect::Read { call, .. } => (call, None),
            VerdictEffect::Adopt(_) => return,
        };
        if !self.instances[index].writer.is_wanted(call) {
            return;
        }
        let is_down = self.case.disturbances.is_store_down && self.now_ms < OUTAGE_END_MS;
        let answer = if is_down || self.is_region_partitioned(self.instances[index].region) {
            VerdictAnswer::NotSent
        } else if let Some(verdict) = self.stored_verdict {
            VerdictAnswer::Found(verdict)
        } else if let Some(verdict) = proposed {
            self.stored_verdict = Some(verdict);
            VerdictAnswer::Written
        } else {
            VerdictAnswer::Absent
        };
        // One answer in ten is lost after the call has taken effect.
        let is_lost = self.rng.random_bool(0.1);
        let answer = if is_lost { VerdictAnswer::Lost } else { answer };
        self.schedule_after(40, Event::StoreAnswer(index, call, answer));
    }

    fn finish(mut self) -> RunResult {
        if self.is_settled() {
            self.result.verdict = self.stored_verdict;
        }
        // Adds the requests expected from now to the deadline, since a run ends as soon as all
        // instances have the verdict.
        let rest_ms = DEADLINE_MS.saturating_sub(self.now_ms);
        if self.first_fault_at_ms.is_some() {
            let rest = self.case.requests_per_s * rest_ms as f64 / 1_000.0;
            self.result.all_after += rest as u64;
        }
        self.result
    }
}

fn route_tag(route: usize) -> RouteTag {
    RouteTag(route as u16)
}

fn lognormal(rng: &mut SmallRng, median_ms: f64, sigma: f64) -> u64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (rng.random::<f64>() * std::f64::consts::TAU).cos();
    (median_ms * (sigma * normal).exp()).round() as u64
}
