//! Randomised simulations of two issuers of one region with pauses, lost responses and late orders.

use carobwheel_core::id::UpstreamId;
use carobwheel_core::once::WriterId;
use carobwheel_core::order::{
    EngineAnswer, EngineTarget, FencingNumber, Issuer, IssuerEffect, LeaseAnswer, LeaseEffect,
    LeaseRecord, OrderLease, Role, LEASE_TTL_MS, MAX_ORDER_LATENCY_MS, PAUSE_ALLOWANCE_MS,
};
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use test_case::test_case;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    Nothing,
    SendWithoutPermit,
    NoInitialWait,
    ShortLease,
}

enum Event {
    Tick(usize),
    Store(usize, LeaseEffect),
    StoreAnswer(usize, u32, LeaseAnswer),
    Send(usize, u64, EngineTarget),
    Arrives(usize, u64, EngineTarget, FencingNumber, u64),
    Read(usize, u64),
    EngineAnswer(usize, u64, EngineAnswer),
    NewTarget(u64),
}

struct Holder {
    lease: OrderLease,
    issuer: Issuer,
    number: Option<FencingNumber>,
    last_number: Option<FencingNumber>,
    paused_until_ms: u64,
}

struct World {
    rng: StdRng,
    bug: InjectedBug,
    checks_fencing: bool,
    now_ms: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    holders: Vec<Holder>,
    stored: Option<(LeaseRecord, u64, u64)>,
    revision: u64,
    engine_state: EngineTarget,
    highest_number: FencingNumber,
    // Fencing number and sequence number of the last order that took effect.
    last_effective: (FencingNumber, u64),
    sent: u64,
    target_version: u64,
    orders: u64,
    refused: u64,
}

// Faults occur until `FAULT_PHASE_MS`. The remaining time is longer than a pause, the time to live
// of the lease and the initial wait of a new holder together.
const END_MS: u64 = 600_000;
const FAULT_PHASE_MS: u64 = 300_000;

fn target(version: u64) -> EngineTarget {
    EngineTarget {
        model: "appraiser".parse().expect("a valid identifier"),
        version: version.to_string().parse().expect("a valid identifier"),
        adapters: Default::default(),
        role: Role::Serve,
    }
}

fn engine() -> UpstreamId {
    "engine-1".parse().expect("a valid identifier")
}

