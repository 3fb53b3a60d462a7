//! Crash of the engine on a prompt, and its restart.

use super::Shared;
use crate::lock;
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time::sleep;

/// Settings of an engine that crashes on each prompt with a given text.
///
/// The engine closes all its connections at the moment at which it begins to write the answer,
/// refuses new ones until it is back, and comes back without requests and with an empty cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptCrash {
    /// Text that a prompt contains if it crashes the engine.
    pub text: String,
    /// Time from a crash until the engine accepts connections again, in milliseconds.
    pub down_ms: u64,
    /// Whether the head of a streamed answer is sent before the crash.
    pub sends_head: bool,
}

impl PromptCrash {
    pub(super) fn is_caused_by(&self, prompt: &[u8]) -> bool {
        let text = self.text.as_bytes();
        !text.is_empty() && prompt.windows(text.len()).any(|part| part == text)
    }
}

/// Crashes the engine, unless it is down already, and schedules its restart.
pub(super) fn crash(shared: &Shared, down_ms: u64) {
    let Some(server) = shared.server.get().cloned() else {
        return;
    };
    if shared.is_down.swap(true, Ordering::SeqCst) {
        return;
    }
    lock(&shared.counts).crashes += 1;
    server.set_refusing(true);
    server.close_connections();
    if let Some(batch_runner) = &shared.batch_runner {
        batch_runner.crash();
    }
    let is_down = shared.is_down.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(down_ms)).await;
        is_down.store(false, Ordering::SeqCst);
        server.set_refusing(false);
    });
}
