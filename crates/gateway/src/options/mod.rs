//! The command line of the daemon.

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
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the daemon is asked to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve requests until SIGTERM; a second signal ends at once.
    Serve {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
    /// Serve requests on the platform, with the settings file that it names, until SIGTERM.
    Edge {
        /// Settings file (JSON), in place of the one that the platform names.
        #[arg(long)]
        settings: Option<PathBuf>,
        /// Only check the settings file and name every fault.
        #[arg(long)]
        check: bool,
    },
    /// Check a settings file and name every fault.
    Check {
        /// Settings file (JSON).
        #[arg(long)]
        settings: PathBuf,
    },
}

/// Exit code of a faulty command line or settings file.
pub const EXIT_FAULTY_INPUT: u8 = 2;
/// Exit code of an instance that could not start, or that a broken invariant has stopped.
pub const EXIT_NOT_STARTED: u8 = 1;
/// Exit code of an instance that stopped before its requests had ended.
pub const EXIT_REQUESTS_CUT: u8 = 3;

/// Runs the command.
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
