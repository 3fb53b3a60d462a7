//! Simulation of several instances, one store and one upstream with concurrent actions.

use carobwheel_core::once::{
    Action, ActionRecord, ActionSpec, Answer, Effect, Execution, Input, NotRun, OnceKey, Outcome,
    StoreAnswer, StoredBody, UpstreamEvent, WriterId,
};
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Deliberate bug in the simulation, to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    /// None.
    Nothing,
    /// Requests are sent although the permit was refused.
    SendWithoutPermit,
    /// The store overwrites on create.
    StoreOverwrites,
    /// All actions use the same writer identifier.
    SharedWriterId,
    /// A dispatch that failed after sending is reported as having sent no bytes.
    SentReportedAsUnsent,
    /// The store drops records long before their lifetime ends.
    ShortLease,
    /// A create whose response was lost is reported as written.
    LostReportedAsWritten,
}

/// Fault probabilities and properties of the simulated environment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultRates {
    /// Probability that a store call is lost; half of the lost calls take effect.
    pub(crate) store_call_lost: f64,
    /// Probability that a connection to the upstream fails.
    pub(crate) connect_failed: f64,
    /// Probability that the response of the upstream is lost.
    pub(crate) response_lost: f64,
    /// Whether process pauses, crashes, a store outage and disconnecting callers occur.
    pub(crate) has_failures: bool,
    /// Whether the upstream itself deduplicates by key.
    pub(crate) deduplicates: bool,
}

const OUTCOME_KEPT_MS: u64 = 5_000;
const DEADLINE_MS: u64 = 3_000;
const CALL_TIMEOUT_MS: u64 = 400;
const MAX_TRANSIT_MS: u64 = 90;

enum Event {
    Start(usize),
    StoreCallArrives(usize, Effect),
    Input(usize, Input),
    Connected(usize, u32),
    RequestArrives(usize, u32),
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

/// Counts of one simulation run.
#[derive(Default, Debug)]
pub(crate) struct Counts {
    /// Executions at the upstream.
    pub(crate) runs: usize,
    /// Responses relayed from the upstream.
    pub(crate) relayed: usize,
    /// Answers from the stored record.
    pub(crate) replayed: usize,
    /// Answers that the request was not run.
    pub(crate) not_run: usize,
    /// Answers that the request may have run.
    pub(crate) may_have_run: usize,
    /// Writes received by the store.
    pub(crate) writes: usize,
    /// Reads received by the store.
    pub(crate) reads: usize,
}

struct World {
    rng: StdRng,
    faults: FaultRates,
    bug: InjectedBug,
    now_ms: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    store: BTreeMap<String, (ActionRecord, u64, u64)>,
    revision: u64,
    store_down: std::ops::Range<u64>,
    paused_until_ms: Vec<u64>,
    attempts: Vec<Attempt>,
    // Time and attempt of each execution, by key.
    runs: BTreeMap<usize, Vec<(u64, usize)>>,
    counts: Counts,
}

/// Runs the simulation with `seed` to its end.
///
/// # Errors
///
/// Returns a description of the violated invariant.
pub(crate) fn run(seed: u64, faults: FaultRates, bug: InjectedBug) -> Result<Counts, String> {
    let mut world = World::new(seed, faults, bug);
    while let Some(((at_ms, _), event)) = world.events.pop_first() {
        world.now_ms = at_ms;
        world.handle(event);
    }
    world.check()?;
    Ok(world.counts)
}

impl World {
    fn new(seed: u64, faults: FaultRates, bug: InjectedBug) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let outage = if faults.has_failures && rng.random_bool(0.5) {
            let from_ms = rng.random_range(0..8_000);
            from_ms..from_ms + rng.random_range(100..6_000)
        } else {
            0..0
        };
        let mut world = Self {
            rng,
            faults,
            bug,
            now_ms: 0,
            sequence: 0,
            events: BTreeMap::new(),
            store: BTreeMap::new(),
            revision: 1,
            store_down: outage,
            paused_until_ms: vec![0; 3],
            attempts: Vec::new(),
            runs: BTreeMap::new(),
            counts: Counts::default(),
        };
        world.schedule_attempts();
        world
    }

