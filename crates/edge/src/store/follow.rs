//! Watching all changes below a prefix.

use super::{
    backoff::Backoff, ops::Freshness, reach::LostAnswers, task::Context, Position, StoreError,
    StoreEvent, WatchedPrefix, RESTORE_SETTLE_MS,
};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Timeout of one watch call, in milliseconds. Bounds the time for which a watch whose answer is
/// lost goes unnoticed if no other call fails.
const WATCH_TIMEOUT_MS: u64 = 5_000;
/// Random share of the timeout, so that the instances do not make their calls at the same time and
/// lose the answers together.
const WATCH_TIMEOUT_JITTER: f64 = 0.3;
/// Timeout of the first watch after a failed call or after lost answers, in milliseconds.
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
    /// Whether the prefix may be unreadable, since the last call failed or its answer may be lost.
    /// The next watch is short, to tell soon that the prefix can be read again.
    is_lost: bool,
}

/// Outcome of one watch call.
enum WatchOutcome {
    /// The watch goes on from here; `None` if the store was restored, since revisions of two eras
    /// do not continue each other.
    At(Option<Position>),
    /// Answers of the store were lost while the call waited; the call was given up.
    InDoubt,
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
            jittered(WATCH_TIMEOUT_MS, rand::random())
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
    let mut lost_answers = context.reach.lost_answers();
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
            Some(after) => {
                match watch(&context, &watched, after, timeout_ms, &mut lost_answers).await {
                    Ok(WatchOutcome::At(at)) => {
                        progress.position = at;
                        Ok(())
                    }
                    Ok(WatchOutcome::InDoubt) => {
                        report_lost(&context, &watched, &mut progress).await;
                        continue;
                    }
                    Err(err) => Err(err),
                }
            }
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
                report_lost(&context, &watched, &mut progress).await;
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

/// Reports that the prefix may be unreadable, unless that was reported before.
async fn report_lost(context: &Context, watched: &WatchedPrefix, progress: &mut Progress) {
    if !std::mem::replace(&mut progress.is_lost, true) {
        let prefix = watched.prefix.clone();
        context.send(StoreEvent::PrefixLost(prefix)).await;
    }
}

/// Watches once.
async fn watch(
    context: &Context,
    watched: &WatchedPrefix,
    after: Position,
    timeout_ms: u64,
    lost_answers: &mut LostAnswers,
) -> Result<WatchOutcome, StoreError> {
    let prefix = &watched.prefix;
    lost_answers.forget();
    let response = tokio::select! {
        response = (context.ops.watch)(prefix, after.revision, timeout_ms) => response?,
        () = lost_answers.noticed() => return Ok(WatchOutcome::InDoubt),
    };
    if response.at.era != after.era {
        return Ok(WatchOutcome::At(None));
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
    Ok(WatchOutcome::At(Some(at)))
}

/// Reduces a timeout by a random share; `jitter` is from 0 up to 1.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn jittered(timeout_ms: u64, jitter: f64) -> u64 {
    (timeout_ms as f64 * (1.0 - WATCH_TIMEOUT_JITTER * jitter)) as u64
}