impl World {
    fn new(seed: u64, checks_fencing: bool, bug: InjectedBug) -> Self {
        let holder = |index: u64| {
            let name = format!("instance-{index}");
            let mut issuer = Issuer::default();
            issuer.set_target(&engine(), target(1), checks_fencing);
            Holder {
                lease: OrderLease::new(name.parse().expect("a valid identifier"), index),
                issuer,
                number: None,
                last_number: None,
                paused_until_ms: 0,
            }
        };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            bug,
            checks_fencing,
            now_ms: 0,
            sequence: 0,
            events: BTreeMap::new(),
            holders: (0..2).map(holder).collect(),
            stored: None,
            revision: 100,
            engine_state: target(0),
            highest_number: FencingNumber(0),
            last_effective: (FencingNumber(0), 0),
            sent: 0,
            target_version: 1,
            orders: 0,
            refused: 0,
        };
        world.schedule_at(1, Event::Tick(0));
        world.schedule_at(2, Event::Tick(1));
        for version in 2..20 {
            let at_ms = world.rng.random_range(0..FAULT_PHASE_MS / 20)
                + (version - 2) * FAULT_PHASE_MS / 20;
            world.schedule_at(at_ms, Event::NewTarget(version));
        }
        world
    }

    fn schedule_at(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at_ms, self.sequence), event);
    }

    fn schedule_after(&mut self, delay_ms: u64, event: Event) {
        self.schedule_at(self.now_ms + delay_ms, event);
    }

    fn has_faults(&self) -> bool {
        self.now_ms < FAULT_PHASE_MS
    }

    fn run(mut self) -> Result<(u64, u64), String> {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > END_MS {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event)?;
        }
        if self.engine_state != target(self.target_version) {
            return Err(format!(
                "the engine ended with {:?}",
                self.engine_state.version
            ));
        }
        Ok((self.orders, self.refused))
    }

    // Returns the holder that handles the event, if any. Its events are deferred while it is paused.
    fn holder_of(event: &Event) -> Option<usize> {
        match event {
            Event::Tick(index)
            | Event::StoreAnswer(index, ..)
            | Event::Send(index, ..)
            | Event::EngineAnswer(index, ..) => Some(*index),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        if let Some(index) = Self::holder_of(&event) {
            if self.has_faults() && self.rng.random_bool(0.01) {
                let pause_ms = self.rng.random_range(1_000..120_000);
                self.holders[index].paused_until_ms = self.now_ms + pause_ms;
            }
            let until_ms = self.holders[index].paused_until_ms;
            if until_ms > self.now_ms {
                self.schedule_at(until_ms, event);
                return Ok(());
            }
        }
        let now = Millis(self.now_ms);
        match event {
            Event::Tick(index) => self.tick(index),
            Event::Store(index, effect) => self.store(index, effect),
            Event::StoreAnswer(index, call, answer) => {
                let effects = self.holders[index].lease.step(call, answer, now);
                self.lease_effects(index, effects);
            }
            Event::Send(index, call, target) => self.send(index, call, target),
            Event::Arrives(index, call, target, number, sent) => {
                return self.arrives(index, call, target, number, sent);
            }
            Event::Read(index, call) => {
                let answer = EngineAnswer::State(self.engine_state.clone());
                self.engine_answers(index, call, answer);
            }
            Event::EngineAnswer(index, call, answer) => {
                self.holders[index]
                    .issuer
                    .step(&engine(), call, answer, now);
            }
            Event::NewTarget(version) => {
                self.target_version = version;
                let checks_fencing = self.checks_fencing;
                for holder in &mut self.holders {
                    holder
                        .issuer
                        .set_target(&engine(), target(version), checks_fencing);
                }
            }
        }
        Ok(())
    }

    fn tick(&mut self, index: usize) {
        self.schedule_after(500, Event::Tick(index));
        let now = Millis(self.now_ms);
        let writer = WriterId(self.rng.random());
        let effects = self.holders[index].lease.tick(writer, now);
        self.lease_effects(index, effects);
        let holder = &mut self.holders[index];
        let number = holder.lease.number(now);
        if number != holder.number {
            holder.issuer.begin_term(now);
            holder.number = number;
            holder.last_number = number.or(holder.last_number);
        }
        let is_sending = number.is_some()
            || (self.bug == InjectedBug::SendWithoutPermit && holder.last_number.is_some());
        if !is_sending {
            return;
        }
        for effect in holder.issuer.tick(now) {
            let delay_ms = self.rng.random_range(0..50);
            match effect {
                IssuerEffect::Read { call, .. } => {
                    self.schedule_after(delay_ms, Event::Read(index, call))
                }
                IssuerEffect::Send { call, target, .. } => {
                    self.schedule_after(delay_ms, Event::Send(index, call, target));
                }
            }
        }
    }

    fn send(&mut self, index: usize, call: u64, target: EngineTarget) {
        let now = Millis(self.now_ms);
        let holder = &mut self.holders[index];
        let checks_fencing = self.checks_fencing || self.bug == InjectedBug::NoInitialWait;
        let number = match self.bug {
            InjectedBug::SendWithoutPermit => holder.last_number,
            _ => holder.lease.permit_send(checks_fencing, now),
        };
        let Some(number) = number else {
            holder.issuer.not_sent(&engine(), call, now);
            return;
        };
        self.sent += 1;
        // Process pause after the permit, then the transit to the engine.
        let is_paused = self.has_faults() && self.rng.random_bool(0.3);
        let pause_ms = if is_paused {
            self.rng.random_range(0..PAUSE_ALLOWANCE_MS)
        } else {
            0
        };
        let transit_ms = self.rng.random_range(1..MAX_ORDER_LATENCY_MS);
        let arrives = Event::Arrives(index, call, target, number, self.sent);
        let until_ms = &mut self.holders[index].paused_until_ms;
        *until_ms = self.now_ms.max(*until_ms) + pause_ms;
        self.schedule_after(pause_ms + transit_ms, arrives);
        let answer = EngineAnswer::Lost;
        self.schedule_after(
            pause_ms + MAX_ORDER_LATENCY_MS,
            Event::EngineAnswer(index, call, answer),
        );
    }

    fn arrives(
        &mut self,
        index: usize,
        call: u64,
        target: EngineTarget,
        number: FencingNumber,
        sent: u64,
    ) -> Result<(), String> {
        if self.checks_fencing && number < self.highest_number {
            self.refused += 1;
            self.engine_answers(index, call, EngineAnswer::Fenced);
            return Ok(());
        }
        self.highest_number = self.highest_number.max(number);
        if (number, sent) < self.last_effective {
            return Err(format!(
                "order {sent} under {number:?} took effect after {:?}",
                self.last_effective
            ));
        }
        self.last_effective = (number, sent);
        self.engine_state = target;
        self.orders += 1;
        self.engine_answers(index, call, EngineAnswer::Accepted);
        Ok(())
    }

    fn engine_answers(&mut self, index: usize, call: u64, answer: EngineAnswer) {
        let is_lost = self.has_faults() && self.rng.random_bool(0.2);
        let answer = if is_lost { EngineAnswer::Lost } else { answer };
        let delay_ms = self.rng.random_range(1..100);
        self.schedule_after(delay_ms, Event::EngineAnswer(index, call, answer));
    }

    fn lease_effects(&mut self, index: usize, effects: Vec<LeaseEffect>) {
        for effect in effects {
            let not_before = match &effect {
                LeaseEffect::Create { not_before, .. } | LeaseEffect::Read { not_before, .. } => {
                    *not_before
                }
                LeaseEffect::Renew { .. } => Millis(0),
            };
            let wait_ms = not_before.since(Millis(self.now_ms));
            let transit_ms = self.rng.random_range(1..100);
            self.schedule_after(wait_ms + transit_ms, Event::Store(index, effect));
        }
    }

    fn store(&mut self, index: usize, effect: LeaseEffect) {
        let now_ms = self.now_ms;
        if self
            .stored
            .as_ref()
            .is_some_and(|(_, _, ends_ms)| *ends_ms <= now_ms)
        {
            self.stored = None;
        }
        let found = |stored: &Option<(LeaseRecord, u64, u64)>| match stored {
            Some((record, revision, _)) => LeaseAnswer::Found {
                record: record.clone(),
                revision: *revision,
            },
            None => LeaseAnswer::Absent,
        };
        let ttl_ms = match self.bug {
            InjectedBug::ShortLease => LEASE_TTL_MS / 20,
            _ => LEASE_TTL_MS,
        };
        let lost = if matches!(effect, LeaseEffect::Renew { .. }) {
            0.5
        } else {
            0.1
        };
        let is_lost_before = self.has_faults() && self.rng.random_bool(lost);
        let (call, answer) = match effect {
            LeaseEffect::Create { call, .. }
            | LeaseEffect::Read { call, .. }
            | LeaseEffect::Renew { call }
                if is_lost_before =>
            {
                (call, LeaseAnswer::Lost)
            }
            LeaseEffect::Create { call, record, .. } if self.stored.is_none() => {
                self.revision += 1;
                self.stored = Some((record, self.revision, now_ms + ttl_ms));
                let revision = self.revision;
                (call, LeaseAnswer::Written { revision })
            }
            LeaseEffect::Create { call, .. } | LeaseEffect::Read { call, .. } => {
                (call, found(&self.stored))
            }
            LeaseEffect::Renew { call } => {
                let holder = format!("instance-{index}");
                match &mut self.stored {
                    Some((record, revision, ends_ms)) if record.holder.as_str() == holder => {
                        *ends_ms = now_ms + ttl_ms;
                        let revision = *revision;
                        (call, LeaseAnswer::Written { revision })
                    }
                    _ => (call, LeaseAnswer::Absent),
                }
            }
        };
        let is_lost = self.has_faults() && self.rng.random_bool(0.1);
        let answer = if is_lost { LeaseAnswer::Lost } else { answer };
        let transit_ms = self.rng.random_range(1..100);
        self.schedule_after(transit_ms, Event::StoreAnswer(index, call, answer));
    }
}

