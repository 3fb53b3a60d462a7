//! Watches on keys, which survive lost connections.

use super::{
    call::{connection_error, Connection},
    CallKind, KeyRange, Snapshot, StoreClient, StoreError, StoredRecord,
};
use carobwheel_wire::etcd::{
    EventKind, StreamItem, WatchCreateRequest, WatchRequest, WatchResponse, WATCH_PATH,
};
use futures::Stream;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Maximum length of a line of a watch's response, in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;
/// Random share of the idle timeout, so that the fleet does not reconnect all at once.
const IDLE_TIMEOUT_JITTER: f64 = 0.25;
/// Half of the maximum reconnect delay after the first lost connection, in milliseconds.
const BASE_RECONNECT_DELAY_MS: u64 = 100;
/// Maximum number of times that the reconnect delay is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(StoredRecord),
    /// The key was deleted, or its lease expired.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        revision: i64,
    },
}

/// Update reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchUpdate {
    /// Keys changed. The changes are in the order of their revisions.
    Changes(Vec<Change>),
    /// Changes can no longer be reported one by one; this is the current state of all keys.
    Reset(Snapshot),
    /// The watch has lost its connection and will reconnect.
    Lost(StoreError),
}

/// Open connection of a watch.
struct WatchConnection {
    response: reqwest::Response,
    buffer: Vec<u8>,
    has_received: bool,
}

/// A watch that reconnects after lost and silent connections without missing changes. Dropping it
/// closes its connection.
pub struct Watch {
    client: StoreClient,
    range: KeyRange,
    /// First revision not reported yet; 0 to start at the current one.
    next_revision: i64,
    /// Cluster that the last connection was made to; 0 if unknown.
    cluster_id: u64,
    connection: Option<WatchConnection>,
    is_reset_due: bool,
    /// Consecutive connections lost before the store sent anything but the creation of the watch.
    lost_connections: u32,
}

impl StoreClient {
    /// Watches the keys of `range` from `from_revision` on, or from the current revision if it is 0.
    pub fn watch(&self, range: KeyRange, from_revision: i64) -> Watch {
        Watch {
            client: self.clone(),
            range,
            next_revision: from_revision,
            cluster_id: 0,
            connection: None,
            is_reset_due: false,
            lost_connections: 0,
        }
    }
}

impl Watch {
    /// Returns the first revision that has not been reported yet.
    pub fn next_revision(&self) -> i64 {
        self.next_revision
    }

    /// Waits for the next update. After [`WatchUpdate::Lost`] the next call reconnects after a
    /// delay.
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
                    if self.connection.take().is_some() {
                        self.lost_connections += 1;
                        self.client.record_result(Some(&err));
                    }
                    return WatchUpdate::Lost(err);
                }
            }
        }
    }

    /// Converts the watch into a stream of updates, which never ends.
    pub fn into_stream(self) -> impl Stream<Item = WatchUpdate> {
        futures::stream::unfold(self, |mut watch| async move {
            let update = watch.next().await;
            Some((update, watch))
        })
    }

    async fn step(&mut self) -> Result<Option<WatchUpdate>, StoreError> {
        if self.is_reset_due {
            let snapshot = self.client.read(&self.range).await?;
            self.next_revision = snapshot.revision + 1;
            self.is_reset_due = false;
            return Ok(Some(WatchUpdate::Reset(snapshot)));
        }
        let Some(connection) = &mut self.connection else {
            sleep(Duration::from_millis(self.reconnect_delay_ms())).await;
            self.connection = Some(self.open().await?);
            return Ok(None);
        };
        let read_timeout_ms = match connection.has_received {
            true => idle_timeout_ms(&self.client),
            false => self.client.inner.options.attempt_timeout_ms,
        };
        match timeout(
            Duration::from_millis(read_timeout_ms),
            connection.next_line(),
        )
        .await
        {
            Ok(line) => {
                connection.has_received = true;
                self.apply(parse(&line?)?)
            }
            Err(_) if !connection.has_received => Err(StoreError::Timeout(read_timeout_ms)),
            // Without data, either nothing has changed or the connection is dead. A new connection
            // resumes at the next revision and reports missed changes.
            Err(_) => {
                self.connection = None;
                self.lost_connections = 0;
                Ok(None)
            }
        }
    }

    /// Returns the delay before the next connection, in milliseconds.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn reconnect_delay_ms(&self) -> u64 {
        if self.lost_connections == 0 {
            return 0;
        }
        let max_delay_ms =
            (BASE_RECONNECT_DELAY_MS << self.lost_connections.min(MAX_DOUBLINGS)) as f64;
        (max_delay_ms * (0.5 + 0.5 * self.client.jitter())) as u64
    }

    async fn open(&self) -> Result<WatchConnection, StoreError> {
        self.client.admit(CallKind::Read).await?;
        let (key, range_end) = self.range.bounds();
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key,
                range_end,
                start_revision: self.next_revision,
                progress_notify: true,
            },
        };
        let timeout_ms = self.client.inner.options.attempt_timeout_ms;
        let sending = self.client.send(WATCH_PATH, &request, Connection::Fresh);
        let result = timeout(Duration::from_millis(timeout_ms), sending)
            .await
            .unwrap_or(Err(StoreError::Timeout(timeout_ms)));
        self.client.record_result(result.as_ref().err());
        Ok(WatchConnection {
            response: result?,
            buffer: Vec::new(),
            has_received: false,
        })
    }

    fn apply(&mut self, message: WatchResponse) -> Result<Option<WatchUpdate>, StoreError> {
        let revision = message.header.revision;
        if message.canceled {
            self.connection = None;
            self.is_reset_due = message.compact_revision > 0;
            return if self.is_reset_due {
                Ok(None)
            } else {
                Err(StoreError::Broken(
                    "the store cancelled the watch".to_owned(),
                ))
            };
        }
        if !message.created {
            self.lost_connections = 0;
        }
        if message.created {
            if self.next_revision == 0 {
                self.next_revision = revision + 1;
            }
            let cluster_id = message.header.cluster_id;
            let is_restored = self.cluster_id != 0 && self.cluster_id != cluster_id;
            self.cluster_id = cluster_id;
            // After the store was reset to an earlier revision, it would report nothing until it
            // reached the requested one, and then only what came later.
            if is_restored || revision + 1 < self.next_revision {
                self.connection = None;
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

impl WatchConnection {
    async fn next_line(&mut self) -> Result<Vec<u8>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                return Ok(std::mem::replace(&mut self.buffer, rest));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(StoreError::Malformed(
                    "line of a watch is too long".to_owned(),
                ));
            }
            match self.response.chunk().await.map_err(connection_error)? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None => return Err(StoreError::Broken("the store closed the watch".to_owned())),
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
fn idle_timeout_ms(client: &StoreClient) -> u64 {
    let max_timeout_ms = client.inner.options.watch_idle_timeout_ms as f64;
    (max_timeout_ms * (1.0 - IDLE_TIMEOUT_JITTER * client.jitter())) as u64
}
