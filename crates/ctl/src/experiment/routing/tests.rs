//! Tests of the simulation: equal seeds give equal results, and every measured request is counted
//! once under faults.

use super::baseline::Policy;
use super::deployment::Deployment;
use super::scenario::{Scenario, ScenarioSettings};
use super::{workload, world, DeploymentName};
use test_case::test_case;

const DURATION_S: u64 = 16;

fn rows(name: DeploymentName, scenario: Scenario, seed: u64) -> String {
    let deployment = Deployment::new(name);
    let settings = ScenarioSettings::new(scenario, &deployment, DURATION_S);
    let arrivals = workload::arrivals(&deployment, &settings, seed);
    let measured = arrivals.iter().filter(|a| a.is_measured).count();
    let policies = [Policy::ALL[0], Policy::ALL[3]];
    let run = |policy: &Policy| world::run(&deployment, &settings, &arrivals, *policy, seed);
    let rows: Vec<_> = policies.iter().map(run).collect();
    assert!(rows.iter().all(|row| row.requests as usize == measured));
    serde_json::to_string(&rows).expect("rows")
}

#[test_case(DeploymentName::Authority, Scenario::HalfRegionLost)]
#[test_case(DeploymentName::Skledica, Scenario::ColdReturn)]
fn equal_seeds_give_equal_results(name: DeploymentName, scenario: Scenario) {
    let first = rows(name, scenario, 5);
    assert_eq!(first, rows(name, scenario, 5));
    assert_ne!(first, rows(name, scenario, 6));
}

#[test]
fn bound_accounts_send_to_their_region_only() {
    let deployment = Deployment::new(DeploymentName::Authority);
    let settings = ScenarioSettings::new(Scenario::OffsetPeaks, &deployment, DURATION_S);
    for arrival in workload::arrivals(&deployment, &settings, 3) {
        let account = &deployment.document.accounts[arrival.account];
        let region = &deployment.instances[arrival.instance].region;
        assert!(account.bound_region.as_ref().is_none_or(|r| r == region));
    }
}
