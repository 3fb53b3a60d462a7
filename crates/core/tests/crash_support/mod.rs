//! Model of instances that send requests to engines, some of which crash, and exchange reports.

use carobwheel_core::crash::{CrashDetector, CrashReport, Gate, HoldChange, PartId};
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// First part of all prompts.
pub(crate) const COMMON: PartId = 1;
/// First of the subject parts of sound prompts.
pub(crate) const FIRST_SUBJECT: PartId = 1_000;
const GOSSIP_MS: u64 = 200;
const CROSS_REGION_GOSSIP_MS: u64 = 500;
const MAX_WAITS: u32 = 10;
const MAX_ATTEMPTS: u32 = 3;
const MIN_LATENCY_MS: u64 = 50;

/// Size and load of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    pub(crate) regions: usize,
    pub(crate) subjects: u64,
    pub(crate) sound_per_s: f64,
    pub(crate) max_latency_ms: u64,
    pub(crate) engine_down_ms: u64,
    /// Share of the messages that are lost.
    pub(crate) loss: f64,
}

/// Part that crashes engines.
#[derive(Clone, Debug)]
pub(crate) struct CrashingPart {
    pub(crate) part: PartId,
    /// Parts before and after the crashing one in its prompts.
    pub(crate) beside: (Vec<PartId>, Vec<PartId>),
    pub(crate) per_s: f64,
    /// Requests with the part are answered before this time.
    pub(crate) from_ms: u64,
}

#[derive(Clone, Debug)]
struct Request {
    instance: usize,
    parts: Vec<PartId>,
    waits: u32,
    attempts: u32,
    due_ms: u64,
}

#[derive(Clone, Debug)]
enum Event {
    SoundArrival,
    CrashingArrival(usize),
    Try(Request),
    Output(u64),
    Kill(Vec<usize>),
    ResetInstance(usize),
    Back(usize),
    Gossip(usize),
    Deliver(usize, Rc<CrashReport>),
}

#[derive(Debug, Default)]
struct Engine {
    process: u32,
    is_down: bool,
    /// Share of the requests that the engine resets.
    reset_share: f64,
}

struct InFlight {
    engine: usize,
    request: Request,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) crash_times: Vec<u64>,
    /// Sends of requests with a crashing part, from the time at which the part crashes engines.
    pub(crate) bad_sends: BTreeMap<PartId, Vec<u64>>,
    /// Crashes caused by each part.
    pub(crate) bad_crashes: BTreeMap<PartId, Vec<u64>>,
    /// Sound parts that some instance held: time, instance, part.
    pub(crate) sound_holds: Vec<(u64, usize, PartId)>,
    /// Arrival time of each sound request, and whether it was answered.
    pub(crate) served: Vec<(u64, bool)>,
    pub(crate) max_report_bytes: usize,
}

pub(crate) struct Fleet {
    pub(crate) shape: Shape,
    pub(crate) rng: StdRng,
    pub(crate) now: u64,
    pub(crate) detectors: Vec<CrashDetector>,
    pub(crate) outcome: Outcome,
    /// Instances that no message reaches or leaves.
    pub(crate) cut_off: BTreeSet<usize>,
    engines: Vec<Engine>,
    crashing: Vec<CrashingPart>,
    in_flight: BTreeMap<u64, InFlight>,
    events: BTreeMap<(u64, u64), Event>,
    next_id: u64,
}

impl Fleet {
    pub(crate) fn new(shape: Shape, crashing: Vec<CrashingPart>, seed: u64) -> Self {
        let mut fleet = Self {
            shape,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            detectors: vec![CrashDetector::default(); shape.instances],
            outcome: Outcome::default(),
            cut_off: BTreeSet::new(),
            engines: (0..shape.engines).map(|_| Engine::default()).collect(),
            crashing,
            in_flight: BTreeMap::new(),
            events: BTreeMap::new(),
            next_id: 0,
        };
        fleet.at(0, Event::SoundArrival);
        for index in 0..fleet.crashing.len() {
            fleet.at(2_000, Event::CrashingArrival(index));
        }
        for index in 0..shape.instances {
            let phase_ms = fleet.rng.random_range(0..GOSSIP_MS);
            fleet.at(phase_ms, Event::Gossip(index));
        }
        fleet
    }

    pub(crate) fn kill_at(&mut self, at_ms: u64, engines: Vec<usize>) {
        self.at(at_ms, Event::Kill(engines));
    }