// To run more seeds than CI: `CAROBWHEEL_SEEDS=10000 cargo test -p carobwheel-core --test order_runs`.
fn seeds() -> u64 {
    let seeds = std::env::var("CAROBWHEEL_SEEDS").ok();
    seeds.map_or(200, |text| text.parse().expect("a number of seeds"))
}

#[test_case(true; "engine that checks fencing numbers")]
#[test_case(false; "engine that ignores fencing numbers")]
fn no_old_order_takes_effect_after_a_newer_one(checks_fencing: bool) {
    let (mut orders, mut refused) = (0, 0);
    for seed in 0..seeds() {
        let outcome = World::new(seed, checks_fencing, InjectedBug::Nothing).run();
        let counts = outcome.unwrap_or_else(|err| panic!("seed {seed}: {err}"));
        orders += counts.0;
        refused += counts.1;
    }
    println!("{orders} orders took effect, {refused} were fenced");
    assert!(orders > 0);
}

#[test_case(InjectedBug::SendWithoutPermit)]
#[test_case(InjectedBug::NoInitialWait)]
#[test_case(InjectedBug::ShortLease)]
fn an_injected_bug_is_detected(bug: InjectedBug) {
    let is_detected = |seed: &u64| World::new(*seed, false, bug).run().is_err();
    let detected = (0..200).filter(is_detected).count();
    println!("{bug:?}: detected in {detected} of 200 seeds");
    assert!(detected > 0, "{bug:?} was not detected");
}
