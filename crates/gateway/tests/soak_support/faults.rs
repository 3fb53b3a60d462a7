//! Injection of random faults during the load.

use super::{
    load::{LoadState, Target},
    monitor::Monitor,
    plan::Plan,
    testbed::{Testbed, LIMITED_ACCOUNTS, RATES_TOKENS_PER_S, WITHDRAWN_ACCOUNT},
};
use crate::support::{Instance, PROPAGATION_LIMIT, REGIONS};
use carobwheel_standin::{
    engine::Fault, proxy::Impairment, service::ServiceFault, store::Availability,
};
use futures::FutureExt as _;
use rand::{rngs::StdRng, seq::SliceRandom, Rng, SeedableRng};
use serde_json::json;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval between polls of the testbed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of an instance's pause, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// Delay of reads and of writes at a slow store, in milliseconds.
const SLOW_READ_MS: u64 = 150;
const SLOW_WRITE_MS: u64 = 400;
/// Share of the store's responses that are lost, in parts per million.
const LOST_ANSWERS_PPM: u32 = 300_000;
/// Slowdown of a slow engine, in percent; 100 is normal speed.
const SLOWDOWN_PCT: u64 = 800;

/// Fault that a step may inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum FaultStep {
    KeyWithdrawn,
    UpstreamLeaving,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreWatchSilent,
    StoreConnectionsFrozen,
    RegionCutFromStore,
    InstanceKilled,
    InstancePaused,
    InstanceStopped,
    EngineFaults,
    EngineDown,
    EngineSlow,
    ServiceFaults,
    RatesChanged,
}

const ALL_STEPS: [FaultStep; 16] = [
    FaultStep::KeyWithdrawn,
    FaultStep::UpstreamLeaving,
    FaultStep::StoreDown,
    FaultStep::StoreSlow,
    FaultStep::StoreLosesAnswers,
    FaultStep::StoreWatchSilent,
    FaultStep::StoreConnectionsFrozen,
    FaultStep::RegionCutFromStore,
    FaultStep::InstanceKilled,
    FaultStep::InstancePaused,
    FaultStep::InstanceStopped,
    FaultStep::EngineFaults,
    FaultStep::EngineDown,
    FaultStep::EngineSlow,
    FaultStep::ServiceFaults,
    FaultStep::RatesChanged,
];

/// Upstream that the document marks as leaving.
struct LeavingUpstream {
    region: &'static str,
    published_at: Instant,
}

/// Injects the faults of a run.
pub(crate) struct FaultInjector {
    rng: StdRng,
    start: Instant,
    remaining_steps: Vec<FaultStep>,
    started_instances: usize,
    paused: Vec<(String, Instant)>,
    leaving: Option<LeavingUpstream>,
    /// Time until which the store as a whole stays up, so that a publication gets through.
    store_up_until: Instant,
    pub(crate) stopping: Vec<Instance>,
    /// Instances whose planned stop has ended, with their exit codes.
    pub(crate) stopped: Vec<(String, Option<i32>)>,
    pub(crate) killed_at: BTreeMap<String, Instant>,
    pub(crate) withdrawn_at: Option<Instant>,
    /// Number of requests that engines and services answer with an error status without running.
    pub(crate) injected_statuses: u64,
    /// Steps taken, with their times.
    pub(crate) steps: Vec<(Instant, FaultStep)>,
}

