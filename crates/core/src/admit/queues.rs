//! Admission queues of one instance.

use super::queue::QueuedRequest;
use super::round_robin::ClassQueues;
use super::{AdmissionSettings, EnqueueError};
use crate::id::AccountId;
use crate::time::Millis;
use std::collections::BTreeMap;

/// A request that has left its queue, with the reason.
#[derive(Debug)]
pub enum Dequeued<T, P> {
    /// The request has been placed.
    Placed(QueuedRequest<T>, P),
    /// The request must not run, because its key was withdrawn.
    Withdrawn(QueuedRequest<T>),
}

/// Admission queues of one instance, by class and account. Owned by the decision thread.
#[derive(Debug)]
pub struct AdmissionQueues<T> {
    settings: AdmissionSettings,
    pub(super) classes: BTreeMap<u8, ClassQueues<T>>,
    pub(super) len: usize,
    dequeue_count: u64,
}

impl<T> AdmissionQueues<T> {
    /// Creates empty queues.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            classes: BTreeMap::new(),
            len: 0,
            dequeue_count: 0,
        }
    }

    /// Adds a request to its queue. `slot_wait_ms` is the predicted time until the next upstream
    /// slot is free, from [`crate::route::Refusal::Full`].
    ///
    /// # Errors
    ///
    /// Returns the request if its queue or the total is full, or if it would wait past its
    /// deadline.
    pub fn enqueue(
        &mut self,
        entry: QueuedRequest<T>,
        slot_wait_ms: u64,
        now: Millis,
    ) -> Result<(), (QueuedRequest<T>, EnqueueError)> {
        let wait_ms = self.predicted_wait_ms(&entry, slot_wait_ms);
        let queued = self.queue_len(entry.account.as_ref(), entry.priority);
        let is_full = queued >= self.settings.max_queue_requests;
        if is_full || self.len >= self.settings.max_requests {
            return Err((entry, EnqueueError::QueueFull { wait_ms }));
        }
        if wait_ms > entry.deadline.since(now) {
            return Err((entry, EnqueueError::WouldExpire { wait_ms }));
        }
        let class = self.classes.entry(entry.priority).or_default();
        class.push(entry, self.settings.quantum_tokens);
        self.len += 1;
        self.assert_bounded(queued + 1);
        Ok(())
    }

    pub(super) fn assert_bounded(&self, queued: usize) {
        assert!(
            queued <= self.settings.max_queue_requests && self.len <= self.settings.max_requests,
            "admission queue exceeds its bound"
        );
    }

    /// Predicted wait of `entry`: one slot wait for itself and for each request placed before it.
    fn predicted_wait_ms(&self, entry: &QueuedRequest<T>, slot_wait_ms: u64) -> u64 {
        let class = self.classes.get(&entry.priority);
        let ahead = class.map_or(0, |class| {
            class.requests_ahead(&entry.account, entry.weight)
        });
        slot_wait_ms.saturating_mul(ahead + 1)
    }

    /// Removes and returns the next request that is placed or no longer allowed, or `None` if no
    /// eligible request can be placed. Whenever a request ends or an upstream becomes available,
    /// the caller must call [`AdmissionQueues::expire`] and then this until it returns `None`.
    ///
    /// `is_still_allowed` is called right before an attempt to place a request. `try_place` returns
    /// the placement of a request, if there is one.
    pub fn dequeue<P>(
        &mut self,
        mut is_still_allowed: impl FnMut(&QueuedRequest<T>) -> bool,
        mut try_place: impl FnMut(&QueuedRequest<T>) -> Option<P>,
    ) -> Option<Dequeued<T, P>> {
        let quantum_tokens = self.settings.quantum_tokens;
        let mut priorities: Vec<u8> = self.classes.keys().copied().collect();
        if self.dequeue_count % self.settings.reverse_every == self.settings.reverse_every - 1 {
            priorities.reverse();
        }
        for priority in priorities {
            let class = self.classes.get_mut(&priority)?;
            let next = class.dequeue(quantum_tokens, &mut is_still_allowed, &mut try_place);
            if let Some(next) = next {
                self.len -= 1;
                self.dequeue_count += 1;
                return Some(next);
            }
        }
        None
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<QueuedRequest<T>> {
        let quantum_tokens = self.settings.quantum_tokens;
        let classes = self.classes.values_mut();
        let expired: Vec<_> = classes
            .flat_map(|class| class.expire(quantum_tokens, now))
            .collect();
        self.len -= expired.len();
        expired
    }

    /// Removes and returns the requests that match, such as one whose caller has disconnected.
    pub fn remove_where(
        &mut self,
        mut matches: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let quantum_tokens = self.settings.quantum_tokens;
        let classes = self.classes.values_mut();
        let removed: Vec<_> = classes
            .flat_map(|class| class.remove_where(quantum_tokens, &mut matches))
            .collect();
        self.len -= removed.len();
        removed
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether requests of this priority or a more urgent one are waiting. A new request must then
    /// be queued even if it could be placed, or it would overtake them.
    pub fn has_waiting(&self, priority: u8) -> bool {
        let classes = self.classes.range(..=priority);
        classes.into_iter().any(|(_, class)| !class.is_empty())
    }

    /// Number of waiting requests of one account and class.
    pub fn queue_len(&self, account: Option<&AccountId>, priority: u8) -> usize {
        let class = self.classes.get(&priority);
        class.map_or(0, |class| class.queue_len(&account.cloned()))
    }

    /// Total cost of the waiting requests of one account and class, in tokens.
    pub fn waiting_tokens(&self, account: Option<&AccountId>, priority: u8) -> u64 {
        let class = self.classes.get(&priority);
        class.map_or(0, |class| class.waiting_tokens(&account.cloned()))
    }
}
