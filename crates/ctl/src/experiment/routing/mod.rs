//! Routing, admission and retries under load, against the usual baselines.
//!
//! A small event loop runs several instances, each with its own router, queues and retrier, before
//! modelled engines. All policies get the same arrivals. Nothing is random but by the seed.

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
use measure::Row;
use scenario::{Case, Scenario};
use serde::Serialize;
use std::path::PathBuf;

/// The deployments of the users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentName {
    /// The Trinidad Rug Valuation Authority: tail latency and the worst-served client account.
    Authority,
    /// Skledica Labs: cost and wrongful refusals.
    Skledica,
}

/// Arguments of the measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Deployment whose sizes, mix and objective are used.
    #[arg(long, value_enum)]
    pub deployment: DeploymentName,
    /// Scenario, or `all`.
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
    /// Also draw the 95th percentile of the first token into this SVG file.
    #[arg(long)]
    pub svg: Option<PathBuf>,
}

/// Results of one scenario.
#[derive(Clone, Debug, Serialize)]
struct Outcome {
    deployment: DeploymentName,
    scenario: Scenario,
    seed: u64,
    duration_s: u64,
    rows: Vec<Row>,
    verdict: Vec<comparison::Comparison>,
}

/// Runs the measurement and prints its results.
///
/// # Errors
///
/// Fails if the plot cannot be written.
pub fn run(args: Args) -> anyhow::Result<()> {
    let deployment = Deployment::new(args.deployment);
    let mut outcomes = Vec::new();
    for scenario in args.scenario.expand() {
        if scenario == Scenario::RetryStorm {
            continue;
        }
        let outcome = run_scenario(&args, &deployment, scenario);
        if !args.json {
            print!("{}", table::render(&outcome));
        }
        outcomes.push(outcome);
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
        let whole = serde_json::json!({ "scenarios": outcomes, "retry_storm": storm });
        println!("{}", serde_json::to_string_pretty(&whole)?);
    }
    if let Some(path) = &args.svg {
        let context = || format!("cannot write {}", path.display());
        plot::write(path, &outcomes).with_context(context)?;
    }
    Ok(())
}

fn run_scenario(args: &Args, deployment: &Deployment, scenario: Scenario) -> Outcome {
    let case = Case::new(scenario, deployment, args.duration_s);
    let arrivals = workload::arrivals(deployment, &case, args.seed);
    let rows: Vec<Row> = baseline::Policy::ALL
        .iter()
        .map(|policy| world::run(deployment, &case, &arrivals, *policy, args.seed))
        .collect();
    Outcome {
        deployment: args.deployment,
        scenario,
        seed: args.seed,
        duration_s: args.duration_s,
        verdict: comparison::compare(deployment.document.policy.objective, &rows),
        rows,
    }
}
