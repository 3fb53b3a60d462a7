//! Continues a broken stream on another engine.

use super::{
    attempt::{self, Found, Work},
    pipeline, IntakeState,
};
use crate::relay::{BrokenStream, Framing, ResumedStream, Resumer};
use carobwheel_core::id::UpstreamId;
use reqwest::header::{HeaderName, HeaderValue};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::oneshot, time};

/// Tokens of the answer that the caller has; the engine goes on behind them.
const RESUME_FROM: HeaderName = HeaderName::from_static("carobwheel-resume-from");

/// A resumer for the stream of `work`, which has been on the engines `tried`.
pub(super) fn resumer(
    shared: &Arc<IntakeState>,
    work: &Arc<Work>,
    tried: Vec<UpstreamId>,
) -> Resumer {
    let shared = Arc::clone(shared);
    let work = Arc::clone(work);
    let tried = Arc::new(Mutex::new(tried));
    Box::new(move |broken| {
        let (reply, resumed) = oneshot::channel();
        let shared = Arc::clone(&shared);
        let work = Arc::clone(&work);
        let tried = Arc::clone(&tried);
        tokio::spawn(async move {
            let found = resume(&shared, &work, &tried, broken).await;
            // The caller may have gone away.
            let _ = reply.send(found);
        });
        resumed
    })
}

async fn resume(
    shared: &Arc<IntakeState>,
    work: &Work,
    tried: &Mutex<Vec<UpstreamId>>,
    broken: BrokenStream,
) -> Option<ResumedStream> {
    let before = lock(tried).clone();
    let after_ms = attempt::may_retry(shared, work, broken.failure, before.len()).await?;
    time::sleep(Duration::from_millis(after_ms)).await;
    let mut rest = work.clone();
    rest.deadline = shared.clock.now().plus(work.call.deadline_ms);
    let from = HeaderValue::from(broken.relayed_tokens);
    rest.headers.insert(RESUME_FROM, from);
    let Found::Place(place) = attempt::place(shared, &rest, &before, broken.charged)
        .await
        .ok()?
    else {
        return None;
    };
    lock(tried).push(place.placed.upstream.clone());
    let head = attempt::dispatch(shared, &rest, &place, true).await.ok()?;
    let is_stream = pipeline::framing(&head.headers) == Framing::Events;
    (head.status == 200 && is_stream).then_some(ResumedStream {
        chunks: head.chunks,
        settling: place.settling,
    })
}

fn lock(tried: &Mutex<Vec<UpstreamId>>) -> MutexGuard<'_, Vec<UpstreamId>> {
    tried.lock().unwrap_or_else(PoisonError::into_inner)
}
