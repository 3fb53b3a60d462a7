//! `carobctl load`: open-loop load against an instance, optionally compared with the same load sent
//! directly to an engine.
//!
//! Arrivals follow a seeded Poisson process and do not wait for responses, so a slow response does
//! not reduce the load. Latency is measured from the scheduled arrival.

mod client;
mod crash;
pub(crate) mod process;
mod report;

use anyhow::Context as _;
use client::LoadClient;
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use report::{Report, RunStats};
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
    /// Base URL of an engine that receives the same load directly, as a baseline.
    #[arg(long)]
    pub direct: Option<String>,
    /// API key for the instance.
    #[arg(long, default_value = "")]
    pub key: String,
    /// Credential for the engine.
    #[arg(long, default_value = "")]
    pub direct_key: String,
    /// Model to request.
    #[arg(long)]
    pub model: String,
    /// Request rate, in requests per second.
    #[arg(long, default_value_t = 100.0)]
    pub rate_per_s: f64,
    /// Duration of each run, in seconds.
    #[arg(long, default_value_t = 10)]
    pub duration_s: u64,
    /// Number of words in each prompt.
    #[arg(long, default_value_t = 20)]
    pub prompt_words: usize,
    /// Maximum number of output tokens to request.
    #[arg(long, default_value_t = 16)]
    pub max_tokens: u64,
    /// Request non-streaming responses instead of streams.
    #[arg(long)]
    pub whole: bool,
    /// Seed for arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Process ID of the instance, to measure its processor time and memory.
    #[arg(long)]
    pub pid: Option<u32>,
    /// Share of requests with a first message that crashes engines, in percent.
    #[arg(long, default_value_t = 0.0)]
    pub crash_share_pct: f64,
    /// Text of that message, as given to `carobctl demo`.
    #[arg(long, default_value = "")]
    pub crash_text: String,
    /// Base URL of a stand-in engine whose crashes are counted; may be repeated.
    #[arg(long = "engine")]
    pub engines: Vec<String>,
    /// File to write the report to, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Runs the load and prints the report.
///
/// # Errors
///
/// Returns an error if an argument is out of range, the process given by `--pid` cannot be
/// measured, or the report cannot be written.
pub async fn run(args: Args) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        args.rate_per_s > 0.0 && args.rate_per_s <= MAX_RATE_PER_S,
        "--rate-per-s must be above 0 and at most {MAX_RATE_PER_S} requests/s"
    );
    anyhow::ensure!(
        (1..=MAX_DURATION_S).contains(&args.duration_s),
        "--duration-s must be between 1 and {MAX_DURATION_S} s"
    );
    crash::check(&args)?;
    let direct = match &args.direct {
        Some(url) => Some(run_load(&args, url, &args.direct_key, None).await?),
        None => None,
    };
    let target = run_load(&args, &args.target, &args.key, args.pid).await?;
    let report = Report { target, direct };
    print!("{}", report.text());
    if let Some(path) = &args.json {
        std::fs::write(path, format!("{:#}\n", report.json()))
            .with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_load(args: &Args, url: &str, key: &str, pid: Option<u32>) -> anyhow::Result<RunStats> {
    let client = LoadClient::new(url, key, args)?;
    let mut rng = StdRng::seed_from_u64(args.seed);
    let crashes_before = crash::crash_count(&args.engines).await?;
    let usage_before = pid.map(process::usage).transpose()?;
    let start = Instant::now();
    let end = start + Duration::from_secs(args.duration_s);
    let mut arrival = start;
    let mut running = JoinSet::new();
    let mut stats = RunStats::default();
    let mut peak_memory_bytes = 0;
    while arrival < end {
        time::sleep_until(arrival.into()).await;
        let prompt = prompt(&mut rng, args.prompt_words);
        // Runs without such requests keep their arrivals and prompts for a seed.
        let crashes = args.crash_share_pct > 0.0 && rng.random_bool(args.crash_share_pct / 100.0);
        let first_message = crashes.then(|| args.crash_text.clone());
        let request = client.clone();
        running.spawn(async move { (crashes, request.send(first_message, prompt, arrival).await) });
        while let Some(outcome) = running.try_join_next() {
            stats.add_one_of(outcome);
        }
        arrival += interarrival(&mut rng, args.rate_per_s);
    }
    if let Some(pid) = pid {
        peak_memory_bytes = process::usage(pid)?.memory_bytes;
    }
    while let Some(outcome) = running.join_next().await {
        stats.add_one_of(outcome);
    }
    stats.duration = start.elapsed();
    if !args.engines.is_empty() {
        stats.engine_crashes = Some(crash::crash_count(&args.engines).await? - crashes_before);
    }
    if let (Some(pid), Some(usage_before)) = (pid, usage_before) {
        let usage_after = process::usage(pid)?;
        stats.processor_s = Some(usage_after.processor_s - usage_before.processor_s);
        stats.memory_bytes = Some(peak_memory_bytes.max(usage_after.memory_bytes));
    }
    Ok(stats)
}

fn interarrival(rng: &mut StdRng, rate_per_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate_per_s)
}

fn prompt(rng: &mut StdRng, words: usize) -> String {
    let word = |_| format!("w{:04}", rng.random_range(0..10_000));
    (0..words).map(word).collect::<Vec<_>>().join(" ")
}
