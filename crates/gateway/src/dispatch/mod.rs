//! Calls to upstreams.
//!
//! One thread with its own event loop runs every exchange. Calls arrive through a bounded ring;
//! each answer is returned as a head and a bounded queue of chunks, so that a slow caller slows
//! down its upstream instead of filling memory.

mod call;
mod client;
mod exchange;
mod upload;

pub use call::{AnswerHead, ExchangeError, UpstreamCall};

use crate::ring::{async_ring, Sender};
use anyhow::Context as _;
use carobwheel_core::time::Clock;
use client::Clients;
use std::thread;
use tokio::{runtime, task};
use tokio_util::sync::CancellationToken;

/// Maximum number of calls that wait for the dispatch thread.
pub const MAX_QUEUED_CALLS: usize = 8_192;

/// Starts the dispatch thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread, its event loop or its HTTP clients cannot be set up.
pub fn start(
    clock: Clock,
    cancel: CancellationToken,
) -> anyhow::Result<(Sender<UpstreamCall>, thread::JoinHandle<()>)> {
    let (sender, mut receiver) = async_ring::<UpstreamCall>(MAX_QUEUED_CALLS);
    let clients = Clients::new()?;
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot set up the event loop of the dispatch thread")?;
    let thread = thread::Builder::new()
        .name("dispatch".to_owned())
        .spawn(move || {
            let local = task::LocalSet::new();
            local.block_on(&event_loop, async move {
                loop {
                    let call = tokio::select! {
                        call = receiver.recv() => call,
                        () = cancel.cancelled() => return,
                    };
                    task::spawn_local(exchange::run(clients.clone(), clock, call));
                }
            });
        })
        .context("cannot start the dispatch thread")?;
    Ok((sender, thread))
}
