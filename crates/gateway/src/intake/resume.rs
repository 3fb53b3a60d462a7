//! Continuation of a broken stream on another engine.

use super::{
    attempt::{self, ClassifiedRequest, Destination},
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

/// Header with the number of tokens that the caller already has; the engine continues after them.
const RESUME_FROM: HeaderName = HeaderName::from_static("carobwheel-resume-from");

/// Returns a resumer for the stream of `classified`, which the engines `tried` have already served.
pub(super) fn resumer(
    shared: &Arc<IntakeState>,
    classified: &Arc<ClassifiedRequest>,
    tried: Vec<UpstreamId>,
) -> Resumer {
    let shared = Arc::clone(shared);
    let classified = Arc::clone(classified);
    let tried = Arc::new(Mutex::new(tried));
    Box::new(move |broken| {
        let (reply, resumed) = oneshot::channel();
        let shared = Arc::clone(&shared);
        let classified = Arc::clone(&classified);
        let tried = Arc::clone(&tried);
        tokio::spawn(async move {
            let continuation = resume(&shared, &classified, &tried, broken).await;
            // The caller may have disconnected.
            let _ = reply.send(continuation);
        });
        resumed
    })
}

async fn resume(
    shared: &Arc<IntakeState>,
    classified: &ClassifiedRequest,
    tried: &Mutex<Vec<UpstreamId>>,
    broken: BrokenStream,
) -> Option<ResumedStream> {
    let tried_before = lock(tried).clone();
    let is_before_output = broken.relayed_tokens == 0;
    let after_ms = attempt::retry_delay_ms(
        shared,
        classified,
        broken.failure,
        is_before_output,
        tried_before.len(),
    )
    .await?;
    time::sleep(Duration::from_millis(after_ms)).await;
    let mut remaining = classified.clone();
    remaining.deadline = shared
        .clock
        .now()
        .plus(classified.classification.deadline_ms);
    let from = HeaderValue::from(broken.relayed_tokens);
    remaining.headers.insert(RESUME_FROM, from);
    let Destination::Upstream(placement) =
        attempt::place(shared, &remaining, &tried_before, broken.charge_guard)
            .await
            .ok()?
    else {
        return None;
    };
    lock(tried).push(placement.placed.upstream.clone());
    let head = attempt::dispatch(shared, &remaining, &placement, true)
        .await
        .ok()?;
    let is_stream = pipeline::framing(&head.headers) == Framing::Events;
    (head.status == 200 && is_stream).then_some(ResumedStream {
        chunks: head.chunks,
        placement_guard: placement.placement_guard,
    })
}

fn lock(tried: &Mutex<Vec<UpstreamId>>) -> MutexGuard<'_, Vec<UpstreamId>> {
    tried.lock().unwrap_or_else(PoisonError::into_inner)
}
