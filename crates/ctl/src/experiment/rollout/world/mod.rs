//! Simulation of a rollout: six instances in three regions, two versions and a store.

mod exchange;
mod schedule;
mod traffic;
mod verdict;

use super::case::{Case, Onset};
use carobwheel_core::document::{Rollout, RolloutStep};
use carobwheel_core::evidence::{Evidence, OriginTag};
use carobwheel_core::rollout::{RolloutState, Verdict, VerdictWriter};
use carobwheel_core::time::{Millis, UnixMillis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use schedule::{Event, ScheduledEvent};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const REGIONS: [&str; 3] = ["north", "south", "central"];
const INSTANCES: usize = 6;
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

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::experiment::rollout) struct RunResult {
    /// Verdict in the store, if all instances have adopted it at the end.
    pub(in crate::experiment::rollout) verdict: Option<Verdict>,
    /// Requests to the new version before the first request that met its fault.
    pub(in crate::experiment::rollout) new_before: u64,
    /// Requests to the new version from the first one that met its fault.
    pub(in crate::experiment::rollout) new_after: u64,
    /// Requests to both versions from the same time to the deadline.
    pub(in crate::experiment::rollout) all_after: u64,
    /// Time from the first request that met the fault to the first suspicion, in milliseconds.
    pub(in crate::experiment::rollout) suspicion_ms: Option<u64>,
    /// Time from the deadline until all instances had adopted the verdict, in milliseconds;
    /// negative before the deadline.
    pub(in crate::experiment::rollout) verdict_after_deadline_ms: i64,
    /// Requests that an instance sent to the new version after it had stopped it itself.
    pub(in crate::experiment::rollout) new_after_stop: u64,
}

struct Instance {
    region: usize,
    evidence: Evidence,
    state: RolloutState,
    writer: VerdictWriter,
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
pub(in crate::experiment::rollout) fn run(case: &Case, seed: u64) -> RunResult {
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
