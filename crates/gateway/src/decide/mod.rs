//! Decision thread, which owns all decision state.
//!
//! Other threads send events through one bounded ring. The thread handles them sequentially, so
//! that no decision needs a lock and each one is made on the complete state.

mod apply;
mod charge;
mod crash;
mod event;
mod forward;
mod gossip;
mod leaving;
mod limits;
mod membership;
mod outputs;
mod place;
mod restart;
mod rollouts;
mod settle;
mod slots;
mod state;
mod status;

pub use crash::CrashStatus;
pub use event::{
    Assignment, AttemptOutcome, Event, LiveListRead, NextHop, PlacementDecision, PlacementRequest,
    PlacementTarget, RetryRequest, Settlement, SlotsRead,
};
pub use outputs::Outputs;

use crate::{ring::Receiver, settings::Settings};
use anyhow::Context as _;
use carobwheel_core::time::Clock;
use state::State;
use std::{thread, time::Duration};
use tokio_util::sync::CancellationToken;

/// Maximum number of events queued for the decision thread.
pub const EVENT_RING_CAPACITY: usize = 16_384;
const TICK: Duration = Duration::from_millis(10);

/// Starts the decision thread, which ends when `cancel` is cancelled.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start(
    settings: &Settings,
    incarnation: u64,
    clock: Clock,
    mut events: Receiver<Event>,
    outputs: Outputs,
    cancel: CancellationToken,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let mut state = State::new(settings, incarnation, clock, outputs);
    thread::Builder::new()
        .name("decide".to_owned())
        .spawn(move || {
            events.attach();
            while !cancel.is_cancelled() {
                while let Some(event) = events.try_recv() {
                    state.handle(event);
                }
                state.tick();
                events.park(TICK);
            }
        })
        .context("cannot start the decision thread")
}
