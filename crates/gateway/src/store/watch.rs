//! Watches.

use super::{
    call::{broken, Connection},
    CallKind, KeyRange, Snapshot, StoreClient, StoreError, StoredRecord,
};
use carobwheel_wire::etcd::{
    EventKind, StreamItem, WatchCreateRequest, WatchRequest, WatchResponse, WATCH_PATH,
};
use futures::Stream;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Longest line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;
/// Part of the idle deadline that is spread at random, so that the fleet does not reopen at once.
const IDLE_SPREAD: f64 = 0.25;
/// Half of the longest pause after the first lost connection, in milliseconds.
const FIRST_PAUSE_MS: u64 = 100;
/// Doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 6;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(StoredRecord),
    /// The key was deleted, or its lease has expired.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: i64,
    },
}

/// What a watch has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// Keys changed, in the order of their revisions.
    Changes(Vec<Change>),
    /// Changes were missed for good; this is how the keys stand now.
    Reset(Snapshot),
    /// The watch has no connection and goes on trying.
    Lost(StoreError),
}

/// An open connection of a watch.
struct Link {
    response: reqwest::Response,
    buffer: Vec<u8>,
    has_spoken: bool,
}

/// A watch that goes on over lost and silent connections. Dropping it closes its connection.
pub struct Watch {
    client: StoreClient,
    scope: KeyRange,
    /// First revision that has not been reported; 0 for changes from now on.
    next_revision: i64,
    link: Option<Link>,
    is_reset_due: bool,
    /// Connections lost in a row without news from the store.
    losses: u32,
}

impl StoreClient {
    /// Watches the keys of `scope` from `from_revision` on; 0 stands for changes from now on.
    pub fn watch(&self, scope: KeyRange, from_revision: i64) -> Watch {
        Watch {
            client: self.clone(),
            scope,
            next_revision: from_revision,
            link: None,
            is_reset_due: false,
            losses: 0,
        }
    }
}

impl Watch {
    /// First revision that has not been reported yet.
    pub fn next_revision(&self) -> i64 {
        self.next_revision
    }

    /// Waits for the next update. After [`WatchUpdate::Lost`] the next call tries again, in its
    /// time.
    pub async fn next(&mut self) -> WatchUpdate {
        loop {
            match self.step().await {
                Ok(Some(update)) => return update,
                Ok(None) => {}
                Err(
                    StoreError::BackingOff { retry_after_ms }
                    | StoreError::OverBudget { retry_after_ms },
                ) => {
                    sleep(Duration::from_millis(retry_after_ms)).await;
                }
                Err(err) => {
                    if self.link.take().is_some() {
                        self.losses += 1;
                        self.client.note(Some(&err));
                    }
                    return WatchUpdate::Lost(err);
                }
            }
        }
    }

    /// The updates as a stream that never ends.
    pub fn into_stream(self) -> impl Stream<Item = WatchUpdate> {
        futures::stream::unfold(self, |mut watch| async move {
            let update = watch.next().await;
            Some((update, watch))
        })
    }

    async fn step(&mut self) -> Result<Option<WatchUpdate>, StoreError> {
        if self.is_reset_due {
            let snapshot = self.client.read(&self.scope).await?;
            self.next_revision = snapshot.revision + 1;
            self.is_reset_due = false;
            return Ok(Some(WatchUpdate::Reset(snapshot)));
        }
        let Some(link) = &mut self.link else {
            sleep(Duration::from_millis(self.pause_ms())).await;
            self.link = Some(self.open().await?);
            return Ok(None);
        };
        let silence_ms = match link.has_spoken {
            true => watch_idle_timeout_ms(&self.client),
            false => self.client.inner.options.attempt_timeout_ms,
        };
        match timeout(Duration::from_millis(silence_ms), link.next_line()).await {
            Ok(line) => {
                link.has_spoken = true;
                self.take(parse(&line?)?)
            }
            Err(_) if !link.has_spoken => Err(StoreError::Timeout(silence_ms)),
            // Silence means either that nothing changes or that the connection is dead. A new one
            // tells, and reports what was missed.
            Err(_) => {
                self.link = None;
                self.losses = 0;
                Ok(None)
            }
        }
    }

