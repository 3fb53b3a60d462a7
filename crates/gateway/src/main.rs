//! Entry point of the daemon.

use carobwheel_gateway::options::{self, Options};
use clap::Parser as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    options::run(&Options::parse())
}
