//! The store, the live list and the directory as seen by one instance.
//!
//! One thread with an event loop of its own. What it learns goes to the deciding thread as events.

mod document;

pub use document::DOCUMENT_KEY;

use crate::{
    decide,
    ring::Sender,
    settings::Settings,
    store::{StoreClient, StoreClientOptions},
};
use anyhow::Context as _;
use std::thread;
use tokio::runtime;
use tokio_util::sync::CancellationToken;

/// Longest silence of a watch before it moves to a new connection, in milliseconds.
const WATCH_IDLE_MS: u64 = 4_000;

/// A client of the store that `settings` name, for the process `incarnation` of this instance.
///
/// # Errors
///
/// Fails if the HTTP client cannot be set up.
pub fn store_client(settings: &Settings, incarnation: u64) -> anyhow::Result<StoreClient> {
    let writer = format!("{}.{incarnation:x}", settings.instance.id);
    let options = StoreClientOptions {
        attempt_deadline_ms: settings.store.timeout_ms,
        idle_deadline_ms: WATCH_IDLE_MS,
        ..StoreClientOptions::new(&settings.store.url, writer)
    };
    StoreClient::new(options).context("cannot set up the store client")
}

/// Starts the platform thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread or its event loop cannot be set up.
pub fn start(
    store: StoreClient,
    decide: Sender<decide::Event>,
    cancel: CancellationToken,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up the platform's event loop")?;
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || {
            event_loop.block_on(async {
                tokio::select! {
                    () = document::follow(&store, &decide) => {}
                    () = cancel.cancelled() => {}
                }
            });
        })
        .context("cannot start the platform thread")
}
