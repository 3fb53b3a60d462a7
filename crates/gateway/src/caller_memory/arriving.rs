//! A body that is being received.

use super::{CallerMemory, Guard};
use crate::front::DropReason;
use carobwheel_core::memory::{BodyId, MemoryGuard, Owner};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;

/// Longest time for which a body waits for memory. A body that is given up for it ends within
/// milliseconds.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Interval at which a body that waits for memory tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The body was given up for others that made progress, or found no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp;

/// Body that is being received. Dropping it releases its memory.
pub struct ArrivingBody {
    memory: Arc<CallerMemory>,
    id: BodyId,
    owner: Owner,
    given_up: CancellationToken,
}

impl CallerMemory {
    /// Begins a body, with nothing reserved for it yet.
    pub fn open_body(self: &Arc<Self>, owner: Owner) -> ArrivingBody {
        let now = self.clock.now();
        let id = self.with(|account| account.open_body(&owner, now));
        let given_up = CancellationToken::new();
        self.give_up_tokens().insert(id, given_up.clone());
        ArrivingBody {
            memory: Arc::clone(self),
            id,
            owner,
            given_up,
        }
    }
}

impl ArrivingBody {
    /// Reserves `bytes` more. If there is too little memory, the body with the least recent
    /// progress is given up for this one, which waits for a while.
    ///
    /// # Errors
    ///
    /// Fails if there is still too little memory after that.
    pub async fn grow(&self, bytes: usize) -> Result<(), GivenUp> {
        let began = Instant::now();
        loop {
            let now = self.memory.clock.now();
            let grown = self.memory.with(|account| {
                let grown = account.grow_body(self.id, bytes, now);
                grown.map_err(|shortage| account.body_to_give_up(shortage, &self.owner, now))
            });
            let Err(other) = grown else {
                return Ok(());
            };
            if let Some(other) = other {
                self.give_up(other);
            }
            if began.elapsed() >= MAX_WAIT || self.given_up.is_cancelled() {
                self.memory.drops.add(DropReason::Memory);
                return Err(GivenUp);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    fn give_up(&self, other: BodyId) {
        if let Some(token) = self.memory.give_up_tokens().get(&other) {
            self.memory.drops.add(DropReason::GivenUp);
            token.cancel();
        }
    }

    /// Records that `bytes` have arrived.
    pub fn progress(&self, bytes: usize) {
        let now = self.memory.clock.now();
        self.memory
            .with(|account| account.body_progress(self.id, bytes, now));
    }

    /// Waits until the body is given up for another one.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Ends the reception; the memory stays reserved for the complete body. `None` if the body was
    /// given up meanwhile.
    pub fn finish(self) -> Option<Guard> {
        let reservation = self.memory.with(|account| account.close_body(self.id))?;
        Some(MemoryGuard::new(
            Arc::clone(&self.memory.account),
            reservation,
        ))
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.memory.give_up_tokens().remove(&self.id);
        self.memory.with(|account| {
            if let Some(reservation) = account.close_body(self.id) {
                account.release(reservation);
            }
        });
    }
}
