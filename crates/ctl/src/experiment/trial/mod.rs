//! `carobctl experiment trial`: verdicts on versions in the short trials of the platform's rollouts.

mod case;
mod world;

use carobwheel_edge::rollout::Verdict;
use case::{Setting, Version, SETTINGS, VERSIONS};

/// Arguments of `carobctl experiment trial`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Seed of the first run of each case; every further run adds one.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs of each case.
    #[arg(long, default_value_t = 100)]
    pub runs: u64,
    /// Run only the versions whose name contains this text.
    #[arg(long, default_value = "")]
    pub version: String,
}

/// Runs the experiment and prints its report: for bad versions the runs that were not completed, for good
/// ones those that were completed in time, and the runs in which the version got more requests than allowed.
///
/// # Errors
///
/// Fails if no version's name contains the given text, or no run is requested.
pub fn run(args: Args) -> anyhow::Result<()> {
    let versions: Vec<&Version> = VERSIONS
        .iter()
        .filter(|version| version.name.contains(&args.version))
        .collect();
    anyhow::ensure!(!versions.is_empty(), "no version is `{}`", args.version);
    anyhow::ensure!(args.runs > 0, "at least one run is needed");
    println!("| version | requests/s | routes | instances | s | right | over the bounds | requests, mean |");
    println!("|---|---|---|---|---|---|---|---|");
    for version in versions {
        for setting in &SETTINGS {
            println!("{}", row(version, setting, &args));
        }
    }
    Ok(())
}

fn row(version: &Version, setting: &Setting, args: &Args) -> String {
    let (mut right, mut over, mut requests) = (0, 0, 0.0);
    for seed in args.seed..args.seed + args.runs {
        let result = world::run(version, setting, seed);
        let is_complete = result.verdict == Verdict::Complete;
        right += u64::from(is_complete != version.is_bad());
        over += u64::from(version.is_bad() && result.new_requests > result.allowed);
        requests += result.new_requests;
    }
    #[allow(clippy::cast_precision_loss)]
    let mean = requests / args.runs as f64;
    let Setting {
        requests_per_s,
        routes,
        instances,
        duration_ms,
    } = setting;
    let seconds = duration_ms / 1_000;
    format!(
        "| {} | {requests_per_s} | {routes} | {instances} | {seconds} | {right}/{} | {over} | {mean:.0} |",
        version.name, args.runs
    )
}
