//! `carobwheel edge`: runs one instance on the platform until it receives a signal to stop.

use super::{EXIT_FAULTY_INPUT, EXIT_NOT_STARTED, EXIT_REQUESTS_CUT};
use carobwheel_edge::settings::Settings;
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Runs the instance that the settings file describes, or only checks the file if `is_check`.
pub(super) fn run(settings: Option<&Path>, is_check: bool) -> ExitCode {
    let Some(path) = settings
        .map(PathBuf::from)
        .or_else(carobwheel_platform::settings_path)
    else {
        eprintln!("carobwheel: no settings file given; see --settings");
        return ExitCode::from(EXIT_FAULTY_INPUT);
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(err) => {
            for fault in &err.0 {
                eprintln!("{}: {fault}", path.display());
            }
            return ExitCode::from(EXIT_FAULTY_INPUT);
        }
    };
    if is_check {
        println!("{}: valid", path.display());
        return ExitCode::SUCCESS;
    }
    match carobwheel_platform::run(settings, path) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut_requests) => {
            eprintln!("{cut_requests} requests were cut");
            ExitCode::from(EXIT_REQUESTS_CUT)
        }
        Err(err) => {
            eprintln!("carobwheel: {err:#}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}
