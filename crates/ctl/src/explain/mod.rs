//! `carobctl explain`: a request's way through the instances, from their logs.

mod timeline;

use crate::options::{print_line, EXIT_FAULTY_INPUT};
use std::{fs, path::PathBuf, process::ExitCode};

/// Exit code if no log knows the request.
const EXIT_UNKNOWN: u8 = 3;

/// Arguments of `carobctl explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The caller's identifier of its attempt.
    pub request: String,
    /// Files with the output of the instances.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Prints what the logs say of the request, in order.
pub fn run(args: &Args) -> ExitCode {
    let mut lines = Vec::new();
    for path in &args.logs {
        match fs::read(path) {
            Ok(bytes) => lines.extend(timeline::parse(&String::from_utf8_lossy(&bytes))),
            Err(err) => {
                eprintln!("carobctl: {}: {err}", path.display());
                return ExitCode::from(EXIT_FAULTY_INPUT);
            }
        }
    }
    let told = timeline::tell(lines, &args.request);
    if told.is_empty() {
        eprintln!(
            "carobctl: no line of request {}; lines_left_out may say why",
            args.request
        );
        return ExitCode::from(EXIT_UNKNOWN);
    }
    for line in told {
        print_line(line);
    }
    ExitCode::SUCCESS
}
