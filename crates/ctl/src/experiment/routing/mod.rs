//! `carobctl experiment routing`: routing, admission and retries under load, compared with common
//! baselines.
//!
//! A discrete-event simulation runs several instances, each with its own router, queues and
//! retrier, in front of simulated engines. All policies get the same arrivals. Every random choice
//! derives from the seed.

mod baseline;
mod comparison;
mod deployment;
mod event;
mod instance;
mod measure;
mod plot;
mod request_state;
mod scenario;
mod storm;
mod table;
mod workload;
mod world;

#[cfg(test)]
mod tests;

use anyhow::Context;
use clap::ValueEnum;
use deployment::Deployment;
use measure::PolicyRow;
use scenario::{Scenario, ScenarioSettings};
use serde::Serialize;
use std::path::PathBuf;

/// Deployment to simulate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentName {
    /// The Trinidad Rug Valuation Authority: tail latency and the worst-served client account.
    Authority,
    /// Skledica Labs: cost and wrongful refusals.
    Skledica,
}

/// Arguments of `carobctl experiment routing`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Deployment whose sizes, traffic mix and objective are used.
    #[arg(long, value_enum)]
    pub deployment: DeploymentName,
    /// Scenario to run, or `all`.
    #[arg(long, value_enum, default_value = "all")]
    pub scenario: Scenario,
    /// Seed of the arrivals and of every random choice.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Simulated time, in seconds.
    #[arg(long, default_value_t = 240)]
    pub duration_s: u64,
    /// Print JSON instead of tables.
    #[arg(long)]
    pub json: bool,
    /// Also plot the 95th percentile of the time to the first token into this SVG file.
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

/// Results of one scenario.
#[derive(Clone, Debug, Serialize)]
struct ScenarioResults {
    deployment: DeploymentName,
    scenario: Scenario,
    seed: u64,
    duration_s: u64,
    rows: Vec<PolicyRow>,
    verdict: Vec<comparison::Comparison>,
}

/// Runs the experiment and prints its results.
///
/// # Errors
///
/// Fails if the plot cannot be written.
pub fn run(args: Args) -> anyhow::Result<()> {
    let deployment = Deployment::new(args.deployment);
    let mut results = Vec::new();
    for scenario in args.scenario.expand() {
        if scenario == Scenario::RetryStorm {
            continue;
        }
        let scenario_results = run_scenario(&args, &deployment, scenario);
        if !args.json {
            print!("{}", table::render(&scenario_results));
        }
        results.push(scenario_results);
    }
    let storm = args
        .scenario
        .expand()
        .contains(&Scenario::RetryStorm)
        .then(|| storm::run(&deployment, args.seed));
    if let Some(storm) = &storm {
        if !args.json {
            print!("{}", storm::render(storm));
        }
    }
    if args.json {
        let report = serde_json::json!({ "scenarios": results, "retry_storm": storm });
        println!("{}", serde_json::to_string_pretty(&report)?);
    }
    if let Some(path) = &args.svg {
        let context = || format!("cannot write {}", path.display());
        plot::write(path, &results).with_context(context)?;
    }
    Ok(())
}

fn run_scenario(args: &Args, deployment: &Deployment, scenario: Scenario) -> ScenarioResults {
    let settings = ScenarioSettings::new(scenario, deployment, args.duration_s);
    let arrivals = workload::arrivals(deployment, &settings, args.seed);
    let rows: Vec<PolicyRow> = baseline::Policy::ALL
        .iter()
        .map(|policy| world::run(deployment, &settings, &arrivals, *policy, args.seed))
        .collect();
    ScenarioResults {
        deployment: args.deployment,
        scenario,
        seed: args.seed,
        duration_s: args.duration_s,
        verdict: comparison::compare(deployment.document.policy.objective, &rows),
        rows,
    }
}
