//! `carobctl explain`: the path of a request through the instances, from their logs.

mod timeline;

use crate::options::{print_line, EXIT_FAULTY_INPUT};
use std::{fs, path::PathBuf, process::ExitCode};

/// Exit code if no log line names the request.
const EXIT_REQUEST_NOT_FOUND: u8 = 3;

/// Arguments of `carobctl explain`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Attempt ID that the caller sent with the request.
    pub request: String,
    /// Log files of the instances.
    #[arg(required = true)]
    pub logs: Vec<PathBuf>,
}

/// Prints the log lines that concern the request, in order of time.
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
    let timeline = timeline::of_request(lines, &args.request);
    if timeline.is_empty() {
        eprintln!(
            "carobctl: no log line names request {}; an instance may have dropped lines, see its lines_left_out events",
            args.request
        );
        return ExitCode::from(EXIT_REQUEST_NOT_FOUND);
    }
    for line in timeline {
        print_line(line);
    }
    ExitCode::SUCCESS
}
