//! Simulated engine: queue, batch and steps.

use super::request::ActiveRequest;
use super::{BatchRequest, BatchRequestId, LoadHistory, LoadSample, PrefixCache, Token};
use carobwheel_core::route::PREFIX_BLOCK_TOKENS;
use std::collections::VecDeque;

/// Capacity and speed of a simulated engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchSettings {
    /// Maximum number of requests in the batch.
    pub slots: usize,
    /// Prefill throughput, in prompt tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Fixed part of a step's duration, in microseconds.
    pub step_us: u64,
    /// Additional duration of a step per decoding request, in microseconds.
    pub step_per_request_us: u64,
    /// Maximum number of prompt tokens processed in a step that also decodes.
    pub chunk_tokens: u64,
    /// Maximum number of prompt tokens processed in a step that decodes nothing.
    pub idle_chunk_tokens: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Age of the load in reports, in microseconds.
    pub report_lag_us: u64,
    /// Factor applied to the duration of every step; above 1 for a slow model version.
    pub slowdown_factor: f64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            prefill_tokens_per_s: 40_000,
            step_us: 8_000,
            step_per_request_us: 300,
            chunk_tokens: 640,
            idle_chunk_tokens: 2_048,
            cache_blocks: 2_048,
            report_lag_us: 1_000_000,
            slowdown_factor: 1.0,
        }
    }
}

/// Simulated inference engine with continuous batching.
#[derive(Clone, Debug)]
pub struct BatchEngine {
    settings: BatchSettings,
    cache: PrefixCache,
    waiting: VecDeque<BatchRequest>,
    batch: Vec<ActiveRequest>,
    is_stepping: bool,
    history: LoadHistory,
    busy_us: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    output_tokens: u64,
}

impl BatchEngine {
    /// Creates an idle engine with an empty cache.
    pub fn new(settings: BatchSettings) -> Self {
        Self {
            cache: PrefixCache::new(settings.cache_blocks),
            settings,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            is_stepping: false,
            history: LoadHistory::default(),
            busy_us: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            output_tokens: 0,
        }
    }

    /// Queues a request after those of the same or a more urgent priority.
    pub fn submit(&mut self, request: BatchRequest) {
        let position = self
            .waiting
            .partition_point(|queued| queued.priority <= request.priority);
        self.waiting.insert(position, request);
    }

    /// Removes a request from the queue or the batch. Returns false if it is in neither.
    pub fn cancel(&mut self, id: BatchRequestId) -> bool {
        let before = self.waiting.len() + self.batch.len();
        self.waiting.retain(|request| request.id != id);
        self.batch.retain(|active| active.request.id != id);
        before != self.waiting.len() + self.batch.len()
    }

    /// Drops all requests and the cache, as a crash does. Returns the identifiers of the requests.
    pub fn crash(&mut self) -> Vec<BatchRequestId> {
        let waiting = self.waiting.drain(..).map(|request| request.id);
        let running = self.batch.drain(..).map(|active| active.request.id);
        let ids = running.chain(waiting).collect();
        self.cache.clear();
        self.is_stepping = false;
        ids
    }

    /// Begins a step if there is work and no step is in progress. Returns the duration of the step
    /// in microseconds.
    pub fn begin_step(&mut self) -> Option<u64> {
        if self.is_stepping {
            return None;
        }
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        let decoding = self.batch.iter().filter(|r| r.is_decoding()).count() as u64;
        let prefill_tokens = self.plan_prefill(decoding);
        let prefill_us = prefill_tokens * 1_000_000 / self.settings.prefill_tokens_per_s;
        let batch_us = decoding * self.settings.step_per_request_us;
        let step_us =
            (self.settings.step_us + batch_us + prefill_us) as f64 * self.settings.slowdown_factor;
        let step_us = step_us as u64;
        self.busy_us += step_us;
        self.is_stepping = true;
        Some(step_us)
    }

