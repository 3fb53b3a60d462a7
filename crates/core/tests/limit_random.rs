//! Seeded randomised runs with faults: no account exceeds its rate and burst in any time window.

// The `carobctl` experiments use the same simulation; not all of it is used here.
#[allow(dead_code, unreachable_pub)]
#[path = "../../ctl/src/experiment/limits/world/mod.rs"]
mod world;

use carobwheel_core::document::{Account, Document, Objective, Policy, Region};
use carobwheel_core::id::{AccountId, RegionId};
use carobwheel_core::slot::TOLERATED_PAUSE_MS;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::panic::{catch_unwind, AssertUnwindSafe};
use test_case::test_case;
use world::fault::{Defect, Fault};
use world::flow::{Flow, Placement};
use world::{Setup, World};

const RUN_MS: u64 = 150_000;
/// Duration of a run with an injected defect.
const DEFECT_RUN_MS: u64 = 105_000;
const FAULTS_UNTIL_MS: u64 = 130_000;
const REGIONS: usize = 3;
const NODES: usize = 6;
/// Number of seeds in CI; the environment variable `CAROBWHEEL_SEEDS` overrides it.
const CI_SEEDS: u64 = 8;

fn regions() -> Vec<RegionId> {
    ["north", "south", "west"]
        .map(|id| id.parse().expect("a valid identifier"))
        .to_vec()
}

fn account(id: &str, rate_tokens_per_s: u64, burst_tokens: u64) -> Account {
    Account {
        id: id.parse().expect("a valid identifier"),
        rate_tokens_per_s,
        burst_tokens,
        queue_weight: 1,
        bound_region: None,
        keys: Vec::new(),
    }
}

fn document(weights: [u32; REGIONS], bound: Option<RegionId>) -> Document {
    let regions = regions().into_iter().zip(weights);
    let mut accounts = vec![
        account("fast", 2_000, 20_000),
        account("slow", 7, 4_000),
        account("bound", 500, 6_000),
    ];
    accounts[2].bound_region = bound;
    Document {
        schema: 1,
        policy: Policy {
            objective: Objective::Cost,
            retry_budget_pct: 10,
            max_body_bytes: 1_000_000,
        },
        regions: regions
            .map(|(id, rate_weight)| Region {
                id,
                data_centres: Vec::new(),
                rate_weight,
            })
            .collect(),
        accounts,
        classes: Vec::new(),
        models: Vec::new(),
        upstreams: Vec::new(),
        routes: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn flow(id: &str, tokens_per_s: u64, rng: &mut StdRng) -> Flow {
    let placement = match rng.random_range(0..3) {
        0 => Placement::Spread,
        1 => Placement::One(rng.random_range(0..NODES)),
        _ => Placement::Moving { period_ms: 9_000 },
    };
    let account: AccountId = id.parse().expect("a valid identifier");
    Flow {
        account,
        tokens_per_s,
        placement,
        max_prompt_tokens: rng.random_range(50..1_500),
        max_output_tokens: rng.random_range(10..2_000),
        min_output_pct: rng.random_range(0..=100),
        max_wait_ms: rng.random_range(0..2_000),
        on_ms: [0, 5_000, 20_000][rng.random_range(0..3)],
    }
}

fn faults(rng: &mut StdRng) -> Vec<(u64, Fault)> {
    let mut faults = vec![(0, Fault::Publish(1))];
    for _ in 0..rng.random_range(1..6) {
        let at_ms = rng.random_range(5_000..FAULTS_UNTIL_MS);
        let node = rng.random_range(0..NODES);
        let length_ms = rng.random_range(1_000..60_000);
        match rng.random_range(0..7) {
            0 => {
                faults.push((at_ms, Fault::Kill(node)));
                faults.push((at_ms + length_ms, Fault::Start(node)));
            }
            1 => {
                let pause_ms = TOLERATED_PAUSE_MS + rng.random_range(0..40_000);
                faults.push((at_ms, Fault::Pause(node, pause_ms)));
            }
            2 => faults.push((at_ms, Fault::Pause(node, rng.random_range(100..30_000)))),
            3 => {
                faults.push((at_ms, Fault::StoreDown));
                faults.push((at_ms + length_ms, Fault::StoreUp));
            }
            4 => {
                faults.push((at_ms, Fault::IsolateRegion(rng.random_range(0..REGIONS))));
                faults.push((at_ms + length_ms, Fault::Heal));
            }
            5 => faults.push((at_ms, Fault::Disconnect(node, length_ms))),
            _ => faults.push((at_ms, Fault::Publish(rng.random_range(2..5)))),
        }
    }
    faults
}

fn setup(seed: u64, defect: Defect) -> Setup {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    let flows = vec![
        flow("fast", 6_000, &mut rng),
        flow("slow", 60, &mut rng),
        flow("bound", 1_500, &mut rng),
    ];
    Setup {
        seed,
        regions: regions(),
        nodes: NODES,
        documents: vec![
            document([1, 1, 1], Some(regions()[1].clone())),
            document([4, 1, 1], Some(regions()[1].clone())),
            document([1, 1, 8], Some(regions()[2].clone())),
            document([1, 2, 1], None),
        ],
        flows,
        faults: faults(&mut rng),
        defect,
        loss_pct: [0, 2, 10][rng.random_range(0..3)],
        tick_ms: 100,
        drift_ppm: 200,
        message_bytes: |_| 0,
    }
}

fn run(setup: Setup, end_ms: u64) -> Option<String> {
    let mut world = World::new(setup);
    world.run_until(end_ms);
    let violation = world.violation()?;
    Some(format!("{violation:?}"))
}

/// Returns the violation found by the reference bucket or by an assertion in the code under test.
fn find_violation(setup: Setup, end_ms: u64) -> Option<String> {
    let result = catch_unwind(AssertUnwindSafe(|| run(setup, end_ms)));
    result.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<&str>().copied().unwrap_or("assertion");
        Some(text.to_owned())
    })
}

