//! Random faults while the load runs.

use super::{
    load::{Board, Target},
    plan::Plan,
    stage::{Stage, LIMITED, RATES_TOKENS_PER_S, WITHDRAWN},
    watch::Watch,
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

/// Time between two looks at the stage.
const TICK: Duration = Duration::from_millis(20);
/// How long an instance is paused, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// Delays of a slow store, in milliseconds.
const SLOW_READ_MS: u64 = 150;
const SLOW_WRITE_MS: u64 = 400;
/// Share of the store's answers that are lost, out of 1,000,000.
const LOST_ANSWERS_PPM: u32 = 300_000;
/// Slowdown of a slow engine, in percent.
const SLOWDOWN_PCT: u64 = 800;

/// What may go wrong in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
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

const STEPS: [Step; 16] = [
    Step::KeyWithdrawn,
    Step::UpstreamLeaving,
    Step::StoreDown,
    Step::StoreSlow,
    Step::StoreLosesAnswers,
    Step::StoreWatchSilent,
    Step::StoreConnectionsFrozen,
    Step::RegionCutFromStore,
    Step::InstanceKilled,
    Step::InstancePaused,
    Step::InstanceStopped,
    Step::EngineFaults,
    Step::EngineDown,
    Step::EngineSlow,
    Step::ServiceFaults,
    Step::RatesChanged,
];

/// An upstream that the document marks as leaving.
struct Leaving {
    region: &'static str,
    published_at: Instant,
}

/// Brings about the faults.
pub(crate) struct Driver {
    rng: StdRng,
    start: Instant,
    deck: Vec<Step>,
    started_instances: usize,
    paused: Vec<(String, Instant)>,
    leaving: Option<Leaving>,
    /// Until then a publication has to get through, so the whole store stays up.
    store_up_until: Instant,
    pub(crate) stopping: Vec<Instance>,
    /// Planned stops that have ended, with the exit code of each.
    pub(crate) stopped: Vec<(String, Option<i32>)>,
    pub(crate) killed_at: BTreeMap<String, Instant>,
    pub(crate) withdrawn_at: Option<Instant>,
    /// Requests that engines and services answer with an error status without running them.
    pub(crate) injected_statuses: u64,
    /// The steps taken, with their times.
    pub(crate) steps: Vec<(Instant, Step)>,
}

impl Driver {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            deck: Vec::new(),
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

    /// The last step before `at`.
    pub(crate) fn step_at(&self, at: Instant) -> Option<Step> {
        let before = self
            .steps
            .iter()
            .take_while(|(taken_at, _)| *taken_at <= at);
        before.last().map(|(_, step)| *step)
    }

    /// Brings about faults until the run is at its end, and then takes all back.
    pub(crate) async fn run(
        &mut self,
        plan: Plan,
        start: Instant,
        stage: &mut Stage,
        board: &Arc<Board>,
        watch: &mut Watch,
    ) {
        let mut step = 0;
        while let Some(is_due) = plan.is_step_due(step, start, board.answered()) {
            watch.look(stage);
            self.resume_paused(stage, false);
            self.note_stopped(stage);
            if is_due {
                step += 1;
                self.take_step(stage, board, watch).await;
            }
            tokio::time::sleep(TICK).await;
        }
        self.heal(stage);
        self.resume_paused(stage, true);
    }

    async fn take_step(&mut self, stage: &mut Stage, board: &Arc<Board>, watch: &mut Watch) {
        if self.rng.random() {
            self.heal(stage);
        }
        let step = self.draw();
        println!("{:>7} ms: {step:?}", self.start.elapsed().as_millis());
        self.steps.push((Instant::now(), step));
        match step {
            Step::KeyWithdrawn => self.withdraw(stage),
            Step::UpstreamLeaving => self.change_leaving(stage, watch),
            Step::RatesChanged => self.change_rates(stage, watch),
            Step::InstanceKilled | Step::InstancePaused | Step::InstanceStopped => {
                self.disturb_instance(step, stage, board).await;
            }
            Step::EngineFaults | Step::EngineDown | Step::EngineSlow | Step::ServiceFaults => {
                self.disturb_upstream(step, stage);
            }
            _ => self.disturb_store(step, stage),
        }
    }

    /// Every fault comes before any comes again. The two whose effect takes longest to check come
    /// first.
    fn draw(&mut self) -> Step {
        if self.deck.is_empty() {
            self.deck = STEPS.to_vec();
            self.deck.shuffle(&mut self.rng);
            if self.steps.is_empty() {
                self.deck
                    .sort_by_key(|step| matches!(step, Step::KeyWithdrawn | Step::UpstreamLeaving));
            }
        }
        self.deck.pop().unwrap()
    }

    fn region(&mut self) -> &'static str {
        REGIONS[self.rng.random_range(0..REGIONS.len())]
    }

    /// Takes back what does not end by itself.
    fn heal(&self, stage: &Stage) {
        heal_store(stage);
        for engine in stage.fleet.engines.values() {
            engine.set_refusing(false);
            engine.set_slowdown_pct(100);
        }
    }

    fn publish(&mut self, stage: &Stage) -> Instant {
        heal_store(stage);
        let now = Instant::now();
        stage.fleet.publish();
        self.store_up_until = now + PROPAGATION_LIMIT;
        now
    }

    fn withdraw(&mut self, stage: &mut Stage) {
        if self.withdrawn_at.is_none() {
            stage.fleet.document.entry("accounts", WITHDRAWN)["keys"] = json!([]);
            self.withdrawn_at = Some(self.publish(stage));
        }
    }

    /// Marks an upstream as leaving; the one before, if any, comes back.
    fn change_leaving(&mut self, stage: &mut Stage, watch: &mut Watch) {
        if let Some(leaving) = &self.leaving {
            if leaving.published_at.elapsed() < PROPAGATION_LIMIT {
                return;
            }
            watch.end_leaving(stage);
            let id = format!("{}-engine", leaving.region);
            stage.fleet.document.entry("upstreams", &id)["leaving"] = json!(false);
        }
        let region = self.region();
        let id = format!("{region}-engine");
        stage.fleet.document.entry("upstreams", &id)["leaving"] = json!(true);
        let published_at = self.publish(stage);
        watch.begin_leaving(region, published_at);
        self.leaving = Some(Leaving {
            region,
            published_at,
        });
    }

    fn change_rates(&mut self, stage: &mut Stage, watch: &mut Watch) {
        let place = self.rng.random_range(0..RATES_TOKENS_PER_S.len());
        let rate_tokens_per_s = RATES_TOKENS_PER_S[place];
        for limited in &LIMITED {
            let entry = stage.fleet.document.entry("accounts", limited.account);
            entry["rate_tokens_per_s"] = json!(rate_tokens_per_s);
        }
        let published_at = self.publish(stage);
        watch.change_rate(published_at, rate_tokens_per_s);
    }

    fn disturb_store(&mut self, step: Step, stage: &Stage) {
        let region = self.region();
        let (store, proxies) = (&stage.fleet.store, &stage.fleet.store_proxies);
        let must_be_up = Instant::now() < self.store_up_until;
        match step {
            Step::StoreDown if must_be_up => proxies[region].set_both(Impairment::partitioned()),
            Step::StoreDown => {
                use Availability::{Hanging, Refusing, Unavailable};
                let kinds = [Hanging, Refusing, Unavailable];
                store.set_availability(kinds[self.rng.random_range(0..kinds.len())]);
            }
            Step::StoreSlow => store.set_delay(SLOW_READ_MS, SLOW_WRITE_MS),
            Step::StoreLosesAnswers => store.set_lost_answers_ppm(LOST_ANSWERS_PPM),
            Step::StoreWatchSilent => store.set_watch_silent(true),
            Step::StoreConnectionsFrozen => proxies[region].freeze_existing(),
            _ => {
                heal_proxies(stage);
                proxies[region].set_both(Impairment::partitioned());
            }
        }
    }

    fn disturb_upstream(&mut self, step: Step, stage: &Stage) {
        let region = self.region();
        let engine = &stage.fleet.engines[region];
        match step {
            Step::EngineFaults => self.add_engine_faults(stage),
            Step::EngineDown => {
                stage
                    .fleet
                    .engines
                    .values()
                    .for_each(|it| it.set_refusing(false));
                engine.set_refusing(true);
                engine.close_connections();
            }
            Step::EngineSlow => engine.set_slowdown_pct(SLOWDOWN_PCT),
            _ => {
                use ServiceFault::{CloseAfterRunning, CloseBeforeRunning, CloseInAnswer, Status};
                let mut faults = [
                    CloseAfterRunning,
                    CloseBeforeRunning,
                    Status(503),
                    CloseInAnswer,
                ];
                for service in stage.fleet.services.values() {
                    faults.shuffle(&mut self.rng);
                    service.fail_next(&faults);
                    self.injected_statuses += 1;
                }
            }
        }
    }

    fn add_engine_faults(&mut self, stage: &Stage) {
        let usual = stage.fleet.engines.values();
        for engine in usual.chain(stage.limited_engines.iter().flatten()) {
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

    async fn disturb_instance(&mut self, step: Step, stage: &mut Stage, board: &Arc<Board>) {
        let place = self.rng.random_range(0..stage.fleet.instances.len());
        let instance = &stage.fleet.instances[place];
        let (id, region) = (instance.id.clone(), instance.region);
        if self.paused.iter().any(|(paused, _)| *paused == id) {
            return;
        }
        match step {
            Step::InstancePaused => {
                let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
                self.paused.push((id, Instant::now() + pause));
                instance.pause();
                return;
            }
            Step::InstanceKilled => {
                self.killed_at.insert(id.clone(), Instant::now());
                stage.fleet.remove_instance(place);
            }
            _ => {
                stage.fleet.live_list.set_leaving(&id);
                instance.terminate();
                let stopping = stage.fleet.instances.remove(place);
                self.stopping.push(stopping);
            }
        }
        set_targets(stage, board);
        self.started_instances += 1;
        let new_id = format!("{region}-r{}", self.started_instances);
        // A process that is started needs those that are paused to go on sooner or later.
        self.resume_paused(stage, true);
        stage.fleet.start_instance(region, &new_id).await;
        set_targets(stage, board);
    }

    /// Takes instances whose planned stop has ended off the live list.
    fn note_stopped(&mut self, stage: &Stage) {
        for mut instance in std::mem::take(&mut self.stopping) {
            let ended = instance.exit_status().now_or_never();
            match ended {
                Some(status) => {
                    stage.fleet.live_list.remove(&instance.id);
                    self.stopped.push((instance.id.clone(), status.code()));
                }
                None => self.stopping.push(instance),
            }
        }
    }

    /// Waits for the end of all planned stops.
    pub(crate) async fn await_stops(&mut self, stage: &Stage) {
        for instance in &mut self.stopping {
            instance.exit_status().await;
        }
        self.note_stopped(stage);
    }

    fn resume_paused(&mut self, stage: &Stage, are_all: bool) {
        let now = Instant::now();
        self.paused.retain(|(id, until)| {
            let is_over = are_all || now >= *until;
            let found = stage.fleet.instances.iter().find(|it| it.id == *id);
            if let (true, Some(instance)) = (is_over, found) {
                instance.resume();
            }
            !is_over
        });
    }
}

fn heal_store(stage: &Stage) {
    let store = &stage.fleet.store;
    store.set_availability(Availability::Up);
    store.set_delay(0, 0);
    store.set_lost_answers_ppm(0);
    store.set_watch_silent(false);
    heal_proxies(stage);
}

/// Ends partitions; connections that are frozen stay so.
fn heal_proxies(stage: &Stage) {
    for proxy in stage.fleet.store_proxies.values() {
        proxy.heal();
    }
}

/// Tells the callers which instances there are.
pub(crate) fn set_targets(stage: &Stage, board: &Board) {
    let targets = stage.fleet.instances.iter().map(|instance| Target {
        id: instance.id.clone(),
        region: instance.region,
        url: instance.url.clone(),
    });
    *board.targets.lock().unwrap() = targets.collect();
}
