//! Runs the measurement of limits on its own.

use clap::Parser;

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    args: carobwheel_ctl::experiment::limits::Args,
}

fn main() -> anyhow::Result<()> {
    carobwheel_ctl::experiment::limits::run(Cli::parse().args)
}
