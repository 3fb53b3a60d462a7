//! The model of a batch, run in real time.

use super::completion::Job;
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
    listeners: HashMap<BatchRequestId, mpsc::UnboundedSender<()>>,
    next_id: u64,
}

/// A [`BatchEngine`] whose steps take their time.
pub(super) struct Batching {
    state: Mutex<State>,
    has_work: Notify,
    is_driven: AtomicBool,
    start: Instant,
}

/// A request in the batch; dropping it cancels it.
pub(super) struct Ticket {
    id: BatchRequestId,
    tokens: mpsc::UnboundedReceiver<()>,
    batching: Arc<Batching>,
}

impl Ticket {
    /// Waits for the next token; `None` when the request is no longer in the batch.
    pub(super) async fn token(&mut self) -> Option<()> {
        self.tokens.recv().await
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = lock(&self.batching.state);
        state.listeners.remove(&self.id);
        state.engine.cancel(self.id);
    }
}

impl Batching {
    pub(super) fn new(settings: BatchSettings) -> Self {
        Self {
            state: Mutex::new(State {
                engine: BatchEngine::new(settings),
                listeners: HashMap::new(),
                next_id: 0,
            }),
            has_work: Notify::new(),
            is_driven: AtomicBool::new(false),
            start: Instant::now(),
        }
    }

    /// Queues a request. The first one starts the engine's steps.
    pub(super) fn submit(self: &Arc<Self>, job: &Job) -> Ticket {
        if !self.is_driven.swap(true, Ordering::Relaxed) {
            tokio::spawn(self.clone().drive());
        }
        let (sender, tokens) = mpsc::unbounded_channel();
        let mut state = lock(&self.state);
        let id = BatchRequestId(state.next_id);
        state.next_id += 1;
        state.listeners.insert(id, sender);
        state.engine.submit(batch::BatchRequest {
            id,
            prompt_tokens: job.prompt_tokens,
            prefix_hashes: job.prefix_hashes.clone(),
            output_tokens: job.total,
            resume_from_tokens: job.first,
            priority: job.priority,
        });
        drop(state);
        self.has_work.notify_one();
        Ticket {
            id,
            tokens,
            batching: self.clone(),
        }
    }

    /// The load with the engine's lag.
    pub(super) fn report(&self) -> (LoadSample, u64) {
        let now_us = self.now_us();
        (lock(&self.state).engine.report(now_us), now_us)
    }

    /// Changes the factor on the duration of steps, in percent.
    pub(super) fn set_slowdown_pct(&self, pct: u64) {
        let pct = u32::try_from(pct).unwrap_or(u32::MAX);
        lock(&self.state)
            .engine
            .set_slowdown_factor(f64::from(pct) / 100.0);
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    async fn drive(self: Arc<Self>) {
        let mut step_ends = Instant::now();
        loop {
            let step_us = lock(&self.state).engine.begin_step();
            let Some(step_us) = step_us else {
                self.has_work.notified().await;
                step_ends = Instant::now();
                continue;
            };
            step_ends += Duration::from_micros(step_us);
            sleep_until(step_ends).await;
            self.end_step();
        }
    }

    fn end_step(&self) {
        let now_us = self.now_us();
        let mut state = lock(&self.state);
        for token in state.engine.end_step(now_us) {
            if let Some(listener) = state.listeners.get(&token.request_id) {
                // A caller that has left has dropped its ticket.
                let _ = listener.send(());
            }
            if token.is_last {
                state.listeners.remove(&token.request_id);
            }
        }
    }
}
