//! Seeded measurements of decisions against baselines.

pub mod gossip;
pub mod limits;
pub mod placement;
pub mod rollout;
pub mod routing;

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
pub enum Topic {
    /// Traffic, processor time and memory of membership, and the spread of a revision.
    Gossip(gossip::Args),
    /// Wrongful refusals of the fleet's limits, against a static split and a central counter.
    Limits(limits::Args),
    /// Processor time of one placement in a fleet of many engines.
    Placement(placement::Args),
    /// Right and wrong verdicts on bad and good versions, and the traffic that bad ones got.
    Rollout(rollout::Args),
    /// Routing, admission and retries under load, against the usual baselines.
    Routing(routing::Args),
}

/// Runs the experiment.
///
/// # Errors
///
/// Fails if the experiment cannot be set up or a report cannot be written.
pub fn run(args: Args) -> anyhow::Result<()> {
    match args.topic {
        Topic::Gossip(args) => gossip::run(args),
        Topic::Limits(args) => limits::run(args),
        Topic::Placement(args) => placement::run(args),
        Topic::Rollout(args) => rollout::run(args),
        Topic::Routing(args) => routing::run(args),
    }
}
