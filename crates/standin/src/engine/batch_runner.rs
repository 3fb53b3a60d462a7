//! Real-time execution of a simulated batch engine.

use super::completion::CompletionRequest;
use crate::{
    batch::{self, BatchEngine, BatchRequestId, BatchSettings, LoadSample},
    lock,
};
use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, Notify},
    time::{sleep_until, Instant},
};

struct State {
    engine: BatchEngine,
    token_senders: HashMap<BatchRequestId, mpsc::UnboundedSender<()>>,
    next_id: u64,
}

/// Runs the steps of a [`BatchEngine`] in real time.
pub(super) struct BatchRunner {
    state: Mutex<State>,
    has_work: Notify,
    has_started: AtomicBool,
    start: Instant,
}

/// Handle of a submitted request. Dropping it cancels the request.
pub(super) struct SubmittedRequest {
    id: BatchRequestId,
    tokens: mpsc::UnboundedReceiver<()>,
    batch_runner: Arc<BatchRunner>,
}

impl SubmittedRequest {
    /// Waits for the next token. Returns `None` when the request is no longer in the batch.
    pub(super) async fn next_token(&mut self) -> Option<()> {
        self.tokens.recv().await
    }
}

impl Drop for SubmittedRequest {
    fn drop(&mut self) {
        let mut state = lock(&self.batch_runner.state);
        state.token_senders.remove(&self.id);
        state.engine.cancel(self.id);
    }
}

impl BatchRunner {
    pub(super) fn new(settings: BatchSettings) -> Self {
        Self {
            state: Mutex::new(State {
                engine: BatchEngine::new(settings),
                token_senders: HashMap::new(),
                next_id: 0,
            }),
            has_work: Notify::new(),
            has_started: AtomicBool::new(false),
            start: Instant::now(),
        }
    }

    /// Queues a request. The first request starts the task that runs the steps.
    pub(super) fn submit(self: &Arc<Self>, completion: &CompletionRequest) -> SubmittedRequest {
        if !self.has_started.swap(true, Ordering::Relaxed) {
            tokio::spawn(self.clone().run_steps());
        }
        let (sender, tokens) = mpsc::unbounded_channel();
        let mut state = lock(&self.state);
        let id = BatchRequestId(state.next_id);
        state.next_id += 1;
        state.token_senders.insert(id, sender);
        state.engine.submit(batch::BatchRequest {
            id,
            prompt_tokens: completion.prompt_tokens,
            prefix_hashes: completion.prefix_hashes.clone(),
            output_tokens: completion.output_tokens,
            resume_from_tokens: completion.resume_from_tokens,
            priority: completion.priority,
        });
        drop(state);
        self.has_work.notify_one();
        SubmittedRequest {
            id,
            tokens,
            batch_runner: self.clone(),
        }
    }

    /// Drops all requests and the cache, as a crash does.
    pub(super) fn crash(&self) {
        let mut state = lock(&self.state);
        state.engine.crash();
        state.token_senders.clear();
    }

    /// Returns the delayed load report and the current time of the engine, in microseconds.
    pub(super) fn report(&self) -> (LoadSample, u64) {
        let now_us = self.now_us();
        (lock(&self.state).engine.report(now_us), now_us)
    }

    /// Sets the factor applied to the duration of steps, in percent.
    pub(super) fn set_slowdown_pct(&self, pct: u64) {
        let pct = u32::try_from(pct).unwrap_or(u32::MAX);
        lock(&self.state)
            .engine
            .set_slowdown_factor(f64::from(pct) / 100.0);
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    async fn run_steps(self: Arc<Self>) {
        let mut step_end = Instant::now();
        loop {
            let step_us = lock(&self.state).engine.begin_step();
            let Some(step_us) = step_us else {
                self.has_work.notified().await;
                step_end = Instant::now();
                continue;
            };
            step_end += Duration::from_micros(step_us);
            sleep_until(step_end).await;
            self.end_step();
        }
    }

    fn end_step(&self) {
        let now_us = self.now_us();
        let mut state = lock(&self.state);
        for token in state.engine.end_step(now_us) {
            if let Some(sender) = state.token_senders.get(&token.request_id) {
                // Sending fails when the caller has dropped its handle.
                let _ = sender.send(());
            }
            if token.is_last {
                state.token_senders.remove(&token.request_id);
            }
        }
    }
}