    pub(crate) fn reset_instance_at(&mut self, at_ms: u64, instance: usize) {
        self.at(at_ms, Event::ResetInstance(instance));
    }

    pub(crate) fn set_reset_share(&mut self, engine: usize, share: f64) {
        self.engines[engine].reset_share = share;
    }

    pub(crate) fn engines_of_region(&self, region: usize) -> Vec<usize> {
        let regions = self.shape.regions;
        (0..self.shape.engines)
            .filter(|engine| engine % regions == region)
            .collect()
    }

    pub(crate) fn run_until(&mut self, end_ms: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end_ms {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end_ms;
    }

    /// Share of the sound requests that arrived in a period and were answered.
    pub(crate) fn served_share(&self, from_ms: u64, to_ms: u64) -> f64 {
        let arrived = |(at, _): &&(u64, bool)| (from_ms..to_ms).contains(at);
        let all = self.outcome.served.iter().filter(arrived).count();
        let served = self.outcome.served.iter().filter(arrived);
        served.filter(|(_, ok)| *ok).count() as f64 / all.max(1) as f64
    }

    pub(crate) fn is_held(&self, instance: usize, part: PartId) -> bool {
        let gate = self.detectors[instance].gate(&[part], Millis(self.now));
        matches!(gate, Gate::Held { .. })
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.next_id += 1;
        self.events.insert((at_ms, self.next_id), event);
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now + delay_ms, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::SoundArrival => self.sound_arrival(),
            Event::CrashingArrival(index) => self.crashing_arrival(index),
            Event::Try(request) => self.try_send(request),
            Event::Output(id) => self.output(id),
            Event::Kill(engines) => engines.into_iter().for_each(|e| self.crash_engine(e)),
            Event::ResetInstance(instance) => self.reset_instance(instance),
            Event::Back(engine) => self.engines[engine].is_down = false,
            Event::Gossip(instance) => self.gossip(instance),
            Event::Deliver(instance, report) => {
                let changes = self.detectors[instance].receive(&report, Millis(self.now));
                self.note(instance, &changes);
            }
        }
    }

    fn sound_arrival(&mut self) {
        let gap_ms = self.gap_ms(self.shape.sound_per_s);
        self.after(gap_ms, Event::SoundArrival);
        let subject = FIRST_SUBJECT + self.rng.random_range(0..self.shape.subjects);
        self.arrive(vec![COMMON, subject]);
    }

    fn crashing_arrival(&mut self, index: usize) {
        let crashing = self.crashing[index].clone();
        let gap_ms = self.gap_ms(crashing.per_s);
        self.after(gap_ms, Event::CrashingArrival(index));
        let (mut parts, after) = crashing.beside;
        parts.push(crashing.part);
        parts.extend(after);
        self.arrive(parts);
    }

    fn gap_ms(&mut self, per_s: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        (-uniform.ln() * 1_000.0 / per_s) as u64
    }

    fn arrive(&mut self, parts: Vec<PartId>) {
        let instance = self.rng.random_range(0..self.shape.instances);
        self.try_send(Request {
            instance,
            parts,
            waits: 0,
            attempts: 0,
            due_ms: self.now,
        });
    }

