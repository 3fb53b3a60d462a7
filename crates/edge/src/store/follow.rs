//! Following all changes below a prefix.

use super::{
    backoff::Backoff, ops::Freshness, task::Context, StoreError, StoreEvent, WatchedPrefix,
};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time::sleep;

/// Longest wait of one watch, in milliseconds.
const WATCH_MS: u64 = 25_000;
/// Pause after news of what operators write, so that changes gather and one call tells of several,
/// in milliseconds.
const GATHER_MS: u64 = 120;
/// The same for what upstreams and instances write, which change often and of which each user
/// finds out for itself as well, in milliseconds.
const GATHER_ENTRIES_MS: u64 = 700;

/// Lists the prefix, then watches it, and lists it again whenever the history is gone. While
/// another instance watches for this one, nothing is asked.
pub(super) async fn follow(
    context: Context,
    watched: WatchedPrefix,
    mut watching: tokio::sync::watch::Receiver<bool>,
) {
    let mut backoff = Backoff::default();
    let mut position = None;
    // What changed since an old listing comes with the first watch.
    let mut freshness = if watched.is_urgent {
        Freshness::Latest
    } else {
        Freshness::Stale
    };
    loop {
        if position.is_some() && !*watching.borrow() {
            // The other end is gone only while the process ends.
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
    let news = (context.ops.watch)(prefix, after, WATCH_MS).await?;
    let revision = news.revision.max(after);
    let is_empty = news.changes.is_empty();
    context
        .send(StoreEvent::Changed(prefix.clone(), news))
        .await;
    if !is_empty {
        let gather_ms = if watched.is_urgent {
            GATHER_MS
        } else {
            GATHER_ENTRIES_MS
        };
        sleep(Duration::from_millis(gather_ms)).await;
    }
    Ok(revision)
}

impl Context {
    /// Tells an event.
    pub(super) async fn send(&self, event: StoreEvent) {
        // The receiver is gone only while the process ends.
        let _ = self.events.send(event).await;
    }

    /// Takes note that the store has answered.
    pub(super) async fn reachable(&self) {
        if self.is_lost.swap(false, Ordering::Relaxed) {
            self.send(StoreEvent::Recovered).await;
        }
    }

    /// Takes note that the store has not answered.
    pub(super) async fn unreachable(&self, err: &StoreError) {
        if !self.is_lost.swap(true, Ordering::Relaxed) {
            self.send(StoreEvent::Lost(err.to_string())).await;
        }
    }
}
