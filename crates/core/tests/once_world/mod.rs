//! A small world of instances, one store and one upstream, in which actions race.

use carobwheel_core::once::{
    Action, ActionRecord, ActionSpec, Answer, Effect, Execution, Input, NotRun, OnceKey, Outcome,
    StoreAnswer, StoredBody, UpstreamEvent, WriterId,
};
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// A fault built into the world, to show that a check notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Planted {
    /// None.
    Nothing,
    /// Requests are sent without asking for the permit.
    SendWithoutPermit,
    /// The store overwrites on create.
    StoreOverwrites,
    /// All instances draw the same writer mark.
    SharedMark,
    /// A dispatch cut after sending is reported as free of bytes.
    FalseNoBytes,
    /// The store drops records long before the end of their life.
    ShortLease,
    /// A create whose answer was lost is reported as written.
    LostTakenForWritten,
}

/// How much goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weather {
    /// Probability that a call of the store is lost, half of these after taking effect.
    pub(crate) lost: f64,
    /// Probability that an upstream cannot be reached.
    pub(crate) refused: f64,
    /// Probability that the answer of the upstream is lost.
    pub(crate) cut: f64,
    /// Pauses, crashes and an outage of the store happen.
    pub(crate) has_failures: bool,
    /// The upstream drops repeated keys by itself.
    pub(crate) deduplicates: bool,
}

const KEPT_MS: u64 = 5_000;
const DEADLINE_MS: u64 = 3_000;
const CALL_TIMEOUT_MS: u64 = 400;
const TRANSIT_MS: u64 = 90;

enum Event {
    Start(usize),
    StoreArrives(usize, Effect),
    Input(usize, Input),
    Connected(usize, u32),
    Runs(usize, u32),
    Crash(usize),
}

struct Attempt {
    instance: usize,
    key: usize,
    body: u8,
    action: Action,
    is_lost: bool,
    answers: Vec<Option<Answer>>,
}

/// What came out of a run.
#[derive(Default, Debug)]
pub(crate) struct Tally {
    /// Runs at the upstream.
    pub(crate) runs: usize,
    /// Answers by kind.
    pub(crate) relayed: usize,
    /// Answers replayed.
    pub(crate) replayed: usize,
    /// Refusals.
    pub(crate) not_run: usize,
    /// Ambiguous answers.
    pub(crate) may_have_run: usize,
    /// Writes that the store took.
    pub(crate) writes: usize,
    /// Reads that the store took.
    pub(crate) reads: usize,
}

struct World {
    rng: StdRng,
    weather: Weather,
    planted: Planted,
    now_ms: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    store: BTreeMap<String, (ActionRecord, u64, u64)>,
    revision: u64,
    store_down: std::ops::Range<u64>,
    paused_until_ms: Vec<u64>,
    attempts: Vec<Attempt>,
    // Time and attempt of each run of a key.
    runs: BTreeMap<usize, Vec<(u64, usize)>>,
    tally: Tally,
}

/// Runs the world of `seed` to its end.
///
/// # Errors
///
/// Says which promise was broken.
pub(crate) fn run(seed: u64, weather: Weather, planted: Planted) -> Result<Tally, String> {
    let mut world = World::new(seed, weather, planted);
    while let Some(((at_ms, _), event)) = world.events.pop_first() {
        world.now_ms = at_ms;
        world.handle(event);
    }
    world.check()?;
    Ok(world.tally)
}

impl World {
    fn new(seed: u64, weather: Weather, planted: Planted) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let outage = if weather.has_failures && rng.random_bool(0.5) {
            let from_ms = rng.random_range(0..8_000);
            from_ms..from_ms + rng.random_range(100..6_000)
        } else {
            0..0
        };
        let mut world = Self {
            rng,
            weather,
            planted,
            now_ms: 0,
            sequence: 0,
            events: BTreeMap::new(),
            store: BTreeMap::new(),
            revision: 1,
            store_down: outage,
            paused_until_ms: vec![0; 3],
            attempts: Vec::new(),
            runs: BTreeMap::new(),
            tally: Tally::default(),
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        for key in 0..3 {
            for _ in 0..self.rng.random_range(2..6) {
                let at_ms = self.rng.random_range(0..12_000) / 500 * 500;
                let body = u8::from(self.rng.random_bool(0.1));
                self.attempt(key, body, at_ms);
            }
        }
        if self.weather.has_failures && self.rng.random_bool(0.3) {
            let (at_ms, instance) = (
                self.rng.random_range(0..12_000),
                self.rng.random_range(0..3),
            );
            self.at(at_ms, Event::Crash(instance));
        }
    }

