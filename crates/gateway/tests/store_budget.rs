//! Tests of a fleet's call rates, also after a store outage, at target size on a simulated clock.

#![allow(clippy::unwrap_used)]

use carobwheel_core::time::Millis;
use carobwheel_gateway::store::{
    Backoff, BackoffOptions, CallBudget, CallKind, FLEET_READS_PER_S, FLEET_WRITES_PER_S,
};
use rand::{rngs::StdRng, Rng, SeedableRng};
use test_case::test_case;

const INSTANCES: u32 = 370;
const STEP_MS: u64 = 10;
const OUTAGE_STARTS: Millis = Millis(20_000);
const OUTAGE_ENDS: Millis = Millis(80_000);
const RUN_ENDS: Millis = Millis(140_000);
/// Rates that the store can serve, in calls per second.
const STORE_READS_PER_S: u64 = 2_000;
const STORE_WRITES_PER_S: u64 = 400;
/// Interval at which an instance wants to make calls, in milliseconds.
const DEMAND_INTERVAL_MS: u64 = 5_000;
/// Calls that each instance wants to make at each interval, and when the store recovers.
const WANTED_READS: u64 = 12;
const WANTED_WRITES: u64 = 3;

struct Instance {
    next_demand_at: Millis,
    budget: CallBudget,
    backoff: Backoff,
    reads: u64,
    writes: u64,
}

/// Number of calls that reach the store, by second.
#[derive(Default)]
struct CallsPerSecond {
    reads: Vec<u64>,
    writes: Vec<u64>,
}

impl CallsPerSecond {
    fn count(&mut self, kind: CallKind, now: Millis) {
        let counts = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let second = usize::try_from(now.0 / 1_000).unwrap_or(usize::MAX);
        counts.resize(counts.len().max(second + 1), 0);
        counts[second] += 1;
    }
}

/// Runs a fleet in which every instance makes all calls that it may, including its backlog. Returns
/// the calls that reached the store and the backlog at the end.
fn run(seed: u64) -> (CallsPerSecond, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut per_second = CallsPerSecond::default();
    let mut fleet: Vec<_> = (0..INSTANCES)
        .map(|_| Instance {
            next_demand_at: Millis(rng.random_range(0..DEMAND_INTERVAL_MS)),
            budget: CallBudget::for_fleet(INSTANCES, Millis(0)),
            backoff: Backoff::new(BackoffOptions::default()),
            reads: 0,
            writes: 0,
        })
        .collect();
    let mut now = Millis(0);
    while now < RUN_ENDS {
        let is_down = (OUTAGE_STARTS..OUTAGE_ENDS).contains(&now);
        for instance in &mut fleet {
            let is_due = now >= instance.next_demand_at && now <= OUTAGE_ENDS;
            if is_due || now == OUTAGE_ENDS {
                instance.next_demand_at = now.plus(DEMAND_INTERVAL_MS);
                instance.reads = WANTED_READS;
                instance.writes = WANTED_WRITES;
            }
            let (reads, writes) = (instance.reads, instance.writes);
            for kind in [CallKind::Read, CallKind::Write] {
                let wanted = if kind == CallKind::Read {
                    reads
                } else {
                    writes
                };
                for _ in 0..wanted {
                    if !call(instance, kind, now, is_down, &mut rng, &mut per_second) {
                        break;
                    }
                }
            }
        }
        now = now.plus(STEP_MS);
    }
    let backlog = fleet
        .iter()
        .map(|instance| instance.reads + instance.writes);
    (per_second, backlog.sum())
}

/// Makes a call if it is admitted, and returns whether the instance may make another one.
fn call(
    instance: &mut Instance,
    kind: CallKind,
    now: Millis,
    is_down: bool,
    rng: &mut StdRng,
    per_second: &mut CallsPerSecond,
) -> bool {
    if instance.budget.take(kind, now).is_err() || instance.backoff.admit(now).is_err() {
        return false;
    }
    per_second.count(kind, now);
    if is_down {
        instance
            .backoff
            .record_failure(now, rng.random_range(0.0..1.0));
        if instance.backoff.is_open() {
            instance.budget.drain(now);
        }
        return false;
    }
    instance.backoff.record_success();
    match kind {
        CallKind::Read => instance.reads -= 1,
        CallKind::Write => instance.writes -= 1,
    }
    true
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn fleet_recovering_from_an_outage_stays_within_the_stores_rates(seed: u64) {
    let (per_second, backlog) = run(seed);
    let reads = per_second.reads.iter().max().copied().unwrap_or_default();
    let writes = per_second.writes.iter().max().copied().unwrap_or_default();
    let open_watches = u64::from(INSTANCES);
    assert!(
        reads + open_watches <= STORE_READS_PER_S,
        "{reads} reads in a second"
    );
    assert!(writes <= STORE_WRITES_PER_S, "{writes} writes in a second");
    assert_eq!(backlog, 0, "the backlog is empty");
    if seed == 1 {
        let during = |calls: &[u64]| calls[40..80].iter().sum::<u64>() / 40;
        let after = |calls: &[u64]| calls[80..].iter().max().copied().unwrap_or_default();
        let summary = format!(
            "per second: outage {} reads {} writes, return at most {} reads {} writes",
            during(&per_second.reads),
            during(&per_second.writes),
            after(&per_second.reads),
            after(&per_second.writes)
        );
        insta::assert_snapshot!(summary, @"per second: outage 54 reads 16 writes, return at most 768 reads 196 writes");
    }
}

/// Returns the calls that an instance with unlimited demand makes in a second after `idle_ms`
/// without calls.
fn calls_in_a_second(kind: CallKind, idle_ms: u64) -> u64 {
    let mut budget = CallBudget::for_fleet(INSTANCES, Millis(0));
    budget.drain(Millis(0));
    let start = Millis(idle_ms);
    let instants = (0..1_000).map(|ms| start.plus(ms));
    let made = instants.map(|now| {
        let mut calls = 0;
        while budget.take(kind, now).is_ok() {
            calls += 1;
        }
        calls
    });
    made.sum()
}

#[test]
fn simultaneous_reads_of_all_instances_stay_within_the_stores_rate() {
    const IDLE_MS: u64 = 60_000;
    let open_watches = u64::from(INSTANCES);
    let reads = u64::from(INSTANCES) * calls_in_a_second(CallKind::Read, IDLE_MS);
    assert!(
        reads + open_watches <= STORE_READS_PER_S,
        "{reads} reads in a second"
    );
}

#[test_case(CallKind::Read, FLEET_READS_PER_S)]
#[test_case(CallKind::Write, FLEET_WRITES_PER_S)]
fn sustained_demand_of_all_instances_gets_the_fleets_rate(kind: CallKind, fleet_per_s: f64) {
    const SECONDS: u32 = 100;
    let mut budget = CallBudget::for_fleet(INSTANCES, Millis(0));
    budget.drain(Millis(0));
    let taken = (0..SECONDS * 1_000).filter(|ms| budget.take(kind, Millis((*ms).into())).is_ok());
    let taken = f64::from(u32::try_from(taken.count()).unwrap());
    let watches_per_s = match kind {
        CallKind::Read => f64::from(INSTANCES),
        CallKind::Write => 0.0,
    };
    let total_per_s = taken / f64::from(SECONDS) * f64::from(INSTANCES) + watches_per_s;
    let ratio = total_per_s / fleet_per_s;
    assert!(
        (0.97..=1.0).contains(&ratio),
        "{total_per_s} of {fleet_per_s} calls a second"
    );
}
