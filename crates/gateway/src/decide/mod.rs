//! The thread that owns all decision state.
//!
//! Other threads send events through one bounded ring. The thread handles them one after the
//! other, so that no decision needs a lock and each one sees the whole state.

mod apply;
mod ask;
mod event;
mod settle;
mod state;

pub use event::{Ask, Ending, Event, Placed, RetryQuestion, Settlement, Target};

use crate::{
    in_force::Current,
    ring::{ring, Sender},
    settings::Identity,
};
use anyhow::Context as _;
use carobwheel_core::time::Clock;
use state::State;
use std::{sync::mpsc, thread, time::Duration};
use tokio_util::sync::CancellationToken;

/// Events that wait for the deciding thread at most.
pub const RING_EVENTS: usize = 16_384;
const TICK: Duration = Duration::from_millis(10);

/// Starts the deciding thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(
    identity: &Identity,
    clock: Clock,
    current: Current,
    cancel: CancellationToken,
) -> anyhow::Result<(Sender<Event>, thread::JoinHandle<()>)> {
    let (announce, announced) = mpsc::channel();
    let mut state = State::new(identity.clone(), clock, current);
    let thread = thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || {
            let (sender, mut receiver) = ring(RING_EVENTS, thread::current());
            if announce.send(sender).is_err() {
                return;
            }
            while !cancel.is_cancelled() {
                while let Some(event) = receiver.try_recv() {
                    state.handle(event);
                }
                state.tick();
                receiver.park(TICK);
            }
        })
        .context("cannot start the deciding thread")?;
    let sender = announced
        .recv()
        .context("the deciding thread ended at its start")?;
    Ok((sender, thread))
}
