//! Answering watches.

use super::Shared;
use crate::http::{BodyWriter, Ending, Responder};
use crate::lock;
use carobwheel_wire::etcd::{StreamItem, WatchCreateRequest, WatchResponse};
use std::{io, sync::Arc, time::Duration};
use tokio::time::{timeout, Instant};

/// Time between two looks at leases that are over, in milliseconds.
const TICK_MS: u64 = 50;

/// Counts a watch as waiting for as long as it lives.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        lock(&shared.counts).open_watches += 1;
        Self(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.0.counts).open_watches -= 1;
    }
}

/// Sends changes until the caller leaves.
pub(super) async fn answer(
    shared: &Arc<Shared>,
    wanted: WatchCreateRequest,
    responder: Responder,
) -> Ending {
    let _waiting = Waiting::new(shared);
    if shared.is_watch_silent() {
        return futures::future::pending().await;
    }
    let Ok(mut body) = responder.stream("application/json").await else {
        return Ending::Closed;
    };
    match send_changes(shared, wanted, &mut body).await {
        Ok(()) => body.finish().await,
        Err(_) => Ending::Closed,
    }
}

async fn send_changes(
    shared: &Shared,
    wanted: WatchCreateRequest,
    body: &mut BodyWriter,
) -> io::Result<()> {
    let (header, compacted) = {
        let state = shared.state();
        (state.header(), state.compacted())
    };
    let created = WatchResponse {
        header,
        created: true,
        ..WatchResponse::default()
    };
    send(body, created).await?;
    if wanted.start_revision > 0 && wanted.start_revision <= compacted {
        let cancelled = WatchResponse {
            header,
            canceled: true,
            compact_revision: compacted,
            ..WatchResponse::default()
        };
        return send(body, cancelled).await;
    }
    let mut next = match wanted.start_revision {
        0 => header.revision + 1,
        start => start,
    };
    let mut revision = shared.revision.subscribe();
    let progress = Duration::from_millis(shared.progress_interval_ms);
    let mut spoke = Instant::now();
    loop {
        revision.borrow_and_update();
        let (header, events) = {
            let state = shared.state();
            (
                state.header(),
                state.events(&wanted.key, &wanted.range_end, next),
            )
        };
        let is_progress_due = wanted.progress_notify && spoke.elapsed() >= progress;
        let is_silent = shared.is_watch_silent();
        if !is_silent && (!events.is_empty() || is_progress_due) {
            next = next.max(header.revision + 1);
            spoke = Instant::now();
            let changes = WatchResponse {
                header,
                events,
                ..WatchResponse::default()
            };
            send(body, changes).await?;
        }
        if timeout(Duration::from_millis(TICK_MS), revision.changed())
            .await
            .is_err()
        {
            shared.settle();
        }
    }
}

async fn send(body: &mut BodyWriter, message: WatchResponse) -> io::Result<()> {
    let mut line = serde_json::to_vec(&StreamItem::Result(message)).map_err(io::Error::other)?;
    line.push(b'\n');
    body.send(&line).await
}