impl FaultInjector {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            remaining_steps: Vec::new(),
            started_instances: 0,
            paused: Vec::new(),
            leaving: None,
            store_up_until: Instant::now(),
            stopping: Vec::new(),
            stopped: Vec::new(),
            killed_at: BTreeMap::new(),
            withdrawn_at: None,
            injected_statuses: 0,
            steps: Vec::new(),
        }
    }

    /// Returns the last step taken up to `at`.
    pub(crate) fn step_at(&self, at: Instant) -> Option<FaultStep> {
        let before = self
            .steps
            .iter()
            .take_while(|(taken_at, _)| *taken_at <= at);
        before.last().map(|(_, step)| *step)
    }

    /// Injects faults until the run ends, then clears all of them.
    pub(crate) async fn run(
        &mut self,
        plan: Plan,
        start: Instant,
        testbed: &mut Testbed,
        load_state: &Arc<LoadState>,
        monitor: &mut Monitor,
    ) {
        let mut step = 0;
        while let Some(is_due) = plan.is_step_due(step, start, load_state.answered()) {
            monitor.poll(testbed);
            self.resume_paused(testbed, false);
            self.collect_stopped(testbed);
            if is_due {
                step += 1;
                self.take_step(testbed, load_state, monitor).await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.clear_faults(testbed);
        self.resume_paused(testbed, true);
    }

    async fn take_step(
        &mut self,
        testbed: &mut Testbed,
        load_state: &Arc<LoadState>,
        monitor: &mut Monitor,
    ) {
        if self.rng.random() {
            self.clear_faults(testbed);
        }
        let step = self.next_step();
        println!("{:>7} ms: {step:?}", self.start.elapsed().as_millis());
        self.steps.push((Instant::now(), step));
        match step {
            FaultStep::KeyWithdrawn => self.withdraw_key(testbed),
            FaultStep::UpstreamLeaving => self.change_leaving_upstream(testbed, monitor),
            FaultStep::RatesChanged => self.change_rates(testbed, monitor),
            FaultStep::InstanceKilled | FaultStep::InstancePaused | FaultStep::InstanceStopped => {
                self.inject_instance_fault(step, testbed, load_state).await;
            }
            FaultStep::EngineFaults
            | FaultStep::EngineDown
            | FaultStep::EngineSlow
            | FaultStep::ServiceFaults => {
                self.inject_upstream_fault(step, testbed);
            }
            _ => self.inject_store_fault(step, testbed),
        }
    }

    /// Draws the next step. Every fault occurs once before any is repeated. The two whose effects
    /// take longest to check come first.
    fn next_step(&mut self) -> FaultStep {
        if self.remaining_steps.is_empty() {
            self.remaining_steps = ALL_STEPS.to_vec();
            self.remaining_steps.shuffle(&mut self.rng);
            if self.steps.is_empty() {
                self.remaining_steps.sort_by_key(|step| {
                    matches!(step, FaultStep::KeyWithdrawn | FaultStep::UpstreamLeaving)
                });
            }
        }
        self.remaining_steps.pop().unwrap()
    }

    fn region(&mut self) -> &'static str {
        REGIONS[self.rng.random_range(0..REGIONS.len())]
    }

    /// Clears the faults that do not end by themselves.
    fn clear_faults(&self, testbed: &Testbed) {
        clear_store_faults(testbed);
        for engine in testbed.fleet.engines.values() {
            engine.set_refusing(false);
            engine.set_slowdown_pct(100);
        }
    }

    fn publish(&mut self, testbed: &Testbed) -> Instant {
        clear_store_faults(testbed);
        let now = Instant::now();
        testbed.fleet.publish();
        self.store_up_until = now + PROPAGATION_LIMIT;
        now
    }

    fn withdraw_key(&mut self, testbed: &mut Testbed) {
        if self.withdrawn_at.is_none() {
            testbed.fleet.document.entry("accounts", WITHDRAWN_ACCOUNT)["keys"] = json!([]);
            self.withdrawn_at = Some(self.publish(testbed));
        }
    }

    /// Marks an upstream as leaving and the previous one, if any, as staying again.
    fn change_leaving_upstream(&mut self, testbed: &mut Testbed, monitor: &mut Monitor) {
        if let Some(leaving) = &self.leaving {
            if leaving.published_at.elapsed() < PROPAGATION_LIMIT {
                return;
            }
            monitor.end_leaving(testbed);
            let id = format!("{}-engine", leaving.region);
            testbed.fleet.document.entry("upstreams", &id)["leaving"] = json!(false);
        }
        let region = self.region();
        let id = format!("{region}-engine");
        testbed.fleet.document.entry("upstreams", &id)["leaving"] = json!(true);
        let published_at = self.publish(testbed);
        monitor.begin_leaving(region, published_at);
        self.leaving = Some(LeavingUpstream {
            region,
            published_at,
        });
    }

    fn change_rates(&mut self, testbed: &mut Testbed, monitor: &mut Monitor) {
        let index = self.rng.random_range(0..RATES_TOKENS_PER_S.len());
        let rate_tokens_per_s = RATES_TOKENS_PER_S[index];
        for limited in &LIMITED_ACCOUNTS {
            let entry = testbed.fleet.document.entry("accounts", limited.account);
            entry["rate_tokens_per_s"] = json!(rate_tokens_per_s);
        }
        let published_at = self.publish(testbed);
        monitor.change_rate(published_at, rate_tokens_per_s);
    }

    fn inject_store_fault(&mut self, step: FaultStep, testbed: &Testbed) {
        let region = self.region();
        let (store, proxies) = (&testbed.fleet.store, &testbed.fleet.store_proxies);
        let must_be_up = Instant::now() < self.store_up_until;
        match step {
            FaultStep::StoreDown if must_be_up => {
                proxies[region].set_both(Impairment::partitioned())
            }
            FaultStep::StoreDown => {
                use Availability::{Hanging, Refusing, Unavailable};
                let kinds = [Hanging, Refusing, Unavailable];
                store.set_availability(kinds[self.rng.random_range(0..kinds.len())]);
            }
            FaultStep::StoreSlow => store.set_delay(SLOW_READ_MS, SLOW_WRITE_MS),
            FaultStep::StoreLosesAnswers => store.set_lost_answers_ppm(LOST_ANSWERS_PPM),
            FaultStep::StoreWatchSilent => store.set_watch_silent(true),
            FaultStep::StoreConnectionsFrozen => proxies[region].freeze_existing(),
            _ => {
                end_partitions(testbed);
                proxies[region].set_both(Impairment::partitioned());
            }
        }
    }

    fn inject_upstream_fault(&mut self, step: FaultStep, testbed: &Testbed) {
        let region = self.region();
        let engine = &testbed.fleet.engines[region];
        match step {
            FaultStep::EngineFaults => self.add_engine_faults(testbed),
            FaultStep::EngineDown => {
                testbed
                    .fleet
                    .engines
                    .values()
                    .for_each(|it| it.set_refusing(false));
                engine.set_refusing(true);
                engine.close_connections();
            }
            FaultStep::EngineSlow => engine.set_slowdown_pct(SLOWDOWN_PCT),
            _ => {
                use ServiceFault::{CloseAfterRunning, CloseBeforeRunning, CloseInAnswer, Status};
                let mut faults = [
                    CloseAfterRunning,
                    CloseBeforeRunning,
                    Status(503),
                    CloseInAnswer,
                ];
                for service in testbed.fleet.services.values() {
                    faults.shuffle(&mut self.rng);
                    service.fail_next(&faults);
                    self.injected_statuses += 1;
                }
            }
        }
    }

    fn add_engine_faults(&mut self, testbed: &Testbed) {
        let shared_engines = testbed.fleet.engines.values();
        for engine in shared_engines.chain(testbed.limited_engines.iter().flatten()) {
            let mut faults = [
                Fault::CloseBeforeFirstByte,
                Fault::CloseAfterBytes(self.rng.random_range(1..4_000)),
                Fault::Truncated,
                Fault::Delayed(self.rng.random_range(100..900)),
                Fault::Status(503),
            ];
            faults.shuffle(&mut self.rng);
            for fault in faults {
                let count = self.rng.random_range(1..3);
                engine.fail_next(fault, count);
                if matches!(fault, Fault::Status(_)) {
                    self.injected_statuses += count;
                }
            }
        }
    }

    async fn inject_instance_fault(
        &mut self,
        step: FaultStep,
        testbed: &mut Testbed,
        load_state: &Arc<LoadState>,
    ) {
        let index = self.rng.random_range(0..testbed.fleet.instances.len());
        let instance = &testbed.fleet.instances[index];
        let (id, region) = (instance.id.clone(), instance.region);
        if self.paused.iter().any(|(paused, _)| *paused == id) {
            return;
        }
        match step {
            FaultStep::InstancePaused => {
                let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
                self.paused.push((id, Instant::now() + pause));
                instance.pause();
                return;
            }
            FaultStep::InstanceKilled => {
                self.killed_at.insert(id.clone(), Instant::now());
                testbed.fleet.remove_instance(index);
            }
            _ => {
                testbed.fleet.live_list.set_leaving(&id);
                instance.terminate();
                let stopping = testbed.fleet.instances.remove(index);
                self.stopping.push(stopping);
            }
        }
        set_targets(testbed, load_state);
        self.started_instances += 1;
        let new_id = format!("{region}-r{}", self.started_instances);
        // A starting process needs its paused peers to resume eventually.
        self.resume_paused(testbed, true);
        testbed.fleet.start_instance(region, &new_id).await;
        set_targets(testbed, load_state);
    }

    /// Removes instances whose planned stop has ended from the live list.
    fn collect_stopped(&mut self, testbed: &Testbed) {
        for mut instance in std::mem::take(&mut self.stopping) {
            let ended = instance.exit_status().now_or_never();
            match ended {
                Some(status) => {
                    testbed.fleet.live_list.remove(&instance.id);
                    self.stopped.push((instance.id.clone(), status.code()));
                }
                None => self.stopping.push(instance),
            }
        }
    }

    /// Waits for the end of all planned stops.
    pub(crate) async fn await_stops(&mut self, testbed: &Testbed) {
        for instance in &mut self.stopping {
            instance.exit_status().await;
        }
        self.collect_stopped(testbed);
    }

    fn resume_paused(&mut self, testbed: &Testbed, resume_all: bool) {
        let now = Instant::now();
        self.paused.retain(|(id, until)| {
            let is_over = resume_all || now >= *until;
            let found = testbed.fleet.instances.iter().find(|it| it.id == *id);
            if let (true, Some(instance)) = (is_over, found) {
                instance.resume();
            }
            !is_over
        });
    }
}

fn clear_store_faults(testbed: &Testbed) {
    let store = &testbed.fleet.store;
    store.set_availability(Availability::Up);
    store.set_delay(0, 0);
    store.set_lost_answers_ppm(0);
    store.set_watch_silent(false);
    end_partitions(testbed);
}

/// Ends all partitions; frozen connections stay frozen.
fn end_partitions(testbed: &Testbed) {
    for proxy in testbed.fleet.store_proxies.values() {
        proxy.heal();
    }
}

/// Updates the instances that callers send requests to.
pub(crate) fn set_targets(testbed: &Testbed, load_state: &LoadState) {
    let targets = testbed.fleet.instances.iter().map(|instance| Target {
        id: instance.id.clone(),
        region: instance.region,
        url: instance.url.clone(),
    });
    *load_state.targets.lock().unwrap() = targets.collect();
}
