//! `carobwheel serve`: runs one instance until it is told to stop.

use super::{faulty, EXIT_CUT, EXIT_NOT_STARTED};
use crate::{daemon, report, settings::Settings};
use anyhow::Context as _;
use std::{path::Path, process::ExitCode, thread};
use tokio::{
    runtime,
    signal::unix::{signal, SignalKind},
};

/// Runs the instance that the file at `path` describes.
pub(super) fn run(path: &Path) -> ExitCode {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(faults) => return faulty(path, &faults),
    };
    report::start_logs(&settings.log_level);
    match serve(&settings) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut) => {
            eprintln!("{cut} requests were cut");
            ExitCode::from(EXIT_CUT)
        }
        Err(err) => {
            eprintln!("carobwheel: {err:#}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

/// Serves until the first signal, then drains. Returns the number of requests that were cut.
fn serve(settings: &Settings) -> anyhow::Result<usize> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up the signal handler")?;
    event_loop.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = daemon::start(settings)?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("stopping: draining requests; a second signal stops at once");
        let in_flight = daemon.in_flight();
        let (announce, drained) = tokio::sync::oneshot::channel();
        thread::spawn(move || announce.send(daemon.stop()));
        tokio::select! {
            cut = drained => cut.context("the daemon panicked while it stopped"),
            _ = terminate.recv() => Ok(in_flight.count()),
            _ = interrupt.recv() => Ok(in_flight.count()),
        }
    })
}
