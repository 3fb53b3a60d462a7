//! `carobctl demo`: six instances and stand-ins for their dependencies in one process, on loopback.
//!
//! Intended as a first look at the gateway. Starts stand-ins for the platform's store and live
//! list and for the engines and services of an example document, and two instances in each of
//! three regions.

mod environment;
mod fleet;
pub mod ports;
mod text;

use anyhow::Context as _;
use clap::ValueEnum;
use environment::Environment;
use fleet::Fleet;
use std::path::PathBuf;
use tokio::runtime;

const MAX_CRASH_DOWN_MS: u64 = 600_000;

/// Example deployment that ships with its configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// The Trinidad Rug Valuation Authority.
    Authority,
    /// Skledica Labs.
    Skledica,
}

impl Deployment {
    /// Returns the configuration document of the deployment.
    pub fn document(self) -> &'static str {
        match self {
            Self::Authority => include_str!("../../../../examples/authority.json"),
            Self::Skledica => include_str!("../../../../examples/skledica.json"),
        }
    }
}

/// Arguments of `carobctl demo`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Deployment to run.
    #[arg(long, value_enum, default_value = "skledica")]
    pub deployment: Deployment,
    /// Start only the stand-ins, and write settings for six instances into this folder, to run
    /// the instances as separate processes.
    #[arg(long)]
    pub settings_dir: Option<PathBuf>,
    /// Time per token of the engines, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub token_ms: u64,
    /// Text that crashes the engines when it is in a prompt; none crashes them by default.
    #[arg(long)]
    pub crash_text: Option<String>,
    /// Time for which an engine is down after a crash, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    pub crash_down_ms: u64,
    /// Send the printed requests, print the responses and exit.
    #[arg(long)]
    pub once: bool,
}

/// Runs the demo until it is interrupted.
///
/// # Errors
///
/// Returns an error if a stand-in or an instance cannot be started or, with `--once`, if a request
/// fails.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let async_runtime = runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?;
    anyhow::ensure!(
        (1..=MAX_CRASH_DOWN_MS).contains(&args.crash_down_ms),
        "--crash-down-ms must be between 1 and {MAX_CRASH_DOWN_MS} ms"
    );
    let environment = Environment::start(args.deployment, args.token_ms)?;
    if let Some(text) = &args.crash_text {
        let engines = environment.crash_engines_on(text, args.crash_down_ms);
        println!("Engines: {}", engines.join(" "));
    }
    if let Some(folder) = &args.settings_dir {
        let files = environment.write_settings(folder)?;
        print!("{}", text::startup_instructions(&environment, &files));
        return async_runtime.block_on(wait_for_interrupt());
    }
    let fleet = Fleet::start(&environment)?;
    async_runtime.block_on(fleet.wait_until_ready())?;
    let requests = text::sample_requests(&environment, &fleet);
    print!("{}", text::overview(&fleet, &requests));
    if args.once {
        async_runtime.block_on(text::send(&requests))?;
    } else {
        async_runtime.block_on(wait_for_interrupt())?;
    }
    fleet.stop();
    Ok(())
}

async fn wait_for_interrupt() -> anyhow::Result<()> {
    println!("Press Ctrl-C to stop.");
    tokio::signal::ctrl_c()
        .await
        .context("cannot wait for Ctrl-C")
}
