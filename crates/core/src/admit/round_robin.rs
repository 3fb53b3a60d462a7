//! Deficit round robin between the accounts of one class.

use super::queue::{AccountQueue, QueuedRequest};
use super::Dequeued;
use crate::id::AccountId;
use crate::time::Millis;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Accounts whose first request may fail to find a place in one pick, which bounds its work.
const MAX_BLOCKED_ACCOUNTS: usize = 32;

type AccountKey = Option<AccountId>;

/// The queues of one class.
///
/// Every account with waiting requests has a deficit, the tokens that it may place. When no deficit
/// covers a first request, all grow by as many rounds as the nearest one needs. A deficit stays
/// below the cost of the first request and one round's share, so two accounts that wait all the
/// time never drift further apart than that.
#[derive(Debug)]
pub(super) struct ClassQueues<T> {
    pub(super) queues: BTreeMap<AccountKey, AccountQueue<T>>,
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

    /// Requests placed before a further one of `account`: its own, and what others place meanwhile
    /// by their weights, but no more than are waiting.
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

    /// The next request that is withdrawn or finds a place.
    ///
    /// Rounds are given to all accounts, those without a place too, and only once a request is
    /// placed: a pick in vain changes no account's share.
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

    /// Rounds that the nearest of the accounts that are not blocked needs.
    fn next_rounds(&self, quantum_tokens: u64, blocked: &HashSet<AccountKey>) -> Option<u64> {
        let queues = self.queues.iter();
        queues
            .filter(|(key, _)| !blocked.contains(*key))
            .map(|(_, queue)| queue.rounds_needed(quantum_tokens))
            .min()
    }

    /// Gives every account its share of `rounds` rounds.
    fn add_rounds(&mut self, quantum_tokens: u64, rounds: u64) {
        for queue in self.queues.values_mut() {
            queue.assert_bounded(quantum_tokens);
            queue.deficit_tokens += rounds * quantum_tokens * u64::from(queue.weight);
            queue.clamp_deficit(quantum_tokens);
        }
    }

    pub(super) fn deduct_head_cost(&mut self, key: &AccountKey, quantum_tokens: u64) {
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        queue.assert_bounded(quantum_tokens);
        let cost_tokens = queue.head_tokens().unwrap_or(0);
        assert!(
            queue.deficit_tokens >= cost_tokens,
            "placed more tokens than the account's share"
        );
        queue.deficit_tokens -= cost_tokens;
    }

    fn pop(&mut self, key: &AccountKey, quantum_tokens: u64) -> Option<QueuedRequest<T>> {
        let queue = self.queues.get_mut(key)?;
        let entry = queue.entries.pop_front();
        self.restore_bounds(key, quantum_tokens);
        entry
    }

    /// Restores the bounds of an account's queue after its first requests went: an empty queue
    /// saves up nothing.
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

    /// Takes out all requests that match, in order of accounts and arrival.
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

    /// Takes out all requests whose deadline has passed.
    pub(super) fn expire(&mut self, quantum_tokens: u64, now: Millis) -> Vec<QueuedRequest<T>> {
        self.remove_where(quantum_tokens, &mut |entry| entry.deadline <= now)
    }
}
