//! Following all changes below a prefix.

use super::{backoff::Backoff, task::Context, Change, Listing, News, StoreError};
use std::time::Duration;
use tokio::time::sleep;

/// Longest wait of one watch, in milliseconds.
const WATCH_MS: u64 = 25_000;
/// Pause after news, so that changes gather and one call tells of several, in milliseconds.
const GATHER_MS: u64 = 60;

/// Lists the prefix, then watches it, and lists it again whenever the history is gone.
pub(super) async fn follow(context: Context, prefix: String) {
    let mut backoff = Backoff::default();
    let mut position = None;
    loop {
        let result = match position {
            None => list(&context, &prefix).await,
            Some(revision) => watch(&context, &prefix, revision).await,
        };
        match result {
            Ok(revision) => {
                position = Some(revision);
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

async fn list(context: &Context, prefix: &str) -> Result<u64, StoreError> {
    let Listing { items, revision } = (context.ops.list)(prefix).await?;
    for item in &items {
        context.send((context.decoder.written)(item)).await;
    }
    if let Some(names) = (context.decoder.listed)(prefix, &items) {
        context.send(names).await;
    }
    Ok(revision)
}

async fn watch(context: &Context, prefix: &str, after: u64) -> Result<u64, StoreError> {
    let news = (context.ops.watch)(prefix, after, WATCH_MS).await?;
    let is_empty = news.changes.is_empty();
    for change in &news.changes {
        match change {
            Change::Written(item) => context.send((context.decoder.written)(item)).await,
            Change::Removed(key) => {
                if let Some(gone) = (context.decoder.removed)(key) {
                    context.send(gone).await;
                }
            }
        }
    }
    if !is_empty {
        sleep(Duration::from_millis(GATHER_MS)).await;
    }
    Ok(news.revision.max(after))
}

impl Context {
    async fn send(&self, news: News) {
        // The receiver is gone only while the process ends.
        let _ = self.news.send(news).await;
    }

    /// Takes note that the store has answered.
    pub(super) async fn reachable(&self) {
        if self
            .is_lost
            .swap(false, std::sync::atomic::Ordering::Relaxed)
        {
            self.send(News::StoreBack).await;
        }
    }

    /// Takes note that the store has not answered.
    pub(super) async fn unreachable(&self, err: &StoreError) {
        if !self
            .is_lost
            .swap(true, std::sync::atomic::Ordering::Relaxed)
        {
            self.send(News::StoreLost(err.to_string())).await;
        }
    }
}
