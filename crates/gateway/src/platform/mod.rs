//! The store, the live list and the directory as seen by one instance.

use crate::{decide, ring::Sender, settings::Settings};
use anyhow::Context as _;
use std::thread;
use tokio::runtime;
use tokio_util::sync::CancellationToken;

/// Starts the platform thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread or its event loop cannot be set up.
pub fn start(
    settings: &Settings,
    decide: Sender<decide::Event>,
    cancel: CancellationToken,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up the platform's event loop")?;
    let _ = (settings, decide);
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || event_loop.block_on(cancel.cancelled()))
        .context("cannot start the platform thread")
}
