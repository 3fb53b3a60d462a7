//! `carobctl demo`: six instances and their stand-ins in one process, on loopback.
//!
//! A newcomer's first command. It starts the platform's store and live list, the engines and
//! services of a shipped example document, and two instances in each of three regions.

mod environment;
mod fleet;
mod text;

use anyhow::Context as _;
use clap::ValueEnum;
use environment::Stage;
use fleet::Fleet;
use std::path::PathBuf;
use tokio::runtime;

/// A shipped example document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Deployment {
    /// The Trinidad Rug Valuation Authority.
    Authority,
    /// Skledica Labs.
    Skledica,
}

impl Deployment {
    /// The document as shipped.
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
    /// Deployment to show.
    #[arg(long, value_enum, default_value = "skledica")]
    pub deployment: Deployment,
    /// Start the stand-ins only, and write settings for six instances into this folder, to run
    /// them as processes of their own.
    #[arg(long)]
    pub settings_dir: Option<PathBuf>,
    /// Time that the engines take for a token, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub token_ms: u64,
    /// Send the printed requests, print the answers and exit.
    #[arg(long)]
    pub once: bool,
}

/// Runs the demonstration until it is interrupted.
///
/// # Errors
///
/// Fails if a part cannot be started or, with `--once`, an answer is not as expected.
pub fn run(args: &Args) -> anyhow::Result<()> {
    let event_loop = runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot set up an event loop")?;
    let stage = Stage::start(args.deployment, args.token_ms)?;
    if let Some(folder) = &args.settings_dir {
        let files = stage.write_settings(folder)?;
        print!("{}", text::settings(&stage, &files));
        return event_loop.block_on(interrupted());
    }
    let fleet = Fleet::start(&stage)?;
    event_loop.block_on(fleet.ready())?;
    let requests = text::requests(&stage, &fleet);
    print!("{}", text::welcome(&fleet, &requests));
    if args.once {
        event_loop.block_on(text::send(&requests))?;
    } else {
        event_loop.block_on(interrupted())?;
    }
    fleet.stop();
    Ok(())
}

async fn interrupted() -> anyhow::Result<()> {
    println!("Press Ctrl-C to stop.");
    tokio::signal::ctrl_c()
        .await
        .context("cannot wait for a signal")
}
