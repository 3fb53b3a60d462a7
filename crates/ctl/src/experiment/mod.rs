//! Seeded experiments that compare the gateway's decisions with baselines and measure their cost.

pub mod gossip;
pub mod limits;
pub mod placement;
pub mod rollout;
pub mod routing;
pub mod trial;

use clap::Subcommand;

/// Arguments of `carobctl experiment`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Experiment to run.
    #[command(subcommand)]
    pub topic: Topic,
}

/// An experiment.
#[derive(Debug, Subcommand)]
pub enum Topic {
    /// Traffic, processor time and memory of membership, and propagation time of a revision.
    Gossip(gossip::Args),
    /// Wrongful refusals of the distributed limits, compared with a static split and a central
    /// counter.
    Limits(limits::Args),
    /// Processor time to place one request in a fleet of many engines.
    Placement(placement::Args),
    /// Right and wrong verdicts on bad and good versions, and the traffic sent to bad ones.
    Rollout(rollout::Args),
    /// Routing, admission and retries under load, compared with common baselines.
    Routing(routing::Args),
    /// Verdicts on versions in the short trials of the platform's rollouts.
    Trial(trial::Args),
}

/// Runs the selected experiment.
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
        Topic::Trial(args) => trial::run(args),
    }
}
