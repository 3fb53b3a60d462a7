//! Command-line options and dispatch to the subcommands.

use crate::{config, demo, experiment, explain, key, load, place, status};
use clap::{CommandFactory as _, Parser, Subcommand};
use std::{
    future::Future,
    io::{self, Write as _},
    process::ExitCode,
};
use tokio::runtime;

/// Exit code for a failure that is not caused by invalid input.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid input.
pub const EXIT_FAULTY_INPUT: u8 = 2;
/// Exit code for a write rejected because another operator has changed the document.
pub const EXIT_CONFLICT: u8 = 4;

/// Operation and measurement tool for carobwheel.
#[derive(Debug, Parser)]
#[command(name = "carobctl", version)]
pub struct Options {
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of `carobctl`.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read, validate and publish the configuration document.
    Config(config::Args),
    /// Create and revoke API keys.
    Key(key::Args),
    /// Show the state of an instance and its view of the fleet.
    Status(status::Args),
    /// Send load to an instance and measure the responses.
    Load(load::Args),
    /// Show the path of a request through the instances, from their logs.
    Explain(explain::Args),
    /// Show where an instance would send a request now, and why, without sending it.
    Place(place::Args),
    /// Measure decisions against baselines in seeded runs.
    Experiment(experiment::Args),
    /// Run six instances and stand-ins for their dependencies in one process.
    Demo(demo::Args),
    /// Print a shell completion script.
    Completions {
        /// Shell to generate the script for.
        shell: clap_complete::Shell,
    },
}

/// Runs the selected subcommand.
pub fn run(options: Options) -> ExitCode {
    let result = match options.command {
        Command::Config(args) => run_async(config::run(args)),
        Command::Key(args) => run_async(key::run(args)),
        Command::Status(args) => run_async(status::run(args)),
        Command::Load(args) => run_async(load::run(args)),
        Command::Explain(args) => Ok(explain::run(&args)),
        Command::Place(args) => run_async(place::run(args)),
        Command::Experiment(args) => experiment::run(args).map(|()| ExitCode::SUCCESS),
        Command::Demo(args) => demo::run(&args).map(|()| ExitCode::SUCCESS),
        Command::Completions { shell } => {
            let mut command = Options::command();
            clap_complete::generate(shell, &mut command, "carobctl", &mut io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    };
    result.unwrap_or_else(|err| {
        eprintln!("carobctl: {err:#}");
        ExitCode::from(EXIT_FAILURE)
    })
}

/// Prints a line to standard output.
///
/// Write errors are ignored, so that a closed pipe, as with `head`, does not make the command fail.
pub fn print_line(line: impl std::fmt::Display) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
}

fn run_async(task: impl Future<Output = anyhow::Result<ExitCode>>) -> anyhow::Result<ExitCode> {
    runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(task)
}
