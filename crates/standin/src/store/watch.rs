//! Streaming answers of watches.

use super::Shared;
use crate::http::{BodyWriter, ConnectionState, Responder};
use crate::lock;
use carobwheel_wire::etcd::{StreamItem, WatchCreateRequest, WatchResponse};
use std::{io, sync::Arc, time::Duration};
use tokio::time::{timeout, Instant};

/// Interval at which an open watch checks for expired leases, in milliseconds.
const LEASE_CHECK_INTERVAL_MS: u64 = 50;

/// Counts a watch as open until it is dropped.
struct OpenWatchGuard<'a>(&'a Shared);

impl<'a> OpenWatchGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        lock(&shared.counts).open_watches += 1;
        Self(shared)
    }
}

impl Drop for OpenWatchGuard<'_> {
    fn drop(&mut self) {
        lock(&self.0.counts).open_watches -= 1;
    }
}

/// Sends changes until the caller disconnects.
pub(super) async fn answer(
    shared: &Arc<Shared>,
    request: WatchCreateRequest,
    responder: Responder,
) -> ConnectionState {
    let _guard = OpenWatchGuard::new(shared);
    if shared.is_watch_silent() {
        return futures::future::pending().await;
    }
    let Ok(mut body) = responder.start_stream("application/json").await else {
        return ConnectionState::Closed;
    };
    match send_changes(shared, request, &mut body).await {
        Ok(()) => body.finish().await,
        Err(_) => ConnectionState::Closed,
    }
}

async fn send_changes(
    shared: &Shared,
    request: WatchCreateRequest,
    body: &mut BodyWriter,
) -> io::Result<()> {
    let (header, compact_revision) = {
        let state = shared.state();
        (state.header(), state.compact_revision())
    };
    let created = WatchResponse {
        header,
        created: true,
        ..WatchResponse::default()
    };
    send(body, created).await?;
    if request.start_revision > 0 && request.start_revision <= compact_revision {
        let canceled = WatchResponse {
            header,
            canceled: true,
            compact_revision,
            ..WatchResponse::default()
        };
        return send(body, canceled).await;
    }
    let cluster_id = header.cluster_id;
    let mut next_revision = match request.start_revision {
        0 => header.revision + 1,
        start => start,
    };
    let mut revision = shared.revision.subscribe();
    let progress_interval = Duration::from_millis(shared.progress_interval_ms);
    let mut last_sent = Instant::now();
    loop {
        revision.borrow_and_update();
        let (header, events) = {
            let state = shared.state();
            (
                state.header(),
                state.events(&request.key, &request.range_end, next_revision),
            )
        };
        if header.cluster_id != cluster_id {
            let reason = "the store was restored";
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason));
        }
        let is_progress_due = request.progress_notify && last_sent.elapsed() >= progress_interval;
        let is_silent = shared.is_watch_silent();
        if !is_silent && (!events.is_empty() || is_progress_due) {
            next_revision = next_revision.max(header.revision + 1);
            last_sent = Instant::now();
            let changes = WatchResponse {
                header,
                events,
                ..WatchResponse::default()
            };
            send(body, changes).await?;
        }
        if timeout(
            Duration::from_millis(LEASE_CHECK_INTERVAL_MS),
            revision.changed(),
        )
        .await
        .is_err()
        {
            shared.expire_and_notify();
        }
    }
}

async fn send(body: &mut BodyWriter, message: WatchResponse) -> io::Result<()> {
    let mut line = serde_json::to_vec(&StreamItem::Result(message)).map_err(io::Error::other)?;
    line.push(b'\n');
    body.send(&line).await
}
