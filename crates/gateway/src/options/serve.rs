//! `carobwheel serve`: runs one instance until it receives a signal to stop.

use super::{report_faults, EXIT_NOT_STARTED, EXIT_REQUESTS_CUT};
use crate::{
    daemon::{self, Daemon},
    peers::TlsMaterial,
    report,
    settings::Settings,
};
use anyhow::{ensure, Context as _};
use carobwheel_core::document::Fault;
use std::{path::Path, process::ExitCode, thread, time::Duration};
use tokio::{
    runtime,
    signal::unix::{signal, SignalKind},
    sync::oneshot,
    time,
};

/// Interval at which the daemon's threads are checked.
const THREAD_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the instance that the file at `path` describes.
pub(super) fn run(path: &Path) -> ExitCode {
    let (settings, tls) = match read(path) {
        Ok(read) => read,
        Err(faults) => return report_faults(path, &faults),
    };
    report::start_logs(&settings.log_level);
    match serve(&settings, tls) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(cut_requests) => {
            eprintln!("{cut_requests} requests were cut");
            ExitCode::from(EXIT_REQUESTS_CUT)
        }
        Err(err) => {
            log::error!("{err:#}");
            eprintln!("carobwheel: {err:#}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn read(path: &Path) -> Result<(Settings, Option<TlsMaterial>), Vec<Fault>> {
    let settings = Settings::read(path)?;
    let tls = match &settings.peers {
        Some(peers) => Some(peers.read_tls()?),
        None => None,
    };
    Ok((settings, tls))
}

/// Serves until the first signal to stop, then drains. Returns the number of requests that were
/// cut off.
fn serve(settings: &Settings, tls: Option<TlsMaterial>) -> anyhow::Result<usize> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up the signal handler")?;
    event_loop.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let daemon = daemon::start(settings, tls)?;
        let mut thread_check = time::interval(THREAD_CHECK_INTERVAL);
        loop {
            tokio::select! {
                // Without one of its threads the instance would look alive but could not serve.
                _ = thread_check.tick() => ensure!(!daemon.is_broken(), "a thread exited unexpectedly"),
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => reload_tls(settings, &daemon),
            }
        }
        log::info!("stopping: draining requests; a second signal stops at once");
        let in_flight = daemon.in_flight();
        let (sender, drained) = oneshot::channel();
        thread::spawn(move || sender.send(daemon.stop()));
        tokio::select! {
            cut_requests = drained => cut_requests.context("the daemon panicked while it stopped"),
            _ = terminate.recv() => Ok(in_flight.count()),
            _ = interrupt.recv() => Ok(in_flight.count()),
        }
    })
}

/// Reloads the TLS files and uses them for new links.
fn reload_tls(settings: &Settings, daemon: &Daemon) {
    let (Some(peers), Some(handle)) = (&settings.peers, daemon.peers()) else {
        log::info!("no links to other instances, so no certificate to reload");
        return;
    };
    match peers.read_tls() {
        Ok(material) => match handle.reload(&material) {
            Ok(()) => log::info!("new links use the new certificate"),
            Err(err) => log::error!("certificate not reloaded: {err}"),
        },
        Err(faults) => {
            for fault in faults {
                log::error!("certificate not reloaded: {fault}");
            }
        }
    }
}
