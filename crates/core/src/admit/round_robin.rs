//! Deficit round robin between the accounts of one class.

use super::queue::{AccountQueue, QueuedRequest};
use super::Dequeued;
use crate::id::AccountId;
use crate::time::Millis;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Maximum number of accounts whose first request may fail to be placed in one call of
/// [`ClassQueues::dequeue`]; bounds the work of the call.
const MAX_BLOCKED_ACCOUNTS: usize = 32;

type AccountKey = Option<AccountId>;

/// Account queues of one class, served by deficit round robin.
///
/// Every account with waiting requests has a deficit: the tokens that it may place. If no deficit
/// covers a first request, all deficits grow by the number of rounds that the account closest to
/// placement needs. A deficit is capped at the cost of the first request plus one round's share,
/// which bounds how far the service of two constantly waiting accounts can diverge.
#[derive(Debug)]
pub(super) struct ClassQueues<T> {
    pub(super) queues: BTreeMap<AccountKey, AccountQueue<T>>,
    /// Accounts with waiting requests, in the order of service.
    rotation: VecDeque<AccountKey>,
}

impl<T> Default for ClassQueues<T> {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            rotation: VecDeque::new(),
        }
    }
}

impl<T> ClassQueues<T> {
    pub(super) fn push(&mut self, entry: QueuedRequest<T>, quantum_tokens: u64) {
        let key = entry.account.clone();
        let queue = self
            .queues
            .entry(key.clone())
            .or_insert_with(AccountQueue::new);
        if queue.entries.is_empty() {
            self.rotation.push_back(key);
        }
        queue.weight = entry.weight.max(1);
        queue.entries.push_back(entry);
        queue.clamp_deficit(quantum_tokens);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.rotation.is_empty()
    }

    pub(super) fn queue_len(&self, account: &AccountKey) -> usize {
        let queue = self.queues.get(account);
        queue.map_or(0, |queue| queue.entries.len())
    }

    pub(super) fn waiting_tokens(&self, account: &AccountKey) -> u64 {
        self.queues
            .get(account)
            .map_or(0, AccountQueue::waiting_tokens)
    }

    /// Number of requests placed before a new one of `account`: its own waiting requests, and those
    /// that the other accounts place meanwhile by their weights, limited to the waiting ones.
    pub(super) fn requests_ahead(&self, account: &AccountKey, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let own = self.queue_len(account) as u64;
        let share = |queue: &AccountQueue<T>| {
            let placed = (own + 1) * u64::from(queue.weight) / weight;
            placed.min(queue.entries.len() as u64)
        };
        let others = self.queues.iter().filter(|(key, _)| *key != account);
        own + others.map(|(_, queue)| share(queue)).sum::<u64>()
    }

    /// Removes and returns the next request that is placed or no longer allowed.
    ///
    /// Rounds are granted to all accounts, including those whose request could not be placed, and
    /// only once a request is placed: a call without a placement changes no deficit.
    pub(super) fn dequeue<P>(
        &mut self,
        quantum_tokens: u64,
        is_still_allowed: &mut impl FnMut(&QueuedRequest<T>) -> bool,
        try_place: &mut impl FnMut(&QueuedRequest<T>) -> Option<P>,
    ) -> Option<Dequeued<T, P>> {
        let mut blocked = HashSet::new();
        let mut rounds = 0;
        loop {
            for _ in 0..self.rotation.len() {
                let key = self.rotation.front()?.clone();
                let queue = self.queues.get(&key)?;
                let entry = queue.entries.front()?;
                if queue.rounds_needed(quantum_tokens) > rounds || blocked.contains(&key) {
                    self.rotation.rotate_left(1);
                    continue;
                }
                if !is_still_allowed(entry) {
                    let entry = self.pop(&key, quantum_tokens)?;
                    return Some(Dequeued::Withdrawn(entry));
                }
                if let Some(place) = try_place(entry) {
                    self.add_rounds(quantum_tokens, rounds);
                    self.deduct_head_cost(&key, quantum_tokens);
                    let entry = self.pop(&key, quantum_tokens)?;
                    return Some(Dequeued::Placed(entry, place));
                }
                blocked.insert(key);
                self.rotation.rotate_left(1);
                if blocked.len() >= MAX_BLOCKED_ACCOUNTS {
                    return None;
                }
            }
            rounds = self.next_rounds(quantum_tokens, &blocked)?;
        }
    }

    /// Minimum number of rounds needed by an account that is not blocked.
    fn next_rounds(&self, quantum_tokens: u64, blocked: &HashSet<AccountKey>) -> Option<u64> {
        let queues = self.queues.iter();
        queues
            .filter(|(key, _)| !blocked.contains(*key))
            .map(|(_, queue)| queue.rounds_needed(quantum_tokens))
            .min()
    }

    /// Adds every account's share of `rounds` rounds to its deficit.
    fn add_rounds(&mut self, quantum_tokens: u64, rounds: u64) {
        for queue in self.queues.values_mut() {
            queue.assert_bounded(quantum_tokens);
            queue.deficit_tokens += rounds * quantum_tokens * u64::from(queue.weight);
            queue.clamp_deficit(quantum_tokens);
        }
    }

    /// Deducts the cost of an account's first request from its deficit.
    pub(super) fn deduct_head_cost(&mut self, key: &AccountKey, quantum_tokens: u64) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        queue.assert_bounded(quantum_tokens);
        let cost_tokens = queue.head_tokens().unwrap_or(0);
        assert!(
            queue.deficit_tokens >= cost_tokens,
            "placed request exceeds the account's deficit"
        );
        queue.deficit_tokens -= cost_tokens;
    }

    fn pop(&mut self, key: &AccountKey, quantum_tokens: u64) -> Option<QueuedRequest<T>> {
        let queue = self.queues.get_mut(key)?;
        let entry = queue.entries.pop_front();
        self.restore_bounds(key, quantum_tokens);
        entry
    }

    /// Restores the bounds of an account's queue after requests were removed. An empty queue is
    /// dropped with its deficit.
    fn restore_bounds(&mut self, key: &AccountKey, quantum_tokens: u64) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        if queue.entries.is_empty() {
            self.queues.remove(key);
            self.rotation.retain(|other| other != key);
            return;
        }
        queue.clamp_deficit(quantum_tokens);
    }

    /// Removes and returns all requests that match, in order of account and arrival.
    pub(super) fn remove_where(
        &mut self,
        quantum_tokens: u64,
        matches: &mut impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        let keys: Vec<_> = self.queues.keys().cloned().collect();
        for key in keys {
            let Some(queue) = self.queues.get_mut(&key) else {
                continue;
            };
            if !queue.entries.iter().any(&mut *matches) {
                continue;
            }
            let entries = std::mem::take(&mut queue.entries);
            let (matching, kept): (Vec<_>, _) = entries.into_iter().partition(&mut *matches);
            queue.entries = kept.into();
            removed.extend(matching);
            self.restore_bounds(&key, quantum_tokens);
        }
        removed
    }

    /// Removes and returns all requests whose deadline has passed.
    pub(super) fn expire(&mut self, quantum_tokens: u64, now: Millis) -> Vec<QueuedRequest<T>> {
        self.remove_where(quantum_tokens, &mut |entry| entry.deadline <= now)
    }
}
