//! `carobctl load`: open-loop load against an instance, beside the same load sent straight to an
//! engine.
//!
//! Arrivals follow a seeded Poisson process and do not wait for answers, so a slow answer does not
//! slow the load down. Latency counts from the scheduled arrival.

mod client;
pub(crate) mod process;
mod report;

use anyhow::Context as _;
use client::{Caller, Outcome};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use report::{Report, Side};
use std::{
    path::PathBuf,
    process::ExitCode,
    time::{Duration, Instant},
};
use tokio::{task::JoinSet, time};

const MAX_RATE_PER_S: f64 = 100_000.0;
const MAX_DURATION_S: u64 = 86_400;

/// Arguments of `carobctl load`.
#[derive(Clone, Debug, clap::Args)]
pub struct Args {
    /// Base URL of an instance.
    #[arg(long)]
    pub target: String,
    /// Base URL of an engine that gets the same load directly, as the baseline.
    #[arg(long)]
    pub direct: Option<String>,
    /// Caller's key for the instance.
    #[arg(long, default_value = "")]
    pub key: String,
    /// Credential for the engine.
    #[arg(long, default_value = "")]
    pub direct_key: String,
    /// Model to ask for.
    #[arg(long)]
    pub model: String,
    /// Requests a second.
    #[arg(long, default_value_t = 100.0)]
    pub rate_per_s: f64,
    /// Duration of each side, in seconds.
    #[arg(long, default_value_t = 10)]
    pub duration_s: u64,
    /// Words of the prompt.
    #[arg(long, default_value_t = 20)]
    pub prompt_words: usize,
    /// Output tokens to ask for.
    #[arg(long, default_value_t = 16)]
    pub max_tokens: u64,
    /// Ask for whole answers instead of streams.
    #[arg(long)]
    pub whole: bool,
    /// Seed of arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Process of the instance, for its processor time and memory.
    #[arg(long)]
    pub pid: Option<u32>,
    /// File that gets the report as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Runs the load and prints the report.
///
/// # Errors
///
/// Fails if the arguments are out of range or the report cannot be written.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        args.rate_per_s > 0.0 && args.rate_per_s <= MAX_RATE_PER_S,
        "--rate-per-s has to be above 0 and at most {MAX_RATE_PER_S} requests/s"
    );
    anyhow::ensure!(
        (1..=MAX_DURATION_S).contains(&args.duration_s),
        "--duration-s has to be 1 to {MAX_DURATION_S} s"
    );
    let direct = match &args.direct {
        Some(url) => Some(side(&args, url, &args.direct_key, None).await?),
        None => None,
    };
    let target = side(&args, &args.target, &args.key, args.pid).await?;
    let report = Report { target, direct };
    print!("{}", report.text());
    if let Some(path) = &args.json {
        std::fs::write(path, format!("{:#}\n", report.json()))
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn side(args: &Args, url: &str, key: &str, pid: Option<u32>) -> anyhow::Result<Side> {
    let caller = Caller::new(url, key, args)?;
    let mut rng = StdRng::seed_from_u64(args.seed);
    let before = pid.map(process::usage).transpose()?;
    let start = Instant::now();
    let end = start + Duration::from_secs(args.duration_s);
    let mut arrival = start;
    let mut running = JoinSet::new();
    let mut side = Side::default();
    let mut peak_memory_bytes = 0;
    while arrival < end {
        time::sleep_until(arrival.into()).await;
        let prompt = prompt(&mut rng, args.prompt_words);
        running.spawn(caller.clone().ask(prompt, arrival));
        while let Some(ended) = running.try_join_next() {
            side.add(&ended.unwrap_or_else(|_| Outcome::failed("panicked")));
        }
        arrival += interarrival(&mut rng, args.rate_per_s);
    }
    if let Some(pid) = pid {
        peak_memory_bytes = process::usage(pid)?.memory_bytes;
    }
    while let Some(ended) = running.join_next().await {
        side.add(&ended.unwrap_or_else(|_| Outcome::failed("panicked")));
    }
    side.duration = start.elapsed();
    if let (Some(pid), Some(before)) = (pid, before) {
        let after = process::usage(pid)?;
        side.processor_s = Some(after.processor_s - before.processor_s);
        side.memory_bytes = Some(peak_memory_bytes.max(after.memory_bytes));
    }
    Ok(side)
}

fn interarrival(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}

fn prompt(rng: &mut StdRng, words: usize) -> String {
    let word = |_| format!("w{:04}", rng.random_range(0..10_000));
    (0..words).map(word).collect::<Vec<_>>().join(" ")
}