    fn schedule_attempts(&mut self) {
        for key in 0..3 {
            for _ in 0..self.rng.random_range(2..6) {
                let at_ms = self.rng.random_range(0..12_000) / 500 * 500;
                let body = u8::from(self.rng.random_bool(0.1));
                self.attempt(key, body, at_ms);
            }
        }
        if self.faults.has_failures && self.rng.random_bool(0.3) {
            let (at_ms, instance) = (
                self.rng.random_range(0..12_000),
                self.rng.random_range(0..3),
            );
            self.schedule_at(at_ms, Event::Crash(instance));
        }
    }

    fn attempt(&mut self, key: usize, body: u8, at_ms: u64) {
        let account = "ledger".parse().expect("a valid identifier");
        let spec = ActionSpec {
            key: Some(OnceKey::new(&account, &format!("key-{key}")).expect("a valid key")),
            request_sha256: [body; 32],
            deadline: Millis(at_ms + DEADLINE_MS),
            outcome_kept_ms: OUTCOME_KEPT_MS,
            deduplicates: self.faults.deduplicates,
        };
        let writer = match self.bug {
            InjectedBug::SharedWriterId => [7; 16],
            _ => self.rng.random(),
        };
        let index = self.attempts.len();
        self.attempts.push(Attempt {
            instance: self.rng.random_range(0..3),
            key,
            body,
            action: Action::new(spec, WriterId(writer)),
            is_lost: false,
            answers: Vec::new(),
        });
        self.schedule_at(at_ms, Event::Start(index));
        self.schedule_at(
            at_ms + DEADLINE_MS,
            Event::Input(index, Input::DeadlinePassed),
        );
        if self.faults.has_failures && self.rng.random_bool(0.1) {
            let gone_ms = at_ms + self.rng.random_range(1..1_000);
            self.schedule_at(gone_ms, Event::Input(index, Input::CallerGone));
        }
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    // Defers an event to the end of the pause if its instance is paused; otherwise returns it.
    fn defer_if_paused(&mut self, attempt: usize, event: Event) -> Option<Event> {
        let until_ms = self.paused_until_ms[self.attempts[attempt].instance];
        if until_ms <= self.now_ms {
            return Some(event);
        }
        self.schedule_at(until_ms, event);
        None
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StoreCallArrives(attempt, effect) => self.store_call(attempt, &effect),
            Event::RequestArrives(attempt, call) => self.handle_request(attempt, call),
            Event::Crash(instance) => self.crash(instance),
            Event::Start(attempt) | Event::Input(attempt, _) | Event::Connected(attempt, _) => {
                self.maybe_pause(attempt);
                if let Some(event) = self.defer_if_paused(attempt, event) {
                    self.handle_at_instance(attempt, event);
                }
            }
        }
    }

    fn maybe_pause(&mut self, attempt: usize) {
        let instance = self.attempts[attempt].instance;
        let is_paused = self.paused_until_ms[instance] > self.now_ms;
        if is_paused || !self.faults.has_failures || !self.rng.random_bool(0.01) {
            return;
        }
        let pause_ms = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(100..2_000),
            1 => self.rng.random_range(2_000..20_000),
            _ => self.rng.random_range(20_000..200_000),
        };
        self.paused_until_ms[instance] = self.now_ms + pause_ms;
        // The caller repeats the request, perhaps at another instance, during the pause and after
        // claims have expired.
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

