//! Entry point of the carobwheel daemon.

use carobwheel_gateway::options::{self, Options};
use clap::Parser as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Some feature sets link two TLS providers, so one has to be selected explicitly.
    let provider = rustls::crypto::ring::default_provider();
    provider
        .install_default()
        .expect("no TLS provider has been installed yet");
    options::run(&Options::parse())
}