    fn attempt(&mut self, key: usize, body: u8, at_ms: u64) {
        let account = "ledger".parse().expect("a valid identifier");
        let spec = ActionSpec {
            key: Some(OnceKey::new(&account, &format!("key-{key}")).expect("a valid key")),
            request_sha256: [body; 32],
            deadline: Millis(at_ms + DEADLINE_MS),
            outcome_kept_ms: KEPT_MS,
            deduplicates: self.weather.deduplicates,
        };
        let mark = match self.planted {
            Planted::SharedMark => [7; 16],
            _ => self.rng.random(),
        };
        let index = self.attempts.len();
        self.attempts.push(Attempt {
            instance: self.rng.random_range(0..3),
            key,
            body,
            action: Action::new(spec, WriterId(mark)),
            is_lost: false,
            answers: Vec::new(),
        });
        self.at(at_ms, Event::Start(index));
        self.at(
            at_ms + DEADLINE_MS,
            Event::Input(index, Input::DeadlinePassed),
        );
        if self.weather.has_failures && self.rng.random_bool(0.1) {
            let gone_ms = at_ms + self.rng.random_range(1..1_000);
            self.at(gone_ms, Event::Input(index, Input::CallerGone));
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    // An event at a paused instance waits for the end of the pause.
    fn is_deferred(&mut self, attempt: usize, event: Event) -> Option<Event> {
        let until_ms = self.paused_until_ms[self.attempts[attempt].instance];
        if until_ms <= self.now_ms {
            return Some(event);
        }
        self.at(until_ms, event);
        None
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StoreArrives(attempt, effect) => self.store_call(attempt, &effect),
            Event::Runs(attempt, call) => self.upstream(attempt, call),
            Event::Crash(instance) => self.crash(instance),
            Event::Start(attempt) | Event::Input(attempt, _) | Event::Connected(attempt, _) => {
                self.maybe_pause(attempt);
                if let Some(event) = self.is_deferred(attempt, event) {
                    self.at_instance(attempt, event);
                }
            }
        }
    }

    fn maybe_pause(&mut self, attempt: usize) {
        let instance = self.attempts[attempt].instance;
        let is_paused = self.paused_until_ms[instance] > self.now_ms;
        if is_paused || !self.weather.has_failures || !self.rng.random_bool(0.01) {
            return;
        }
        let pause_ms = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(100..2_000),
            1 => self.rng.random_range(2_000..20_000),
            _ => self.rng.random_range(20_000..200_000),
        };
        self.paused_until_ms[instance] = self.now_ms + pause_ms;
        // Callers repeat elsewhere while the instance is paused and after claims have lapsed.
        let (key, body) = (self.attempts[attempt].key, self.attempts[attempt].body);
        if self.attempts.len() < 40 {
            let at_ms = self.now_ms + self.rng.random_range(0..pause_ms + 1_000);
            self.attempt(key, body, at_ms);
        }
    }

    fn crash(&mut self, instance: usize) {
        for attempt in self.attempts.iter_mut().filter(|a| a.instance == instance) {
            attempt.is_lost = true;
        }
    }

    fn at_instance(&mut self, index: usize, event: Event) {
        let now = Millis(self.now_ms);
        let attempt = &mut self.attempts[index];
        if attempt.is_lost {
            return;
        }
        let effects = match event {
            Event::Start(_) => attempt.action.start(now),
            Event::Input(_, Input::CallerGone) if attempt.answers.is_empty() => {
                attempt.answers.push(None);
                attempt.action.step(Input::CallerGone, now)
            }
            Event::Input(_, Input::CallerGone) => Vec::new(),
            Event::Input(_, input) => attempt.action.step(input, now),
            Event::Connected(_, call) => self.connected(index, call),
            _ => unreachable!("events of the store and the upstream are handled elsewhere"),
        };
        for effect in effects {
            self.effect(index, effect);
        }
    }

    fn connected(&mut self, index: usize, call: u32) -> Vec<Effect> {
        let now = Millis(self.now_ms);
        let action = &mut self.attempts[index].action;
        let is_permitted = action.permit_send(call, now);
        if !is_permitted && self.planted != Planted::SendWithoutPermit {
            return action.step(not_sent(call), now);
        }
        // A pause between the permit and the first byte.
        let is_paused = self.weather.has_failures && self.rng.random_bool(0.02);
        let delay_ms = if is_paused {
            self.rng.random_range(0..59_000)
        } else {
            0
        };
        let transit_ms = self.rng.random_range(1..TRANSIT_MS);
        self.after(delay_ms + transit_ms, Event::Runs(index, call));
        Vec::new()
    }

