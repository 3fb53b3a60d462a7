//! Queue of one account and class.

use crate::id::AccountId;
use crate::time::Millis;
use std::collections::VecDeque;

/// A request in an admission queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Account that the request is charged to. Absent on open routes, which share one queue.
    pub account: Option<AccountId>,
    /// Weight of the account in the round robin; at least 1.
    pub weight: u32,
    /// Priority of the class; 0 is the most urgent.
    pub priority: u8,
    /// Cost of the request, in prompt and output tokens.
    pub cost_tokens: u64,
    /// Time from which the request must no longer be placed.
    pub deadline: Millis,
    /// The caller's representation of the request.
    pub item: T,
}

/// Requests of one account and class, in order of arrival.
#[derive(Debug)]
pub(super) struct AccountQueue<T> {
    pub(super) entries: VecDeque<QueuedRequest<T>>,
    /// Tokens that the account may place without a further round.
    pub(super) deficit_tokens: u64,
    pub(super) weight: u32,
}

impl<T> AccountQueue<T> {
    pub(super) fn new() -> Self {
        Self {
            entries: VecDeque::new(),
            deficit_tokens: 0,
            weight: 1,
        }
    }

    pub(super) fn waiting_tokens(&self) -> u64 {
        self.entries.iter().map(|entry| entry.cost_tokens).sum()
    }

    pub(super) fn head_tokens(&self) -> Option<u64> {
        Some(self.entries.front()?.cost_tokens)
    }

    /// Number of rounds until the deficit covers the first request.
    pub(super) fn rounds_needed(&self, quantum_tokens: u64) -> u64 {
        let head_tokens = self.head_tokens().unwrap_or(0);
        let missing_tokens = head_tokens.saturating_sub(self.deficit_tokens);
        missing_tokens.div_ceil(quantum_tokens * u64::from(self.weight))
    }

    /// Caps the deficit at the first request's cost plus one round's share.
    pub(super) fn clamp_deficit(&mut self, quantum_tokens: u64) {
        let max_tokens = self.max_deficit_tokens(quantum_tokens);
        self.deficit_tokens = self.deficit_tokens.min(max_tokens);
    }

    pub(super) fn assert_bounded(&self, quantum_tokens: u64) {
        let max_tokens = self.max_deficit_tokens(quantum_tokens);
        assert!(
            self.deficit_tokens <= max_tokens,
            "a deficit of {} tokens exceeds {max_tokens}",
            self.deficit_tokens
        );
    }

    fn max_deficit_tokens(&self, quantum_tokens: u64) -> u64 {
        let share_tokens = quantum_tokens * u64::from(self.weight);
        self.head_tokens().unwrap_or(0) + share_tokens
    }
}