fn seeds() -> u64 {
    let configured = std::env::var("CAROBWHEEL_SEEDS").ok();
    configured
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(CI_SEEDS)
}

#[test]
fn no_account_exceeds_its_rate_and_burst() {
    let threads = 4;
    let found: Vec<String> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|worker| {
                scope.spawn(move || {
                    (worker..seeds())
                        .step_by(threads as usize)
                        .filter_map(|seed| {
                            let found = find_violation(setup(seed, Defect::None), RUN_MS)?;
                            Some(format!("seed {seed}: {found}"))
                        })
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|w| w.join().unwrap())
            .collect()
    });
    assert!(
        found.is_empty(),
        "{} of {}: {found:#?}",
        found.len(),
        seeds()
    );
}

/// Steady load of small requests at all instances; `on_ms` is as in [`Flow`].
fn steady_flow(id: &str, tokens_per_s: u64, on_ms: u64) -> Flow {
    Flow {
        account: id.parse().expect("a valid identifier"),
        tokens_per_s,
        placement: Placement::Spread,
        max_prompt_tokens: 200,
        max_output_tokens: 100,
        min_output_pct: 100,
        max_wait_ms: 500,
        on_ms,
    }
}

const KILLS_AND_RESTARTS: [(u64, Fault); 5] = [
    (0, Fault::Publish(1)),
    (20_000, Fault::Kill(0)),
    (21_000, Fault::Kill(4)),
    (22_000, Fault::Start(0)),
    (22_000, Fault::Start(4)),
];
const PAUSE_AND_OUTAGE: [(u64, Fault); 7] = [
    (0, Fault::Publish(1)),
    (20_000, Fault::Pause(3, 80_000)),
    (20_000, Fault::Pause(4, 80_000)),
    (99_000, Fault::StoreDown),
    (99_000, Fault::Disconnect(3, 20_000)),
    (99_000, Fault::Disconnect(4, 20_000)),
    (120_000, Fault::StoreUp),
];
const GROWTH_DURING_PARTITION: [(u64, Fault); 4] = [
    (0, Fault::Publish(1)),
    (30_000, Fault::IsolateRegion(2)),
    (31_000, Fault::Publish(2)),
    (90_000, Fault::Heal),
];

#[test_case(Defect::LoanCreditedTwice, &KILLS_AND_RESTARTS[..1], 0; "loan credited twice")]
#[test_case(Defect::LoanForgotten, &KILLS_AND_RESTARTS[..1], 0; "lender forgets what it has lent")]
#[test_case(Defect::PauseCheckDisabled, &PAUSE_AND_OUTAGE, 50_000; "pause rule off")]
#[test_case(Defect::NewOwnerStartsFull, &KILLS_AND_RESTARTS, 0; "new owner starts full")]
#[test_case(Defect::ImmediateShareGrowth, &GROWTH_DURING_PARTITION, 0; "share grows at once")]
fn injected_defect_is_caught(defect: Defect, faults: &[(u64, Fault)], on_ms: u64) {
    let scenario = |defect: Defect| {
        let mut setup = setup(1, defect);
        setup.faults = faults.to_vec();
        setup.loss_pct = 0;
        setup.flows = vec![
            steady_flow("fast", 6_000, on_ms),
            steady_flow("slow", 60, on_ms),
        ];
        if on_ms > 0 {
            // The load after the idle period spends a full bucket at once.
            setup.flows[0].tokens_per_s = 40_000;
        }
        setup
    };
    assert_eq!(find_violation(scenario(Defect::None), DEFECT_RUN_MS), None);
    assert_ne!(
        find_violation(scenario(defect), DEFECT_RUN_MS),
        None,
        "{defect:?} was not caught"
    );
}
