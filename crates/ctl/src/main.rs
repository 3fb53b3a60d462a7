//! Entry point of `carobctl`.

use carobwheel_ctl::options::{self, Options};
use clap::Parser as _;
use std::process::ExitCode;

fn main() -> ExitCode {
    // Some feature sets link two TLS providers, and rustls then cannot choose a default by itself.
    if rustls::crypto::ring::default_provider()
        .install_default()
        .is_err()
    {
        eprintln!("carobctl: a TLS provider is already installed");
    }
    options::run(Options::parse())
}
