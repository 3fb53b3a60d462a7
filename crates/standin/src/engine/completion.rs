//! One request on its way through the engine.

use super::Shared;
use crate::lock;

/// A request that has been read.
pub(super) struct Job {
    pub(super) is_chat: bool,
    pub(super) is_stream: bool,
    pub(super) wants_usage: bool,
    pub(super) id: String,
    /// Hash of the prompt, which decides the answer.
    pub(super) prompt: u64,
    pub(super) prompt_tokens: u64,
    /// Hashes of the prompt's prefixes, one a block of the cache.
    pub(super) prefix_hashes: Vec<u64>,
    /// Priority; 0 is the most urgent.
    pub(super) priority: u8,
    /// Tokens that the caller has already.
    pub(super) first: u64,
    /// Tokens of the whole answer.
    pub(super) total: u64,
    pub(super) finish_reason: &'static str,
}

/// Counts a request as cancelled unless it comes to its end, and takes it off the load.
pub(super) struct Running<'a> {
    shared: &'a Shared,
    is_waiting: bool,
    has_ended: bool,
    prompt_tokens: u64,
    remaining_tokens: u64,
}

impl<'a> Running<'a> {
    pub(super) fn new(shared: &'a Shared, job: &Job) -> Self {
        let remaining_tokens = job.total - job.first;
        let prompt_tokens = job.prompt_tokens;
        lock(&shared.load).change(shared.clock.now(), |load| {
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

    /// Notes that the request has a place in the batch.
    pub(super) fn start(&mut self) {
        self.is_waiting = false;
        lock(&self.shared.counts).started += 1;
        let prompt_tokens = self.prompt_tokens;
        lock(&self.shared.load).change(self.shared.clock.now(), |load| {
            load.waiting -= 1;
            load.waiting_prefill_tokens -= prompt_tokens;
            load.running += 1;
        });
    }

    /// Notes that the answer was sent to its end.
    pub(super) fn complete(&mut self) {
        self.has_ended = true;
        lock(&self.shared.counts).completed += 1;
    }

    /// Notes that a fault broke the answer off.
    pub(super) fn fail(&mut self) {
        self.has_ended = true;
        lock(&self.shared.counts).failed += 1;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            lock(&self.shared.counts).cancelled += 1;
        }
        lock(&self.shared.load).change(self.shared.clock.now(), |load| {
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
