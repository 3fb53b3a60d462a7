//! Parsed completion requests and the accounting of their progress.

use super::{crash::PromptCrash, Shared};
use crate::lock;

/// Parsed completion request.
pub(super) struct CompletionRequest {
    pub(super) is_chat: bool,
    pub(super) is_stream: bool,
    pub(super) wants_usage: bool,
    pub(super) id: String,
    /// Hash of the prompt, from which the answer is derived.
    pub(super) prompt_hash: u64,
    pub(super) prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, one per cache block.
    pub(super) prefix_hashes: Vec<u64>,
    /// Priority of the request; 0 is the most urgent.
    pub(super) priority: u8,
    /// Number of answer tokens that the caller already has.
    pub(super) resume_from_tokens: u64,
    /// Length of the complete answer, in tokens.
    pub(super) output_tokens: u64,
    pub(super) finish_reason: &'static str,
    /// Crash of the engine that the prompt causes.
    pub(super) crash: Option<PromptCrash>,
}

/// Accounts for a request in the load and the counts. Dropping it removes the request from the load
/// and counts it as cancelled unless it was marked as completed or failed.
pub(super) struct RequestTracker<'a> {
    shared: &'a Shared,
    is_waiting: bool,
    has_ended: bool,
    prompt_tokens: u64,
    remaining_tokens: u64,
}

impl<'a> RequestTracker<'a> {
    pub(super) fn new(shared: &'a Shared, completion: &CompletionRequest) -> Self {
        let remaining_tokens = completion.output_tokens - completion.resume_from_tokens;
        let prompt_tokens = completion.prompt_tokens;
        lock(&shared.load).update(shared.clock.now(), |load| {
            load.waiting += 1;
            load.waiting_prefill_tokens += prompt_tokens;
            load.remaining_output_tokens += remaining_tokens;
        });
        Self {
            shared,
            is_waiting: true,
            has_ended: false,
            prompt_tokens,
            remaining_tokens,
        }
    }

    /// Moves the request from waiting to running.
    pub(super) fn mark_started(&mut self) {
        self.is_waiting = false;
        lock(&self.shared.counts).started += 1;
        let prompt_tokens = self.prompt_tokens;
        lock(&self.shared.load).update(self.shared.clock.now(), |load| {
            load.waiting -= 1;
            load.waiting_prefill_tokens -= prompt_tokens;
            load.running += 1;
        });
    }

    /// Counts the request as completed.
    pub(super) fn mark_completed(&mut self) {
        self.has_ended = true;
        lock(&self.shared.counts).completed += 1;
    }

    /// Counts the request as failed by an injected fault.
    pub(super) fn mark_failed(&mut self) {
        self.has_ended = true;
        lock(&self.shared.counts).failed += 1;
    }
}

impl Drop for RequestTracker<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            lock(&self.shared.counts).cancelled += 1;
        }
        lock(&self.shared.load).update(self.shared.clock.now(), |load| {
            load.remaining_output_tokens -= self.remaining_tokens;
            if self.is_waiting {
                load.waiting -= 1;
                load.waiting_prefill_tokens -= self.prompt_tokens;
            } else {
                load.running -= 1;
            }
        });
    }
}