    /// Time to wait before the next connection, in milliseconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn pause_ms(&self) -> u64 {
        if self.losses == 0 {
            return 0;
        }
        let longest_ms = (FIRST_PAUSE_MS << self.losses.min(MAX_DOUBLINGS)) as f64;
        (longest_ms * (0.5 + 0.5 * self.client.jitter())) as u64
    }

    async fn open(&self) -> Result<Link, StoreError> {
        self.client.admit(CallKind::Read).await?;
        let (key, range_end) = self.scope.bounds();
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key,
                range_end,
                start_revision: self.next_revision,
                progress_notify: true,
            },
        };
        let deadline_ms = self.client.inner.options.attempt_timeout_ms;
        let sending = self.client.send(WATCH_PATH, &request, Connection::Fresh);
        let result = timeout(Duration::from_millis(deadline_ms), sending)
            .await
            .unwrap_or(Err(StoreError::Timeout(deadline_ms)));
        self.client.note(result.as_ref().err());
        Ok(Link {
            response: result?,
            buffer: Vec::new(),
            has_spoken: false,
        })
    }

    fn take(&mut self, message: WatchResponse) -> Result<Option<WatchUpdate>, StoreError> {
        let revision = message.header.revision;
        if message.canceled {
            self.link = None;
            self.is_reset_due = message.compact_revision > 0;
            return if self.is_reset_due {
                Ok(None)
            } else {
                Err(StoreError::Broken(
                    "the store has ended the watch".to_owned(),
                ))
            };
        }
        if !message.created {
            self.losses = 0;
        }
        if message.created {
            if self.next_revision == 0 {
                self.next_revision = revision + 1;
            }
            // A store that has gone back to an earlier revision would keep silent for long.
            if revision + 1 < self.next_revision {
                self.link = None;
                self.is_reset_due = true;
            }
        } else if message.events.is_empty() {
            self.next_revision = self.next_revision.max(revision + 1);
        }
        let mut changes = Vec::with_capacity(message.events.len());
        let first = self.next_revision;
        for event in message.events {
            let revision = event.kv.mod_revision;
            if revision < first {
                continue;
            }
            self.next_revision = self.next_revision.max(revision + 1);
            changes.push(match event.kind {
                EventKind::Put => Change::Put(StoredRecord::new(event.kv)),
                EventKind::Delete => Change::Deleted {
                    key: String::from_utf8_lossy(&event.kv.key).into_owned(),
                    revision,
                },
            });
        }
        if changes.is_empty() {
            return Ok(None);
        }
        Ok(Some(WatchUpdate::Changes(changes)))
    }
}

impl Link {
    async fn next_line(&mut self) -> Result<Vec<u8>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                return Ok(std::mem::replace(&mut self.buffer, rest));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(StoreError::Malformed("endless line in a watch".to_owned()));
            }
            match self.response.chunk().await.map_err(broken)? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None => return Err(StoreError::Broken("the watch has ended".to_owned())),
            }
        }
    }
}

fn parse(line: &[u8]) -> Result<WatchResponse, StoreError> {
    match serde_json::from_slice(line) {
        Ok(StreamItem::Result(message)) => Ok(message),
        Ok(StreamItem::Error(err)) => Err(StoreError::Broken(err.message)),
        Err(err) => Err(StoreError::Malformed(err.to_string())),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn watch_idle_timeout_ms(client: &StoreClient) -> u64 {
    let longest_ms = client.inner.options.watch_idle_timeout_ms as f64;
    (longest_ms * (1.0 - IDLE_SPREAD * client.jitter())) as u64
}
