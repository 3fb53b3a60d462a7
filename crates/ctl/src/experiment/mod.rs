//! Seeded measurements of decisions against baselines.

pub mod rollout;

use clap::Subcommand;

/// Arguments of `carobctl experiment`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// What is measured.
    #[command(subcommand)]
    pub topic: Topic,
}

/// What is measured.
#[derive(Debug, Subcommand)]
pub enum Topic {}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if the experiment cannot be set up or a report cannot be written.
pub fn run(args: Args) -> anyhow::Result<()> {
    match args.topic {}
}
