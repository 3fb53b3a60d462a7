//! When the tokens of an answer come: after fixed times, or from the model of a batch.

use super::{batch_runner::Ticket, completion::Job, Shared};
use crate::lock;
use std::time::Duration;
use tokio::{sync::SemaphorePermit, time::sleep};

/// A request's place among those that the engine decodes.
pub(super) enum Pace<'a> {
    /// Tokens come after fixed times.
    Timed {
        shared: &'a Shared,
        _slot: SemaphorePermit<'a>,
    },
    /// Tokens come from the model of a batch.
    Batched(Ticket),
}

impl<'a> Pace<'a> {
    /// Waits for the first token; `None` when the engine stops.
    pub(super) async fn start(
        shared: &'a Shared,
        job: &Job,
        on_place: impl FnOnce(),
    ) -> Option<Self> {
        if let Some(batching) = &shared.batching {
            let mut ticket = batching.submit(job);
            ticket.token().await?;
            on_place();
            return Some(Self::Batched(ticket));
        }
        let slot = shared.slots.acquire().await.ok()?;
        on_place();
        wait(shared, first_token_ms(shared, job)).await;
        Some(Self::Timed {
            shared,
            _slot: slot,
        })
    }

    /// The next token comes in no time.
    pub(super) fn is_instant(&self) -> bool {
        matches!(self, Self::Timed { shared, .. } if shared.options.token_ms == 0)
    }

    /// Waits for `tokens` further tokens.
    pub(super) async fn wait(&mut self, tokens: u64) {
        match self {
            Self::Timed { shared, .. } => wait(shared, shared.options.token_ms * tokens).await,
            Self::Batched(ticket) => {
                for _ in 0..tokens {
                    if ticket.token().await.is_none() {
                        return;
                    }
                }
            }
        }
    }
}

fn first_token_ms(shared: &Shared, job: &Job) -> u64 {
    let prefill_ms = (job.prompt_tokens * 1_000)
        .checked_div(shared.options.prefill_tokens_per_s)
        .unwrap_or(0);
    shared.options.first_token_ms + prefill_ms
}

async fn wait(shared: &Shared, ms: u64) {
    let ms = ms * lock(&shared.faults).slowdown_pct / 100;
    if ms > 0 {
        sleep(Duration::from_millis(ms)).await;
    }
}
