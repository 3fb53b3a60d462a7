//! A body that is being received.

use super::{Guard, MemoryBudget};
use carobwheel_core::memory::{BodyId, Owner, Shortage};
use std::{rc::Rc, time::Duration};
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;

/// Longest wait for memory that other requests release.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Interval at which a body that waits for memory tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bodies that wait for memory. Each attempt looks at all bodies that are being
/// received, which an instance with a tenth of a core cannot do for hundreds of them.
const MAX_WAITING: usize = 16;

/// Body that is being received. Its bytes are released when it is dropped, unless it is finished.
#[derive(Debug)]
pub struct ArrivingBody {
    budget: Rc<MemoryBudget>,
    id: BodyId,
    owner: Owner,
    given_up: CancellationToken,
}

impl ArrivingBody {
    pub(super) fn new(
        budget: Rc<MemoryBudget>,
        id: BodyId,
        owner: Owner,
        given_up: CancellationToken,
    ) -> Self {
        Self {
            budget,
            id,
            owner,
            given_up,
        }
    }

    /// Reserves `bytes` more. Gives up stalled bodies of others if there is too little, and waits a
    /// moment for what is released.
    ///
    /// # Errors
    ///
    /// Fails if there is still too little.
    pub async fn grow(&self, bytes: usize) -> Result<(), Shortage> {
        let until = Instant::now() + MAX_WAIT;
        let waiting = Rc::clone(&self.budget.waiting);
        loop {
            let now = self.budget.clock.now();
            let grown = self
                .budget
                .account
                .borrow_mut()
                .grow_body(self.id, bytes, now);
            let Err(shortage) = grown else {
                return Ok(());
            };
            self.budget.give_up_body(shortage, &self.owner);
            if Instant::now() >= until || Rc::strong_count(&waiting) > MAX_WAITING + 1 {
                return Err(shortage);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Records that bytes have arrived.
    pub fn progress(&self, bytes: usize) {
        let now = self.budget.clock.now();
        let mut account = self.budget.account.borrow_mut();
        account.body_progress(self.id, bytes, now);
    }

    /// Waits until the body is given up for the sake of another one.
    pub async fn given_up(&self) {
        self.given_up.cancelled().await;
    }

    /// Ends the reception. The bytes stay reserved until the guard is dropped.
    pub fn finish(self) -> Option<Guard> {
        let reservation = self.budget.account.borrow_mut().close_body(self.id)?;
        Some(Guard::new(Rc::clone(&self.budget.account), reservation))
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.budget.give_up_tokens.borrow_mut().remove(&self.id);
        let mut account = self.budget.account.borrow_mut();
        if let Some(reservation) = account.close_body(self.id) {
            account.release(reservation);
        }
    }
}
