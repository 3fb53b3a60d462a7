//! Entry point of the daemon.

use carobwheel_gateway::options::{self, Options};
use clap::Parser as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Two providers are linked by some sets of features, so one is chosen here.
    let provider = rustls::crypto::ring::default_provider();
    provider
        .install_default()
        .expect("no TLS provider was installed before");
    options::run(&Options::parse())
}
