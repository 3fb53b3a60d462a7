//! Command line of the daemon.

mod edge;
mod serve;

use crate::settings::Settings;
use carobwheel_core::document::Fault;
use clap::{Parser, Subcommand};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// A multi-region inference gateway.
#[derive(Debug, Parser)]
#[command(name = "carobwheel", version)]
pub struct Options {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of the daemon.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve requests until SIGTERM; a second signal stops at once.
    Serve {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Serve requests on the platform, with the settings file that it provides, until SIGTERM.
    Edge {
        /// Settings file (JSON), instead of the one that the platform provides.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Only check the settings file and report every fault.
        #[arg(long)]
        check: bool,
    },
    /// Check a settings file and report every fault.
    Check {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
}

/// Exit code for an invalid command line or settings file.
pub const EXIT_FAULTY_INPUT: u8 = 2;
/// Exit code of an instance that could not start, or that a violated invariant has stopped.
pub const EXIT_NOT_STARTED: u8 = 1;
/// Exit code of an instance that stopped before all of its requests had ended.
pub const EXIT_REQUESTS_CUT: u8 = 3;

/// Runs the subcommand.
pub fn run(options: &Options) -> ExitCode {
    match &options.command {
        Command::Check { settings } => check(settings),
        Command::Edge { settings, check } => edge::run(settings.as_deref(), *check),
        Command::Serve { settings } => serve::run(settings),
    }
}

fn check(path: &Path) -> ExitCode {
    match Settings::read(path) {
        Ok(_) => {
            println!("{}: valid", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => report_faults(path, &faults),
    }
}

fn report_faults(path: &Path, faults: &[Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{}: {fault}", path.display());
    }
    ExitCode::from(EXIT_FAULTY_INPUT)
}
