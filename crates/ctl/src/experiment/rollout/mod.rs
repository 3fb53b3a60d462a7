//! `carobctl experiment rollout`: verdicts on bad and good versions, and the traffic that bad ones
//! receive.
//!
//! Six simulated instances in three regions move traffic to a new version, which is good or has one
//! of several faults, under ordinary variation of the load, partitions and outages of the store.

mod case;
mod report;
mod world;

use anyhow::Context;
use case::{Case, CASES};
use report::CaseRow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use world::RunResult;

/// Arguments of `carobctl experiment rollout`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Seed of the first run of each case; every further run adds one.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs of each case.
    #[arg(long, default_value_t = 1_000)]
    pub runs: u64,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub json: bool,
    /// Run only the cases whose name contains this text.
    #[arg(long, default_value = "")]
    pub case: String,
    /// Number of threads that execute the runs.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

/// Runs the experiment and prints its report.
///
/// # Errors
///
/// Fails if no case's name contains the given text, no run is requested, or the report cannot be
/// encoded.
pub fn run(args: Args) -> anyhow::Result<()> {
    let cases: Vec<&Case> = CASES
        .iter()
        .filter(|case| case.name.contains(&args.case))
        .collect();
    anyhow::ensure!(!cases.is_empty(), "no case contains `{}`", args.case);
    anyhow::ensure!(args.runs > 0, "at least one run is needed");
    let mut rows = Vec::new();
    for case in cases {
        let row = CaseRow::new(case, &run_case(case, &args));
        if !args.json {
            if rows.is_empty() {
                println!("{}", report::HEADER);
            }
            println!("{row}");
        }
        rows.push(row);
    }
    if args.json {
        let json = serde_json::to_string_pretty(&rows).context("cannot encode the report")?;
        println!("{json}");
    }
    Ok(())
}

fn run_case(case: &Case, args: &Args) -> Vec<RunResult> {
    let runs = usize::try_from(args.runs).unwrap_or(usize::MAX);
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![RunResult::default(); runs]);
    std::thread::scope(|scope| {
        for _ in 0..args.threads.max(1) {
            scope.spawn(|| loop {
                let run = next.fetch_add(1, Ordering::Relaxed);
                if run >= runs {
                    break;
                }
                let result = world::run(case, args.seed + run as u64);
                let mut results = results.lock().expect("no run panics with the lock held");
                results[run] = result;
            });
        }
    });
    results
        .into_inner()
        .expect("no run panics with the lock held")
}
