//! Scenarios of the measurement: offered load, placement and faults.

use super::world::fault::{Defect, Fault};
use super::world::flow::{Flow, Placement};
use super::world::Setup;
use carobwheel_core::document::{Account, Document, Objective, Policy, Region};
use carobwheel_core::id::{AccountId, RegionId};
use carobwheel_core::limit::LoanMessage;

/// Number of instances, the current size of the fleet.
pub(super) const NODES: usize = 6;
/// Warm-up before decisions are counted, in milliseconds: parts start empty and fill up.
pub(super) const WARM_UP_MS: u64 = 120_000;
/// Duration for which decisions are counted, in milliseconds.
pub(super) const MEASUREMENT_MS: u64 = 1_200_000;
/// Duration of an outage, in milliseconds.
const OUTAGE_MS: u64 = 600_000;
/// Start of an outage, in milliseconds since the start of the run.
const OUTAGE_START_MS: u64 = WARM_UP_MS + 300_000;
const MAX_PROMPT_TOKENS: u64 = 600;
const MAX_OUTPUT_TOKENS: u64 = 300;
/// Smallest share of a request's output bound that is generated, in percent.
const MIN_OUTPUT_PCT: u64 = 50;
/// Maximum wait of a request for tokens, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// Period after which moving load continues in the next region, in milliseconds.
const REGION_PERIOD_MS: u64 = 20_000;

/// A run of the measurement.
#[derive(Clone, Debug)]
pub(super) struct Scenario {
    /// Name printed in the report and selected by `--only`.
    pub(super) name: &'static str,
    /// Offered load of the measured account, in percent of its rate, counted as used.
    pub(super) load_pct: u64,
    /// Placement of the measured account's requests.
    pub(super) placement: Placement,
    /// Offered load of the other account, in percent of its rate.
    pub(super) other_load_pct: u64,
    /// Faults by true time, in milliseconds.
    pub(super) faults: Vec<(u64, Fault)>,
    /// Start of counting decisions, in milliseconds.
    pub(super) tally_from_ms: u64,
    /// End of the run, in milliseconds.
    pub(super) end_ms: u64,
}

/// Returns all scenarios in the order of the report.
pub(super) fn all() -> Vec<Scenario> {
    let moving = Placement::Moving {
        period_ms: REGION_PERIOD_MS,
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
        (OUTAGE_START_MS, Fault::StoreDown),
        (OUTAGE_START_MS + OUTAGE_MS, Fault::StoreUp),
    ];
    let replaced = [
        (OUTAGE_START_MS, Fault::StoreDown),
        (OUTAGE_START_MS + 60_000, Fault::Kill(2)),
        (OUTAGE_START_MS + 70_000, Fault::Start(2)),
        (OUTAGE_START_MS + OUTAGE_MS, Fault::StoreUp),
    ];
    let killed = [
        (OUTAGE_START_MS, Fault::Kill(2)),
        (OUTAGE_START_MS + 10_000, Fault::Start(2)),
    ];
    let isolated = [
        (OUTAGE_START_MS, Fault::IsolateRegion(2)),
        (OUTAGE_START_MS + OUTAGE_MS, Fault::Heal),
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
    other_load_pct: u64,
    faults: &[(u64, Fault)],
) -> Scenario {
    Scenario {
        name,
        load_pct,
        placement,
        other_load_pct,
        faults: faults.to_vec(),
        tally_from_ms: WARM_UP_MS,
        end_ms: WARM_UP_MS + MEASUREMENT_MS,
    }
}

/// Builds a scenario that counts only the decisions made during the outage.
fn outage(name: &'static str, placement: Placement, faults: &[(u64, Fault)]) -> Scenario {
    Scenario {
        tally_from_ms: OUTAGE_START_MS,
        end_ms: OUTAGE_START_MS + OUTAGE_MS,
        ..scenario(name, 90, placement, 50, faults)
    }
}

/// Returns the regions of all scenarios.
pub(super) fn regions() -> Vec<RegionId> {
    ["north", "south", "west"]
        .map(|id| id.parse().expect("a valid identifier"))
        .to_vec()
}

/// Returns the identifier of the measured account.
pub(super) fn measured_account() -> AccountId {
    "measured".parse().expect("a valid identifier")
}

fn account(id: &str) -> Account {
    Account {
        id: id.parse().expect("a valid identifier"),
        rate_tokens_per_s: 2_000,
        burst_tokens: 20_000,
        queue_weight: 1,
        bound_region: None,
        keys: Vec::new(),
    }
}

/// Returns the configuration document of all scenarios.
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
    let used_pct = (100 + MIN_OUTPUT_PCT) / 2;
    let charged = MAX_PROMPT_TOKENS + MAX_OUTPUT_TOKENS;
    let used = MAX_PROMPT_TOKENS + MAX_OUTPUT_TOKENS * used_pct / 100;
    Flow {
        account: account.id.clone(),
        tokens_per_s: account.rate_tokens_per_s * load_pct / 100 * charged / used,
        placement,
        max_prompt_tokens: MAX_PROMPT_TOKENS,
        max_output_tokens: MAX_OUTPUT_TOKENS,
        min_output_pct: MIN_OUTPUT_PCT,
        max_wait_ms: MAX_WAIT_MS,
        on_ms: 0,
    }
}

/// Returns the configuration of a scenario's simulation.
pub(super) fn setup(
    scenario: &Scenario,
    seed: u64,
    message_bytes: fn(&LoanMessage) -> usize,
) -> Setup {
    let document = document();
    let [measured, other] = [&document.accounts[0], &document.accounts[1]];
    let flows = vec![
        flow(measured, scenario.load_pct, scenario.placement),
        flow(other, scenario.other_load_pct, Placement::Spread),
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
