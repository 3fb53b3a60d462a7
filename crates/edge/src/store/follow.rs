//! Watching all changes below a prefix.

use super::{
    backoff::Backoff, ops::Freshness, task::Context, Position, StoreError, StoreEvent,
    WatchedPrefix, RESTORE_SETTLE_MS,
};
use std::{sync::atomic::Ordering, time::Duration};
use tokio::time::{sleep, Instant};

/// Timeout of one watch call, in milliseconds.
const WATCH_TIMEOUT_MS: u64 = 25_000;
/// Timeout of the first watch after a failed call, in milliseconds.
const RECOVERY_WATCH_MS: u64 = 100;
/// Pause after changes of urgent prefixes, so that one call returns several changes, in
/// milliseconds. These are what operators write.
const URGENT_PAUSE_MS: u64 = 120;
/// Pause after changes of other prefixes, in milliseconds. These are what upstreams and instances
/// write; it changes often, and each reader also detects the changes by itself.
const ENTRIES_PAUSE_MS: u64 = 700;

/// Time after the first listing of a restored store at which it is listed once more, in
/// milliseconds. By then the instance no longer holds back what it lists.
const RESTORED_LISTING_DELAY_MS: u64 = RESTORE_SETTLE_MS + 300;

/// Progress of following one prefix.
#[derive(Default)]
struct Progress {
    /// Position to watch from; `None` if the prefix has to be listed.
    position: Option<Position>,
    /// Era of the last listing.
    era: Option<u64>,
    /// Time of another listing after a restore.
    list_again_at: Option<Instant>,
    /// Whether the last call failed. The next watch is short, to tell soon that the prefix can be
    /// read again.
    is_lost: bool,
}

impl Progress {
    fn listed(&mut self, at: Position) {
        if self.era.is_some_and(|era| era < at.era) {
            let delay = Duration::from_millis(RESTORED_LISTING_DELAY_MS);
            self.list_again_at = Some(Instant::now() + delay);
        }
        self.era = Some(at.era);
        self.position = Some(at);
    }

    /// Longest wait of the next watch, in milliseconds. Demands a listing if one is due.
    fn watch_timeout_ms(&mut self) -> u64 {
        let max_ms = if self.is_lost {
            RECOVERY_WATCH_MS
        } else {
            WATCH_TIMEOUT_MS
        };
        let Some(at) = self.list_again_at else {
            return max_ms;
        };
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            self.list_again_at = None;
            self.position = None;
        }
        u64::try_from(left.as_millis()).map_or(max_ms, |left| left.min(max_ms))
    }
}

/// Lists the prefix, then watches it, and lists it again whenever its history is no longer
/// available. Makes no calls while other instances watch on behalf of this one.
pub(super) async fn follow(
    context: Context,
    watched: WatchedPrefix,
    mut watching: tokio::sync::watch::Receiver<bool>,
) {
    let mut backoff = Backoff::default();
    let mut progress = Progress::default();
    // The first watch returns what changed since a stale listing.
    let mut freshness = if watched.is_urgent {
        Freshness::Latest
    } else {
        Freshness::Stale
    };
    loop {
        if progress.position.is_some() && !*watching.borrow() {
            // The sender is dropped only at shutdown.
            if watching.wait_for(|is_watcher| *is_watcher).await.is_err() {
                return;
            }
            progress.position = None;
        }
        let timeout_ms = progress.watch_timeout_ms();
        let result = match progress.position {
            None => list(&context, &watched.prefix, freshness)
                .await
                .map(|at| progress.listed(at)),
            Some(after) => watch(&context, &watched, after, timeout_ms)
                .await
                .map(|at| progress.position = at),
        };
        match result {
            Ok(()) => {
                freshness = Freshness::Latest;
                progress.is_lost = false;
                backoff.succeeded();
                context.reachable().await;
            }
            Err(StoreError::HistoryGone) => progress.position = None,
            Err(err) => {
                if matches!(err, StoreError::Malformed(_)) {
                    // The same watch would return the same answer, for instance one that is too
                    // long; a listing comes in pages.
                    progress.position = None;
                }
                context.unreachable(&err).await;
                if !std::mem::replace(&mut progress.is_lost, true) {
                    let prefix = watched.prefix.clone();
                    context.send(StoreEvent::PrefixLost(prefix)).await;
                }
                let pause_ms = backoff.failed(rand::random());
                sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

async fn list(
    context: &Context,
    prefix: &str,
    freshness: Freshness,
) -> Result<Position, StoreError> {
    let listing = (context.ops.list)(prefix, freshness).await?;
    let at = listing.at;
    context
        .send(StoreEvent::Listed(prefix.to_owned(), listing))
        .await;
    Ok(at)
}

/// Watches once. Returns the position to go on from; `None` if the store was restored, since
/// revisions of two eras do not continue each other.
async fn watch(
    context: &Context,
    watched: &WatchedPrefix,
    after: Position,
    timeout_ms: u64,
) -> Result<Option<Position>, StoreError> {
    let prefix = &watched.prefix;
    let response = (context.ops.watch)(prefix, after.revision, timeout_ms).await?;
    if response.at.era != after.era {
        return Ok(None);
    }
    let at = response.at.max(after);
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
    Ok(Some(at))
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
