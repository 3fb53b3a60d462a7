//! Watching all changes below a prefix.

use super::{
    backoff::Backoff, ops::Freshness, task::Context, StoreError, StoreEvent, WatchedPrefix,
};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time::sleep;

/// Timeout of one watch call, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 25_000;
/// Pause after changes of urgent prefixes, so that one call returns several changes, in
/// milliseconds. These are what operators write.
const URGENT_PAUSE_MS: u64 = 120;
/// Pause after changes of other prefixes, in milliseconds. These are what upstreams and instances
/// write; it changes often, and each reader also detects the changes by itself.
const ENTRIES_PAUSE_MS: u64 = 700;

/// Lists the prefix, then watches it, and lists it again whenever its history is no longer
/// available. Makes no calls while other instances watch on behalf of this one.
pub(super) async fn follow(
    context: Context,
    watched: WatchedPrefix,
    mut watching: tokio::sync::watch::Receiver<bool>,
) {
    let mut backoff = Backoff::default();
    let mut position = None;
    // The first watch returns what changed since a stale listing.
    let mut freshness = if watched.is_urgent {
        Freshness::Latest
    } else {
        Freshness::Stale
    };
    loop {
        if position.is_some() && !*watching.borrow() {
            // The sender is dropped only at shutdown.
            if watching.wait_for(|is_watcher| *is_watcher).await.is_err() {
                return;
            }
            position = None;
        }
        let result = match position {
            None => list(&context, &watched.prefix, freshness).await,
            Some(revision) => watch(&context, &watched, revision).await,
        };
        match result {
            Ok(revision) => {
                position = Some(revision);
                freshness = Freshness::Latest;
                backoff.succeeded();
                context.reachable().await;
            }
            Err(StoreError::HistoryGone) => position = None,
            Err(err) => {
                if matches!(err, StoreError::Malformed(_)) {
                    // The same watch would return the same answer, for instance one that is too
                    // long; a listing comes in pages.
                    position = None;
                }
                context.unreachable(&err).await;
                let pause_ms = backoff.failed(rand::random());
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

async fn list(context: &Context, prefix: &str, freshness: Freshness) -> Result<u64, StoreError> {
    let listing = (context.ops.list)(prefix, freshness).await?;
    let revision = listing.revision;
    context
        .send(StoreEvent::Listed(prefix.to_owned(), listing))
        .await;
    Ok(revision)
}

async fn watch(context: &Context, watched: &WatchedPrefix, after: u64) -> Result<u64, StoreError> {
    let prefix = &watched.prefix;
    let response = (context.ops.watch)(prefix, after, WATCH_TIMEOUT_MS).await?;
    let revision = response.revision.max(after);
    let is_empty = response.changes.is_empty();
    context
        .send(StoreEvent::Changed(prefix.clone(), response))
        .await;
    if !is_empty {
        let pause_ms = if watched.is_urgent {
            URGENT_PAUSE_MS
        } else {
            ENTRIES_PAUSE_MS
        };
        sleep(Duration::from_millis(pause_ms)).await;
    }
    Ok(revision)
}

impl Context {
    /// Sends an event to the instance.
    pub(super) async fn send(&self, event: StoreEvent) {
        // The receiver is dropped only at shutdown.
        let _ = self.events.send(event).await;
    }

    /// Records a successful call; reports the recovery after an outage.
    pub(super) async fn reachable(&self) {
        if self.is_lost.swap(false, Ordering::Relaxed) {
            self.send(StoreEvent::Recovered).await;
        }
    }

    /// Records a failed call; reports the start of an outage.
    pub(super) async fn unreachable(&self, err: &StoreError) {
        if !self.is_lost.swap(true, Ordering::Relaxed) {
            self.send(StoreEvent::Lost(err.to_string())).await;
        }
    }
}