    /// Ends the current step and returns the tokens that it generated.
    pub fn end_step(&mut self, now_us: u64) -> Vec<Token> {
        if !self.is_stepping {
            return Vec::new();
        }
        self.is_stepping = false;
        let mut tokens = Vec::new();
        for active in &mut self.batch {
            let was_decoding = active.is_decoding();
            active.remaining_prefill_tokens -= active.step_prefill_tokens;
            active.step_prefill_tokens = 0;
            if !active.is_decoding() {
                continue;
            }
            if !was_decoding {
                self.cache.store(&active.request.prefix_hashes, now_us);
            }
            let position = active.generated_tokens;
            active.generated_tokens += 1;
            tokens.push(Token {
                request_id: active.request.id,
                position,
                is_last: active.generated_tokens >= active.request.output_tokens,
            });
        }
        self.batch
            .retain(|active| active.generated_tokens < active.request.output_tokens);
        self.output_tokens += tokens.len() as u64;
        self.history.push(LoadSample {
            measured_at_us: now_us,
            requests: self.requests() as u64,
            prompt_tokens: self.remaining_prefill_tokens(),
        });
        tokens
    }

    /// Moves queued requests into free slots of the batch, the most urgent first.
    fn fill_batch(&mut self) {
        while self.batch.len() < self.settings.slots {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            let cached_tokens = self.cache.use_prefix(&request.prefix_hashes) * PREFIX_BLOCK_TOKENS;
            let cached_tokens = cached_tokens.min(request.prompt_tokens.saturating_sub(1));
            self.prompt_tokens += request.prompt_tokens;
            self.cached_tokens += cached_tokens;
            let remaining_prefill_tokens =
                request.prompt_tokens - cached_tokens + request.resume_from_tokens;
            self.batch.push(ActiveRequest {
                remaining_prefill_tokens: remaining_prefill_tokens.max(1),
                generated_tokens: request.resume_from_tokens,
                step_prefill_tokens: 0,
                request,
            });
        }
    }

    /// Distributes the step's prefill budget by priority and order of admission. Returns the number
    /// of prompt tokens to process.
    fn plan_prefill(&mut self, decoding: u64) -> u64 {
        let chunk_tokens = if decoding == 0 {
            self.settings.idle_chunk_tokens
        } else {
            self.settings.chunk_tokens
        };
        let mut budget_tokens = chunk_tokens;
        let mut order: Vec<usize> = (0..self.batch.len()).collect();
        order.sort_by_key(|index| self.batch[*index].request.priority);
        for index in order {
            let active = &mut self.batch[index];
            active.step_prefill_tokens = active.remaining_prefill_tokens.min(budget_tokens);
            budget_tokens -= active.step_prefill_tokens;
        }
        chunk_tokens - budget_tokens
    }

    fn remaining_prefill_tokens(&self) -> u64 {
        let running: u64 = self.batch.iter().map(|r| r.remaining_prefill_tokens).sum();
        let waiting: u64 = self
            .waiting
            .iter()
            .map(|request| request.prompt_tokens)
            .sum();
        running + waiting
    }

    /// Sets the factor applied to the duration of all later steps.
    pub fn set_slowdown_factor(&mut self, slowdown_factor: f64) {
        self.settings.slowdown_factor = slowdown_factor;
    }

    /// Returns the prefix cache, so that the caller can take its events.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Returns the load report of the engine, delayed by the configured lag.
    pub fn report(&self, now_us: u64) -> LoadSample {
        self.history.report(now_us, self.settings.report_lag_us)
    }

    /// Number of requests in the batch and the queue.
    pub fn requests(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Total duration of all steps, in microseconds.
    pub fn busy_us(&self) -> u64 {
        self.busy_us
    }

    /// Number of generated tokens.
    pub fn output_tokens(&self) -> u64 {
        self.output_tokens
    }

    /// Number of prompt tokens of all requests that entered the batch, and how many of them were
    /// cached.
    pub fn prompt_and_cached_tokens(&self) -> (u64, u64) {
        (self.prompt_tokens, self.cached_tokens)
    }
}