    fn handle_at_instance(&mut self, index: usize, event: Event) {
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
            _ => unreachable!("events of the store and the upstream are handled by the caller"),
        };
        for effect in effects {
            self.execute_effect(index, effect);
        }
    }

    fn connected(&mut self, index: usize, call: u32) -> Vec<Effect> {
        let now = Millis(self.now_ms);
        let action = &mut self.attempts[index].action;
        let is_permitted = action.permit_send(call, now);
        if !is_permitted && self.bug != InjectedBug::SendWithoutPermit {
            return action.step(not_sent(call), now);
        }
        // Process pause between the permit and the first byte.
        let is_paused = self.faults.has_failures && self.rng.random_bool(0.02);
        let delay_ms = if is_paused {
            self.rng.random_range(0..59_000)
        } else {
            0
        };
        let transit_ms = self.rng.random_range(1..MAX_TRANSIT_MS);
        self.schedule_after(delay_ms + transit_ms, Event::RequestArrives(index, call));
        Vec::new()
    }

    fn execute_effect(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Create { call, .. } | Effect::ReadBack { call, .. } => {
                self.send_to_store(index, Some(call), effect, 0);
            }
            Effect::WriteOutcome {
                call, not_before, ..
            } => {
                let wait_ms = not_before.since(Millis(self.now_ms));
                // Drops a write that would wait 20 s or longer, as a process that stops would.
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
            Answer::NotRun(_) => self.counts.not_run += 1,
            Answer::MayHaveRun(_) => self.counts.may_have_run += 1,
            Answer::Replay(_) | Answer::ReplayUnavailable { .. } => self.counts.replayed += 1,
        }
    }

    fn send_to_store(&mut self, index: usize, call: Option<u32>, effect: Effect, wait_ms: u64) {
        let timeout_ms = wait_ms + CALL_TIMEOUT_MS;
        if let Some(call) = call {
            let answer = match (&effect, self.bug) {
                (Effect::Create { .. }, InjectedBug::LostReportedAsWritten) => {
                    StoreAnswer::Written { revision: 1 }
                }
                _ => StoreAnswer::Lost,
            };
            self.schedule_after(
                timeout_ms,
                Event::Input(index, Input::Store { call, answer }),
            );
        }
        let is_lost_before = self.rng.random_bool(self.faults.store_call_lost / 2.0);
        if is_lost_before && self.rng.random_bool(0.5) {
            return;
        }
        // A call that was reported lost may still arrive much later.
        let late_ms = if is_lost_before {
            self.rng.random_range(400..4_000)
        } else {
            0
        };
        let transit_ms = self.rng.random_range(1..MAX_TRANSIT_MS);
        self.schedule_after(
            wait_ms + late_ms + transit_ms,
            Event::StoreCallArrives(index, effect),
        );
    }

    fn store_call(&mut self, index: usize, effect: &Effect) {
        if self.store_down.contains(&self.now_ms) {
            if let (Some(call), true) = (call_of(effect), self.rng.random_bool(0.5)) {
                let answer = StoreAnswer::NotSent;
                self.schedule_after(1, Event::Input(index, Input::Store { call, answer }));
            }
            return;
        }
        let now_ms = self.now_ms;
        self.store.retain(|_, (_, _, ends_ms)| *ends_ms > now_ms);
        let Some(answer) = self.store_apply(effect) else {
            return;
        };
        let call = call_of(effect).expect("a call with an answer has a number");
        if self.rng.random_bool(self.faults.store_call_lost / 2.0) {
            return;
        }
        // Responses may arrive late or twice.
        for _ in 0..=u8::from(self.rng.random_bool(self.faults.store_call_lost / 3.0)) {
            let is_late = self.rng.random_bool(self.faults.store_call_lost / 6.0);
            let late_ms = if is_late { 600 } else { 0 };
            let transit_ms = self.rng.random_range(1..MAX_TRANSIT_MS) + late_ms;
            let answer = answer.clone();
            self.schedule_after(
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
                self.counts.reads += 1;
                Some(found(self.store.get(key.as_str())))
            }
            Effect::Create {
                key,
                record,
                lifetime_ms,
                ..
            } => {
                self.counts.writes += 1;
                let is_present = self.store.contains_key(key.as_str());
                if is_present && self.bug != InjectedBug::StoreOverwrites {
                    return Some(found(self.store.get(key.as_str())));
                }
                let lifetime_ms = match self.bug {
                    InjectedBug::ShortLease => 500,
                    _ => *lifetime_ms,
                };
                self.put(key, record, self.now_ms + lifetime_ms)
            }
            Effect::WriteOutcome {
                key,
                record,
                revision,
                ..
            } => {
                self.counts.writes += 1;
                match self.store.get(key.as_str()) {
                    Some((_, current, ends_ms)) if current == revision => {
                        let ends_ms = *ends_ms;
                        self.put(key, record, ends_ms)
                    }
                    entry => Some(found(entry)),
                }
            }
            Effect::Release { key, record } => {
                self.counts.writes += 1;
                if self
                    .store
                    .get(key.as_str())
                    .is_some_and(|(r, _, _)| r == record)
                {
                    self.store.remove(key.as_str());
                }
                None
            }
            _ => unreachable!("only store calls arrive at the store"),
        }
    }

    fn put(&mut self, key: &OnceKey, record: &ActionRecord, ends_ms: u64) -> Option<StoreAnswer> {
        let stored = ActionRecord::from_json(&record.to_json()).expect("a stored record decodes");
        self.revision += 1;
        let entry = (stored, self.revision, ends_ms);
        self.store.insert(key.as_str().to_owned(), entry);
        Some(StoreAnswer::Written {
            revision: self.revision,
        })
    }

    fn dispatch(&mut self, index: usize, call: u32) {
        let delay_ms = self.rng.random_range(1..50);
        if self.rng.random_bool(self.faults.connect_failed) {
            self.schedule_after(delay_ms, Event::Input(index, not_sent(call)));
        } else {
            self.schedule_after(delay_ms, Event::Connected(index, call));
        }
    }

    fn handle_request(&mut self, index: usize, call: u32) {
        let key = self.attempts[index].key;
        let runs = self.runs.entry(key).or_default();
        let is_duplicate = self.faults.deduplicates && !runs.is_empty();
        if !is_duplicate {
            runs.push((self.now_ms, index));
            self.counts.runs += 1;
        }
        let delay_ms = self.rng.random_range(1..300);
        if self.rng.random_bool(self.faults.response_lost) {
            let event = UpstreamEvent::Failed {
                may_have_sent_bytes: self.bug != InjectedBug::SentReportedAsUnsent,
            };
            self.schedule_after(
                delay_ms,
                Event::Input(index, Input::Upstream { call, event }),
            );
            return;
        }
        if self.rng.random_bool(0.5) {
            let event = UpstreamEvent::Head;
            self.schedule_after(
                delay_ms,
                Event::Input(index, Input::Upstream { call, event }),
            );
        }
        let first = self.runs[&key].last().expect("a run was recorded").1;
        if self.attempts[first].body != self.attempts[index].body {
            let event = UpstreamEvent::Refused;
            self.schedule_after(
                delay_ms + 5,
                Event::Input(index, Input::Upstream { call, event }),
            );
            return;
        }
        let event = UpstreamEvent::Done(outcome(first));
        self.schedule_after(
            delay_ms + 5,
            Event::Input(index, Input::Upstream { call, event }),
        );
    }

    fn check(&mut self) -> Result<(), String> {
        for (key, runs) in &self.runs {
            for pair in runs.windows(2) {
                let apart_ms = pair[1].0 - pair[0].0;
                if apart_ms < OUTCOME_KEPT_MS {
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
                self.counts.relayed += 1;
                continue;
            };
            let is_wrong = answer.run() == Execution::NotRun && ran.contains(&index);
            if is_wrong {
                return Err(format!("attempt {index} ran but was answered {answer:?}"));
            }
            if let Answer::Replay(kept) = answer {
                let is_first = |run: &(u64, usize)| {
                    outcome(run.1) == *kept && self.attempts[run.1].body == attempt.body
                };
                if !self.runs[&attempt.key].iter().any(is_first) {
                    return Err(format!(
                        "attempt {index} got the response of another request"
                    ));
                }
            }
            if *answer == Answer::NotRun(NotRun::KeyReused) {
                let is_other = |a: &Attempt| a.key == attempt.key && a.body != attempt.body;
                if !self.attempts.iter().any(is_other) {
                    return Err(format!("attempt {index} was answered that its key was reused, but no request differs"));
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
