//! The engine: queue, batch and steps.

use super::request::Running;
use super::{BatchRequest, BatchRequestId, LoadHistory, LoadSample, PrefixCache, Token};
use carobwheel_core::route::PREFIX_BLOCK_TOKENS;
use std::collections::VecDeque;

/// Sizes and speeds of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchSettings {
    /// Requests in the batch at most.
    pub slots: usize,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: u64,
    /// Duration of a step without any work in it, in microseconds.
    pub step_us: u64,
    /// Growth of a step for each request that gets a token, in microseconds.
    pub step_per_request_us: u64,
    /// Prompt tokens read in one step beside requests that get tokens.
    pub chunk_tokens: u64,
    /// Prompt tokens read in one step if no request gets a token.
    pub idle_chunk_tokens: u64,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load that reports show, in microseconds.
    pub report_lag_us: u64,
    /// Factor on the duration of every step; a slow version has more than 1.
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

/// A model engine with continuous batching.
#[derive(Clone, Debug)]
pub struct BatchEngine {
    settings: BatchSettings,
    cache: PrefixCache,
    waiting: VecDeque<BatchRequest>,
    batch: Vec<Running>,
    is_stepping: bool,
    history: LoadHistory,
    busy_us: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    output_tokens: u64,
}

impl BatchEngine {
    /// An idle engine with an empty cache.
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

    /// Queues a request behind those of the same or a more urgent priority.
    pub fn submit(&mut self, job: BatchRequest) {
        let place = self
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(place, job);
    }

    /// Drops a request wherever it is; false if the engine does not hold it.
    pub fn cancel(&mut self, id: BatchRequestId) -> bool {
        let before = self.waiting.len() + self.batch.len();
        self.waiting.retain(|job| job.id != id);
        self.batch.retain(|running| running.job.id != id);
        before != self.waiting.len() + self.batch.len()
    }

    /// Drops all requests and the cache, as a crash does, and gives their names.
    pub fn crash(&mut self) -> Vec<BatchRequestId> {
        let waiting = self.waiting.drain(..).map(|job| job.id);
        let running = self.batch.drain(..).map(|running| running.job.id);
        let ids = running.chain(waiting).collect();
        self.cache.clear();
        self.is_stepping = false;
        ids
    }

    /// Begins a step if there is work and none is under way; gives its duration in microseconds.
    pub fn begin_step(&mut self) -> Option<u64> {
        if self.is_stepping {
            return None;
        }
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        let decoding = self.batch.iter().filter(|r| r.is_decoding()).count() as u64;
        let read_tokens = self.plan_reading(decoding);
        let read_us = read_tokens * 1_000_000 / self.settings.prefill_tokens_per_s;
        let batch_us = decoding * self.settings.step_per_request_us;
        let step_us =
            (self.settings.step_us + batch_us + read_us) as f64 * self.settings.slowdown_factor;
        let step_us = step_us as u64;
        self.busy_us += step_us;
        self.is_stepping = true;
        Some(step_us)
    }

    /// Ends the step: gives the tokens that it made.
    pub fn end_step(&mut self, now_us: u64) -> Vec<Token> {
        if !self.is_stepping {
            return Vec::new();
        }
        self.is_stepping = false;
        let mut tokens = Vec::new();
        for running in &mut self.batch {
            let was_decoding = running.is_decoding();
            running.unread_tokens -= running.step_read_tokens;
            running.step_read_tokens = 0;
            if !running.is_decoding() {
                continue;
            }
            if !was_decoding {
                self.cache.store(&running.job.prefix_hashes, now_us);
            }
            let position = running.made_tokens;
            running.made_tokens += 1;
            tokens.push(Token {
                request_id: running.job.id,
                position,
                is_last: running.made_tokens >= running.job.output_tokens,
            });
        }
        self.batch
            .retain(|running| running.made_tokens < running.job.output_tokens);
        self.output_tokens += tokens.len() as u64;
        self.history.push(LoadSample {
            measured_at_us: now_us,
            requests: self.requests() as u64,
            prompt_tokens: self.unread_tokens(),
        });
        tokens
    }

    /// Moves waiting requests into free slots, the most urgent first.
    fn fill_batch(&mut self) {
        while self.batch.len() < self.settings.slots {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            let cached_tokens = self.cache.use_prefix(&job.prefix_hashes) * PREFIX_BLOCK_TOKENS;
            let cached_tokens = cached_tokens.min(job.prompt_tokens.saturating_sub(1));
            self.prompt_tokens += job.prompt_tokens;
            self.cached_tokens += cached_tokens;
            let unread_tokens = job.prompt_tokens - cached_tokens + job.resume_from_tokens;
            self.batch.push(Running {
                unread_tokens: unread_tokens.max(1),
                made_tokens: job.resume_from_tokens,
                step_read_tokens: 0,
                job,
            });
        }
    }

    /// Shares the step's piece of prompt out by priority and arrival; gives the tokens read.
    fn plan_reading(&mut self, decoding: u64) -> u64 {
        let chunk_tokens = if decoding == 0 {
            self.settings.idle_chunk_tokens
        } else {
            self.settings.chunk_tokens
        };
        let mut rest_tokens = chunk_tokens;
        let mut order: Vec<usize> = (0..self.batch.len()).collect();
        order.sort_by_key(|index| self.batch[*index].job.priority);
        for index in order {
            let running = &mut self.batch[index];
            running.step_read_tokens = running.unread_tokens.min(rest_tokens);
            rest_tokens -= running.step_read_tokens;
        }
        chunk_tokens - rest_tokens
    }

    fn unread_tokens(&self) -> u64 {
        let running: u64 = self.batch.iter().map(|r| r.unread_tokens).sum();
        let waiting: u64 = self.waiting.iter().map(|job| job.prompt_tokens).sum();
        running + waiting
    }

    /// Changes the factor on the duration of every further step.
    pub fn set_slowdown_factor(&mut self, slowdown_factor: f64) {
        self.settings.slowdown_factor = slowdown_factor;
    }

    /// The cache, for its events.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// The load as the engine reports it, with its lag.
    pub fn report(&self, now_us: u64) -> LoadSample {
        self.history.report(now_us, self.settings.report_lag_us)
    }

    /// Requests running or waiting.
    pub fn requests(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Time spent in steps, in microseconds.
    pub fn busy_us(&self) -> u64 {
        self.busy_us
    }

    /// Tokens generated.
    pub fn output_tokens(&self) -> u64 {
        self.output_tokens
    }

    /// Prompt tokens of the requests that entered the batch, and those of them that were cached.
    pub fn prompt_and_cached_tokens(&self) -> (u64, u64) {
        (self.prompt_tokens, self.cached_tokens)
    }
}
