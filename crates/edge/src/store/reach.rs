//! Whether the store answers, and which waiting calls may have lost their answers.
//!
//! A store that falls silent answers later calls, but never those that reached it meanwhile. A call
//! of a few seconds notices that; a watch would wait until its own timeout. Therefore a lost answer
//! of any call puts all waiting watches in doubt.

use super::{task::Context, StoreError, StoreEvent};
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

/// Minimum interval between two times at which all waiting watches are made again. Bounds the calls
/// to a store that loses a few answers all the time.
const MIN_DOUBT_INTERVAL: Duration = Duration::from_secs(1);

/// Reachability of the store as seen by the calls of this instance.
#[derive(Default)]
pub(super) struct Reach {
    /// Whether the last call of any kind failed.
    is_lost: AtomicBool,
    /// Whether a call got no answer since the waiting watches were last put in doubt.
    has_lost_answer: AtomicBool,
    /// Time at which the waiting watches were last put in doubt, since the store answered again after
    /// lost answers.
    doubted_at: watch::Sender<Option<Instant>>,
}

/// Receiver of the news that answers were lost.
pub(crate) struct LostAnswers(watch::Receiver<Option<Instant>>);

impl LostAnswers {
    /// Ignores what was noticed before this call.
    pub(crate) fn forget(&mut self) {
        self.0.mark_unchanged();
    }

    /// Waits until the store answers again after answers were lost.
    pub(crate) async fn noticed(&mut self) {
        if self.0.changed().await.is_err() {
            // The sender is dropped only at shutdown.
            std::future::pending().await
        }
    }
}

impl Reach {
    /// Subscribes to lost answers.
    pub(super) fn lost_answers(&self) -> LostAnswers {
        LostAnswers(self.doubted_at.subscribe())
    }

    /// Puts all waiting watches in doubt if answers were lost, since the store answers again.
    fn end_lost_answers(&self) {
        if !self.has_lost_answer.load(Ordering::Relaxed) {
            return;
        }
        let now = Instant::now();
        let doubted_at = *self.doubted_at.borrow();
        if doubted_at.is_some_and(|at| now.duration_since(at) < MIN_DOUBT_INTERVAL) {
            return;
        }
        self.has_lost_answer.store(false, Ordering::Relaxed);
        self.doubted_at.send_replace(Some(now));
    }
}

impl Context {
    /// Sends an event to the instance.
    pub(super) async fn send(&self, event: StoreEvent) {
        // The receiver is dropped only at shutdown.
        let _ = self.events.send(event).await;
    }

    /// Records a successful call; reports the recovery after an outage.
    pub(super) async fn reachable(&self) {
        if self.reach.is_lost.swap(false, Ordering::Relaxed) {
            self.send(StoreEvent::Recovered).await;
        }
        self.reach.end_lost_answers();
    }

    /// Records a failed call; reports the start of an outage.
    pub(super) async fn unreachable(&self, err: &StoreError) {
        if matches!(err, StoreError::NoAnswer(_)) {
            self.reach.has_lost_answer.store(true, Ordering::Relaxed);
        }
        if !self.reach.is_lost.swap(true, Ordering::Relaxed) {
            self.send(StoreEvent::Lost(err.to_string())).await;
        }
    }
}
