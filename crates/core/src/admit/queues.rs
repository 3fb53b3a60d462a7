//! The queues of one instance.

use super::queue::QueuedRequest;
use super::round_robin::ClassQueues;
use super::{AdmissionSettings, EnqueueError};
use crate::id::AccountId;
use crate::time::Millis;
use std::collections::BTreeMap;

/// A request that leaves its queue.
#[derive(Debug)]
pub enum Dequeued<T, P> {
    /// It has found a place.
    Placed(QueuedRequest<T>, P),
    /// It may no longer run, because its key was withdrawn.
    Withdrawn(QueuedRequest<T>),
}

/// The queues of one instance, by class and account. Owned by the deciding thread.
#[derive(Debug)]
pub struct AdmissionQueues<T> {
    settings: AdmissionSettings,
    pub(super) classes: BTreeMap<u8, ClassQueues<T>>,
    pub(super) len: usize,
    dequeue_count: u64,
}

impl<T> AdmissionQueues<T> {
    /// Empty queues.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            classes: BTreeMap::new(),
            len: 0,
            dequeue_count: 0,
        }
    }

    /// Queues a request. `slot_wait_ms` is the predicted time until the next slot is free, as
    /// [`crate::route::Refusal::Full`] gives it.
    ///
    /// # Errors
    ///
    /// Gives the request back if its queue is full or if it would wait past its deadline.
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
            "a queue exceeds its bound"
        );
    }

    /// Time that `entry` would wait: a slot for each request that goes before it.
    fn predicted_wait_ms(&self, entry: &QueuedRequest<T>, slot_wait_ms: u64) -> u64 {
        let class = self.classes.get(&entry.priority);
        let ahead = class.map_or(0, |class| {
            class.requests_ahead(&entry.account, entry.weight)
        });
        slot_wait_ms.saturating_mul(ahead + 1)
    }

    /// The next request that leaves its queue: one that finds a place, or one that is no longer
    /// allowed. None if no request that is due can be placed. To be called until it gives none
    /// whenever work ends or an upstream comes back, after [`AdmissionQueues::expire`].
    ///
    /// `is_still_allowed` is asked of a request right before its placement, `try_place` gives its
    /// place or none.
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

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<QueuedRequest<T>> {
        let quantum_tokens = self.settings.quantum_tokens;
        let classes = self.classes.values_mut();
        let expired: Vec<_> = classes
            .flat_map(|class| class.expire(quantum_tokens, now))
            .collect();
        self.len -= expired.len();
        expired
    }

    /// Takes out the requests that match, such as one whose caller has left.
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

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether requests of this priority or a more urgent one wait. A new request then has to be
    /// queued even if it could be placed, or it would overtake them.
    pub fn has_waiting(&self, priority: u8) -> bool {
        let classes = self.classes.range(..=priority);
        classes.into_iter().any(|(_, class)| !class.is_empty())
    }

    /// Requests of one account and class waiting.
    pub fn queue_len(&self, account: Option<&AccountId>, priority: u8) -> usize {
        let class = self.classes.get(&priority);
        class.map_or(0, |class| class.queue_len(&account.cloned()))
    }

    /// Tokens of one account and class waiting.
    pub fn waiting_tokens(&self, account: Option<&AccountId>, priority: u8) -> u64 {
        let class = self.classes.get(&priority);
        class.map_or(0, |class| class.waiting_tokens(&account.cloned()))
    }
}