    fn effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Create { call, .. } | Effect::ReadBack { call, .. } => {
                self.send_to_store(index, Some(call), effect, 0);
            }
            Effect::WriteOutcome {
                call, not_before, ..
            } => {
                let wait_ms = not_before.since(Millis(self.now_ms));
                // The harness ends; a write that waits too long is dropped as a daemon may.
                if wait_ms < 20_000 {
                    self.send_to_store(index, Some(call), effect, wait_ms);
                }
            }
            Effect::Release { .. } => self.send_to_store(index, None, effect, 0),
            Effect::Dispatch { call, .. } => self.dispatch(index, call),
            Effect::Relay => self.attempts[index].answers.push(None),
            Effect::Answer(answer) => {
                self.count(&answer);
                self.attempts[index].answers.push(Some(answer));
            }
            Effect::End => assert!(self.attempts[index].action.is_ended()),
        }
    }

    fn count(&mut self, answer: &Answer) {
        match answer {
            Answer::NotRun(_) => self.tally.not_run += 1,
            Answer::MayHaveRun(_) => self.tally.may_have_run += 1,
            Answer::Replay(_) | Answer::ReplayUnavailable { .. } => self.tally.replayed += 1,
        }
    }

    fn send_to_store(&mut self, index: usize, call: Option<u32>, effect: Effect, wait_ms: u64) {
        let timeout_ms = wait_ms + CALL_TIMEOUT_MS;
        if let Some(call) = call {
            let answer = match (&effect, self.planted) {
                (Effect::Create { .. }, Planted::LostTakenForWritten) => {
                    StoreAnswer::Written { revision: 1 }
                }
                _ => StoreAnswer::Lost,
            };
            self.after(
                timeout_ms,
                Event::Input(index, Input::Store { call, answer }),
            );
        }
        let is_lost_before = self.rng.random_bool(self.weather.lost / 2.0);
        if is_lost_before && self.rng.random_bool(0.5) {
            return;
        }
        // A call believed lost may still arrive much later.
        let late_ms = if is_lost_before {
            self.rng.random_range(400..4_000)
        } else {
            0
        };
        let transit_ms = self.rng.random_range(1..TRANSIT_MS);
        self.after(
            wait_ms + late_ms + transit_ms,
            Event::StoreArrives(index, effect),
        );
    }

    fn store_call(&mut self, index: usize, effect: &Effect) {
        if self.store_down.contains(&self.now_ms) {
            if let (Some(call), true) = (call_of(effect), self.rng.random_bool(0.5)) {
                let answer = StoreAnswer::NotSent;
                self.after(1, Event::Input(index, Input::Store { call, answer }));
            }
            return;
        }
        let now_ms = self.now_ms;
        self.store.retain(|_, (_, _, ends_ms)| *ends_ms > now_ms);
        let Some(answer) = self.store_apply(effect) else {
            return;
        };
        let call = call_of(effect).expect("a call with an answer has a number");
        if self.rng.random_bool(self.weather.lost / 2.0) {
            return;
        }
        // Answers arrive late, and twice.
        for _ in 0..=u8::from(self.rng.random_bool(self.weather.lost / 3.0)) {
            let is_late = self.rng.random_bool(self.weather.lost / 6.0);
            let late_ms = if is_late { 600 } else { 0 };
            let transit_ms = self.rng.random_range(1..TRANSIT_MS) + late_ms;
            let answer = answer.clone();
            self.after(
                transit_ms,
                Event::Input(index, Input::Store { call, answer }),
            );
        }
    }

    fn store_apply(&mut self, effect: &Effect) -> Option<StoreAnswer> {
        let found = |entry: Option<&(ActionRecord, u64, u64)>| match entry {
            Some((record, revision, _)) => StoreAnswer::Found {
                record: record.clone(),
                revision: *revision,
            },
            None => StoreAnswer::Absent,
        };
        match effect {
            Effect::ReadBack { key, .. } => {
                self.tally.reads += 1;
                Some(found(self.store.get(key.as_str())))
            }
            Effect::Create {
                key,
                record,
                life_ms,
                ..
            } => {
                self.tally.writes += 1;
                let is_present = self.store.contains_key(key.as_str());
                if is_present && self.planted != Planted::StoreOverwrites {
                    return Some(found(self.store.get(key.as_str())));
                }
                let life_ms = match self.planted {
                    Planted::ShortLease => 500,
                    _ => *life_ms,
                };
                self.put(key, record, self.now_ms + life_ms)
            }
            Effect::WriteOutcome {
                key,
                record,
                revision,
                ..
            } => {
                self.tally.writes += 1;
                match self.store.get(key.as_str()) {
                    Some((_, current, ends_ms)) if current == revision => {
                        let ends_ms = *ends_ms;
                        self.put(key, record, ends_ms)
                    }
                    entry => Some(found(entry)),
                }
            }
            Effect::Release { key, record } => {
                self.tally.writes += 1;
                if self
                    .store
                    .get(key.as_str())
                    .is_some_and(|(r, _, _)| r == record)
                {
                    self.store.remove(key.as_str());
                }
                None
            }
            _ => unreachable!("only calls of the store arrive there"),
        }
    }

    fn put(&mut self, key: &OnceKey, record: &ActionRecord, ends_ms: u64) -> Option<StoreAnswer> {
        let stored = ActionRecord::from_json(&record.to_json()).expect("a record reads back");
        self.revision += 1;
        let entry = (stored, self.revision, ends_ms);
        self.store.insert(key.as_str().to_owned(), entry);
        Some(StoreAnswer::Written {
            revision: self.revision,
        })
    }

    fn dispatch(&mut self, index: usize, call: u32) {
        let delay_ms = self.rng.random_range(1..50);
        if self.rng.random_bool(self.weather.refused) {
            self.after(delay_ms, Event::Input(index, not_sent(call)));
        } else {
            self.after(delay_ms, Event::Connected(index, call));
        }
    }

    fn upstream(&mut self, index: usize, call: u32) {
        let key = self.attempts[index].key;
        let runs = self.runs.entry(key).or_default();
        let is_duplicate = self.weather.deduplicates && !runs.is_empty();
        if !is_duplicate {
            runs.push((self.now_ms, index));
            self.tally.runs += 1;
        }
        let delay_ms = self.rng.random_range(1..300);
        if self.rng.random_bool(self.weather.cut) {
            let event = UpstreamEvent::Failed {
                may_have_sent_bytes: self.planted != Planted::FalseNoBytes,
            };
            self.after(
                delay_ms,
                Event::Input(index, Input::Upstream { call, event }),
            );
            return;
        }
        if self.rng.random_bool(0.5) {
            let event = UpstreamEvent::Head;
            self.after(
                delay_ms,
                Event::Input(index, Input::Upstream { call, event }),
            );
        }
        let first = self.runs[&key].last().expect("a run was noted").1;
        if self.attempts[first].body != self.attempts[index].body {
            let event = UpstreamEvent::Refused;
            self.after(
                delay_ms + 5,
                Event::Input(index, Input::Upstream { call, event }),
            );
            return;
        }
        let event = UpstreamEvent::Done(outcome(first));
        self.after(
            delay_ms + 5,
            Event::Input(index, Input::Upstream { call, event }),
        );
    }

    fn check(&mut self) -> Result<(), String> {
        for (key, runs) in &self.runs {
            for pair in runs.windows(2) {
                let apart_ms = pair[1].0 - pair[0].0;
                if apart_ms < KEPT_MS {
                    return Err(format!("key {key} ran twice within {apart_ms} ms"));
                }
            }
        }
        let ran: BTreeSet<usize> = self.runs.values().flatten().map(|run| run.1).collect();
        for (index, attempt) in self.attempts.iter().enumerate() {
            let answer = match attempt.answers.as_slice() {
                [] if attempt.is_lost => continue,
                [answer] => answer,
                answers => return Err(format!("{} answers to one caller", answers.len())),
            };
            let Some(answer) = answer else {
                self.tally.relayed += 1;
                continue;
            };
            let is_wrong = answer.run() == Execution::NotRun && ran.contains(&index);
            if is_wrong {
                return Err(format!("attempt {index} ran and was told {answer:?}"));
            }
            if let Answer::Replay(kept) = answer {
                let is_first = |run: &(u64, usize)| {
                    outcome(run.1) == *kept && self.attempts[run.1].body == attempt.body
                };
                if !self.runs[&attempt.key].iter().any(is_first) {
                    return Err(format!("attempt {index} got the answer of another request"));
                }
            }
            if *answer == Answer::NotRun(NotRun::KeyReused) {
                let is_other = |a: &Attempt| a.key == attempt.key && a.body != attempt.body;
                if !self.attempts.iter().any(is_other) {
                    return Err(format!("attempt {index} was told that its key was reused"));
                }
            }
        }
        Ok(())
    }
}

fn outcome(attempt: usize) -> Outcome {
    Outcome {
        status: 200,
        content_type: Some("application/json".to_owned()),
        body: StoredBody::new(format!("{{\"attempt\":{attempt}}}").into_bytes()),
    }
}

fn not_sent(call: u32) -> Input {
    let event = UpstreamEvent::Failed {
        may_have_sent_bytes: false,
    };
    Input::Upstream { call, event }
}

fn call_of(effect: &Effect) -> Option<u32> {
    match effect {
        Effect::Create { call, .. }
        | Effect::ReadBack { call, .. }
        | Effect::WriteOutcome { call, .. } => Some(*call),
        _ => None,
    }
}
