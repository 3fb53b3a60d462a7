//! Entry point of the tool.

use carobwheel_ctl::options::{self, Options};
use clap::Parser as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Two providers are linked by some sets of features, so one is chosen here.
    if rustls::crypto::ring::default_provider()
        .install_default()
        .is_err()
    {
        eprintln!("carobctl: a TLS provider was installed before");
    }
    options::run(Options::parse())
}