    fn try_send(&mut self, mut request: Request) {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|e| !self.engines[*e].is_down)
            .collect();
        let gate = self.detectors[request.instance].gate(&request.parts, Millis(self.now));
        let is_refused = matches!(gate, Gate::Held { .. });
        if is_refused || request.waits >= MAX_WAITS || request.attempts >= MAX_ATTEMPTS {
            self.finish(&request, false);
        } else if up.is_empty() || gate != Gate::Open {
            request.waits += 1;
            self.after(100, Event::Try(request));
        } else {
            let engine = up[self.rng.random_range(0..up.len())];
            self.send(request, engine);
        }
    }

    fn send(&mut self, mut request: Request, engine: usize) {
        request.attempts += 1;
        self.detectors[request.instance].sent(&request.parts, Millis(self.now));
        if let Some(part) = self.crashing_part(&request.parts) {
            let sends = self.outcome.bad_sends.entry(part).or_default();
            sends.push(self.now);
        }
        let latency_ms = self
            .rng
            .random_range(MIN_LATENCY_MS..=self.shape.max_latency_ms);
        self.next_id += 1;
        let id = self.next_id;
        self.in_flight.insert(id, InFlight { engine, request });
        self.after(latency_ms, Event::Output(id));
    }

    /// The crashing part among these parts, if it crashes engines by now.
    fn crashing_part(&self, parts: &[PartId]) -> Option<PartId> {
        let crashing = self.crashing.iter().filter(|c| c.from_ms <= self.now);
        crashing.map(|c| c.part).find(|part| parts.contains(part))
    }

    fn output(&mut self, id: u64) {
        let Some(sent) = self.in_flight.get(&id) else {
            return;
        };
        let engine = sent.engine;
        if let Some(part) = self.crashing_part(&sent.request.parts) {
            let crashes = self.outcome.bad_crashes.entry(part).or_default();
            crashes.push(self.now);
            return self.crash_engine(engine);
        }
        if self.rng.random_bool(self.engines[engine].reset_share) {
            return self.break_request(id);
        }
        let Some(sent) = self.in_flight.remove(&id) else {
            return;
        };
        let detector = &mut self.detectors[sent.request.instance];
        detector.send_ended(&sent.request.parts);
        let changes = detector.answered(&sent.request.parts, Millis(self.now));
        self.note(sent.request.instance, &changes);
        self.finish(&sent.request, true);
    }

    fn crash_engine(&mut self, engine: usize) {
        if self.engines[engine].is_down {
            return;
        }
        self.outcome.crash_times.push(self.now);
        let waiting = self.in_flight.iter().filter(|(_, s)| s.engine == engine);
        let ids: Vec<u64> = waiting.map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.break_request(id));
        self.engines[engine].process += 1;
        self.engines[engine].is_down = true;
        self.after(self.shape.engine_down_ms, Event::Back(engine));
    }

    fn reset_instance(&mut self, instance: usize) {
        let waiting = self.in_flight.iter();
        let ids: Vec<u64> = waiting
            .filter(|(_, s)| s.request.instance == instance)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter().for_each(|id| self.break_request(id));
    }

    fn break_request(&mut self, id: u64) {
        let Some(InFlight { engine, request }) = self.in_flight.remove(&id) else {
            return;
        };
        let hash = engine as u32 * 10_000 + self.engines[engine].process;
        let detector = &mut self.detectors[request.instance];
        let is_ended_first = self.rng.random_bool(0.5);
        if is_ended_first {
            detector.send_ended(&request.parts);
        }
        let changes = detector.crashed(hash, &request.parts, Millis(self.now));
        if !is_ended_first {
            detector.send_ended(&request.parts);
        }
        let may_repeat = detector.may_repeat(&request.parts, Millis(self.now));
        self.note(request.instance, &changes);
        if may_repeat {
            self.after(50, Event::Try(request));
        } else {
            self.finish(&request, false);
        }
    }

    fn finish(&mut self, request: &Request, is_answered: bool) {
        let is_bad = |c: &CrashingPart| request.parts.contains(&c.part);
        if !self.crashing.iter().any(is_bad) {
            self.outcome.served.push((request.due_ms, is_answered));
        }
    }

    fn note(&mut self, instance: usize, changes: &[HoldChange]) {
        for change in changes {
            if let HoldChange::Held { part, .. } = change {
                let goes_with = |c: &CrashingPart| c.part == *part || c.beside.1.contains(part);
                if !self.crashing.iter().any(goes_with) {
                    let hold = (self.now, instance, *part);
                    self.outcome.sound_holds.push(hold);
                }
            }
        }
    }

    fn gossip(&mut self, from: usize) {
        self.after(GOSSIP_MS, Event::Gossip(from));
        let changes = self.detectors[from].expire(Millis(self.now));
        self.note(from, &changes);
        let report = self.detectors[from].report(Millis(self.now));
        if report == CrashReport::default() || self.cut_off.contains(&from) {
            return;
        }
        let bytes = serde_json::to_vec(&report).expect("a report is plain data");
        self.outcome.max_report_bytes = self.outcome.max_report_bytes.max(bytes.len());
        let report = Rc::new(report);
        for to in (0..self.shape.instances).filter(|to| *to != from) {
            if self.cut_off.contains(&to) || self.rng.random_bool(self.shape.loss) {
                continue;
            }
            let is_near = from % self.shape.regions == to % self.shape.regions;
            let phase_ms = if is_near {
                0
            } else {
                self.now % CROSS_REGION_GOSSIP_MS / 2
            };
            let is_late = self.rng.random_bool(0.01);
            let delay_ms = self
                .rng
                .random_range(if is_late { 500..2_000 } else { 1..150 });
            self.after(phase_ms + delay_ms, Event::Deliver(to, Rc::clone(&report)));
        }
    }
}
