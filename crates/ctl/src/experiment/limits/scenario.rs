//! What is measured.

use super::world::fault::{Defect, Fault};
use super::world::flow::{Flow, Placement};
use super::world::Setup;
use carobwheel_core::document::{Account, Document, Objective, Policy, Region};
use carobwheel_core::id::{AccountId, RegionId};
use carobwheel_core::limit::LoanMessage;

/// Instances, as many as today.
pub(super) const NODES: usize = 6;
/// Time before decisions count: parts start empty and fill in this time, in milliseconds.
pub(super) const WARM_UP_MS: u64 = 120_000;
/// Time in which decisions count, in milliseconds.
pub(super) const MEASURED_MS: u64 = 1_200_000;
const OUTAGE_MS: u64 = 600_000;
const OUTAGE_FROM_MS: u64 = WARM_UP_MS + 300_000;
const MAX_PROMPT_TOKENS: u64 = 600;
const MAX_OUTPUT_TOKENS: u64 = 300;
const LEAST_OUTPUT_PCT: u64 = 50;
const PATIENCE_MS: u64 = 2_000;
const MOVE_PERIOD_MS: u64 = 20_000;

/// A run to be measured.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    /// Name of what happens.
    pub(super) name: &'static str,
    /// Offered load of the measured account, in percent of its rate, counted as used.
    pub(super) load_pct: u64,
    /// Where the measured account's requests arrive.
    pub(super) placement: Placement,
    /// Offered load of the account beside it, in percent of its rate.
    pub(super) beside_pct: u64,
    /// What fails.
    pub(super) faults: Vec<(u64, Fault)>,
    /// From when on decisions count, in milliseconds.
    pub(super) tally_from_ms: u64,
    /// Until when the run lasts, in milliseconds.
    pub(super) end_ms: u64,
}

/// All scenarios.
pub(super) fn all() -> Vec<Scenario> {
    let moving = Placement::Moving {
        period_ms: MOVE_PERIOD_MS,
    };
    let placements = [Placement::Spread, Placement::One(1), moving];
    let mut scenarios = Vec::new();
    for load_pct in [50, 90, 100] {
        for placement in placements {
            scenarios.push(scenario("healthy", load_pct, placement, 50, &[]));
        }
    }
    scenarios.push(scenario("beside 5 x", 90, Placement::Spread, 500, &[]));
    scenarios.push(scenario("at 5 x", 500, Placement::Spread, 90, &[]));
    let store_down = [
        (OUTAGE_FROM_MS, Fault::StoreDown),
        (OUTAGE_FROM_MS + OUTAGE_MS, Fault::StoreUp),
    ];
    let replaced = [
        (OUTAGE_FROM_MS, Fault::StoreDown),
        (OUTAGE_FROM_MS + 60_000, Fault::Kill(2)),
        (OUTAGE_FROM_MS + 70_000, Fault::Start(2)),
        (OUTAGE_FROM_MS + OUTAGE_MS, Fault::StoreUp),
    ];
    let killed = [
        (OUTAGE_FROM_MS, Fault::Kill(2)),
        (OUTAGE_FROM_MS + 10_000, Fault::Start(2)),
    ];
    let isolated = [
        (OUTAGE_FROM_MS, Fault::IsolateRegion(2)),
        (OUTAGE_FROM_MS + OUTAGE_MS, Fault::Heal),
    ];
    for placement in placements {
        scenarios.push(outage("store down 10 min", placement, &store_down));
    }
    for placement in placements {
        scenarios.push(outage("store down, one replaced", placement, &replaced));
    }
    for placement in placements {
        scenarios.push(outage("one replaced", placement, &killed));
    }
    scenarios.push(outage("region isolated", Placement::Spread, &isolated));
    scenarios.push(outage("region isolated", Placement::One(2), &isolated));
    scenarios
}

fn scenario(
    name: &'static str,
    load_pct: u64,
    placement: Placement,
    beside_pct: u64,
    faults: &[(u64, Fault)],
) -> Scenario {
    Scenario {
        name,
        load_pct,
        placement,
        beside_pct,
        faults: faults.to_vec(),
        tally_from_ms: WARM_UP_MS,
        end_ms: WARM_UP_MS + MEASURED_MS,
    }
}

/// Counts only the decisions during the outage.
fn outage(name: &'static str, placement: Placement, faults: &[(u64, Fault)]) -> Scenario {
    Scenario {
        tally_from_ms: OUTAGE_FROM_MS,
        end_ms: OUTAGE_FROM_MS + OUTAGE_MS,
        ..scenario(name, 90, placement, 50, faults)
    }
}

/// The regions.
pub(super) fn regions() -> Vec<RegionId> {
    ["north", "south", "west"]
        .map(|id| id.parse().expect("a valid name"))
        .to_vec()
}

/// Name of the measured account.
pub(super) fn measured() -> AccountId {
    "measured".parse().expect("a valid name")
}

fn account(id: &str) -> Account {
    Account {
        id: id.parse().expect("a valid name"),
        rate_tokens_per_s: 2_000,
        burst_tokens: 20_000,
        queue_weight: 1,
        bound_region: None,
        keys: Vec::new(),
    }
}

/// The document of all scenarios.
pub(super) fn document() -> Document {
    Document {
        schema: 1,
        policy: Policy {
            objective: Objective::Cost,
            retry_budget_pct: 10,
            max_body_bytes: 1_000_000,
        },
        regions: regions()
            .into_iter()
            .map(|id| Region {
                id,
                data_centres: Vec::new(),
                rate_weight: 1,
            })
            .collect(),
        accounts: vec![account("measured"), account("beside")],
        classes: Vec::new(),
        models: Vec::new(),
        upstreams: Vec::new(),
        routes: Vec::new(),
        rollouts: Vec::new(),
    }
}

fn flow(account: &Account, load_pct: u64, placement: Placement) -> Flow {
    let used_pct = (100 + LEAST_OUTPUT_PCT) / 2;
    let charged = MAX_PROMPT_TOKENS + MAX_OUTPUT_TOKENS;
    let used = MAX_PROMPT_TOKENS + MAX_OUTPUT_TOKENS * used_pct / 100;
    Flow {
        account: account.id.clone(),
        tokens_per_s: account.rate_tokens_per_s * load_pct / 100 * charged / used,
        placement,
        max_prompt_tokens: MAX_PROMPT_TOKENS,
        max_output_tokens: MAX_OUTPUT_TOKENS,
        min_output_pct: LEAST_OUTPUT_PCT,
        max_wait_ms: PATIENCE_MS,
        on_ms: 0,
    }
}

/// The world of a scenario.
pub(super) fn setup(
    scenario: &Scenario,
    seed: u64,
    message_bytes: fn(&LoanMessage) -> usize,
) -> Setup {
    let document = document();
    let [measured, beside] = [&document.accounts[0], &document.accounts[1]];
    let flows = vec![
        flow(measured, scenario.load_pct, scenario.placement),
        flow(beside, scenario.beside_pct, Placement::Spread),
    ];
    let mut faults = vec![(0, Fault::Publish(1))];
    faults.extend(&scenario.faults);
    Setup {
        seed,
        regions: regions(),
        nodes: NODES,
        documents: vec![document],
        flows,
        faults,
        defect: Defect::None,
        loss_pct: 0,
        tick_ms: 50,
        drift_ppm: 200,
        message_bytes,
    }
}
