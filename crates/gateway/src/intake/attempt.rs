//! Attempts of a classified request: placement, dispatch and the question whether to retry.

use super::{buffer::Buffering, classify, upstream_headers, IntakeState};
use crate::{
    decide::{Assignment, Event, NextHop, PlacementDecision, PlacementRequest, RetryRequest},
    dispatch::{AnswerHead, ExchangeError, UpstreamCall},
    refusal::{Cause, Refusal},
    relay::{ChargeGuard, PlacementGuard},
};
use bytes::Bytes;
use carobwheel_core::{
    id::{RequestId, UpstreamId},
    identity::Caller,
    limit::ChargeId,
    memory::Owner,
    retry::{Decision, Failure},
    route::Hops,
    time::Millis,
    upstream_limit::{parse_rate, InvalidRate, News},
};
use reqwest::{header::HeaderMap, Method};
use std::{
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::{sync::oneshot, time};
use tokio_util::sync::CancellationToken;

/// Response header of an upstream with the requests a second that it takes from all instances.
const RATE_LIMIT_HEADER: &str = "x-requests-per-second";
/// Response header with `1` by which an upstream states that it is about to stop and takes no new
/// requests.
const LEAVING_HEADER: &str = "x-leaving";

/// A request that has been read and classified.
#[derive(Clone)]
pub(super) struct ClassifiedRequest {
    pub(super) request_id: RequestId,
    pub(super) method: Method,
    pub(super) path_and_query: String,
    /// Headers on the allow-list for upstreams.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) idempotency_key: Option<String>,
    pub(super) caller: Caller,
    pub(super) classification: classify::Classification,
    pub(super) deadline: Millis,
    pub(super) hops: Hops,
    /// Number of attempts whose connection broke before their first output.
    pub(super) engine_ends: Arc<AtomicU32>,
    /// Cancels the request and each of its exchanges.
    pub(super) cancel: CancellationToken,
    /// Owner of the request's memory.
    pub(super) owner: Owner,
}

/// Placement of a request at an upstream, released when it is dropped.
pub(super) struct Placement {
    pub(super) placed: Assignment,
    pub(super) placement_guard: PlacementGuard,
    /// Cancels the exchange of this placement.
    pub(super) cancel: CancellationToken,
}

/// Destination of a request.
pub(super) enum Destination {
    /// An upstream.
    Upstream(Placement),
    /// Another instance, to which the request is forwarded.
    Instance(NextHop),
}

/// Requests a placement at an upstream that is not in `tried`. `charge_guard` holds the charge of
/// an earlier attempt.
pub(super) async fn place(
    shared: &IntakeState,
    classified: &ClassifiedRequest,
    tried: &[UpstreamId],
    charge_guard: Option<ChargeGuard>,
) -> Result<Destination, Refusal> {
    let step = request_decision(
        shared,
        classified,
        tried,
        charge_guard.as_ref().map(ChargeGuard::id),
    )
    .await?;
    let placed = match step {
        PlacementDecision::Dispatch(placed) => placed,
        PlacementDecision::Forward(to) => return Ok(Destination::Instance(to)),
    };
    let charge_guard = charge_guard.or_else(|| {
        let charge = placed.charge?;
        Some(ChargeGuard::new(charge, shared.decide.clone()))
    });
    let cancel = classified.cancel.child_token();
    let decide = shared.decide.clone();
    Ok(Destination::Upstream(Placement {
        placement_guard: PlacementGuard::new(placed.ticket, charge_guard, decide, cancel.clone()),
        placed,
        cancel,
    }))
}

async fn request_decision(
    shared: &IntakeState,
    classified: &ClassifiedRequest,
    tried: &[UpstreamId],
    charge: Option<ChargeId>,
) -> Result<PlacementDecision, Refusal> {
    let (reply, decision) = oneshot::channel();
    let classification = &classified.classification;
    let request = PlacementRequest {
        id: classified.request_id.clone(),
        caller: classified.caller.clone(),
        target: classification.target.clone(),
        prompt_tokens: classification.prompt_tokens,
        max_output_tokens: classification.max_output_tokens,
        prefix: classification.prefix.clone(),
        parts: Arc::clone(&classification.parts),
        waits_until: None,
        bound_region: classification.bound_region.clone(),
        idempotent: classification.idempotent,
        deadline: classified.deadline,
        tried: tried.to_vec(),
        hops: classified.hops.clone(),
        charge,
        cancel: classified.cancel.clone(),
        reply,
    };
    shared
        .decide
        .try_send(Event::Place(Box::new(request)))
        .map_err(|_| overloaded("this instance is overloaded"))?;
    time::timeout(remaining_time(shared, classified), decision)
        .await
        .map_err(|_| overloaded("no upstream had room in time"))?
        .map_err(|_| overloaded("this instance is stopping"))?
}

fn overloaded(message: &str) -> Refusal {
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}

fn remaining_time(shared: &IntakeState, classified: &ClassifiedRequest) -> Duration {
    Duration::from_millis(classified.deadline.since(shared.clock.now()))
}

/// Limits of a buffered answer to the request.
pub(super) fn buffering<'a>(
    shared: &'a IntakeState,
    classified: &'a ClassifiedRequest,
) -> Buffering<'a> {
    Buffering {
        deadline: time::Instant::now() + remaining_time(shared, classified),
        memory: &shared.memory,
        owner: &classified.owner,
    }
}

/// Sends the request to the upstream of its placement.
pub(super) async fn dispatch(
    shared: &IntakeState,
    classified: &ClassifiedRequest,
    placement: &Placement,
    fresh_connection: bool,
) -> Result<AnswerHead, ExchangeError> {
    let placed = &placement.placed;
    let credential = shared.credentials.get(&placed.upstream);
    let (reply, answered) = oneshot::channel();
    let call = UpstreamCall {
        method: classified.method.clone(),
        url: format!("{}{}", placed.url, classified.path_and_query),
        headers: upstream_headers::for_upstream(&classified.headers, placed.priority, credential),
        body: classified.body.clone(),
        fresh_connection,
        send_before: placed.send_before,
        head_timeout: remaining_time(shared, classified),
        cancel: placement.cancel.clone(),
        memory: Arc::clone(&shared.memory),
        owner: classified.owner.clone(),
        reply,
    };
    shared
        .dispatch
        .try_send(call)
        .map_err(|_| ExchangeError::NotSent("the dispatching ring is full"))?;
    let exchange = answered
        .await
        .unwrap_or_else(|_| Err(ExchangeError::Cancelled));
    if let Ok(head) = &exchange {
        report_limit(shared, placed, head);
        report_leaving(shared, placed, head);
    }
    exchange
}

/// Reports what a response states about its upstream's limit.
fn report_limit(shared: &IntakeState, placed: &Assignment, head: &AnswerHead) {
    let news = match head.headers.get(RATE_LIMIT_HEADER) {
        Some(value) => match value.to_str().map_err(|_| InvalidRate).and_then(parse_rate) {
            Ok(rate) => News::Limited(rate),
            Err(err) => {
                log::warn!(upstream = placed.upstream.as_str(); "limit ignored: {err}");
                return;
            }
        },
        None if (200..300).contains(&head.status) => News::Unlimited,
        // A refusal need not repeat the limit.
        None => return,
    };
    let ticket = placed.ticket;
    if shared
        .decide
        .try_send(Event::LimitNews { ticket, news })
        .is_err()
    {
        log::warn!(upstream = placed.upstream.as_str(); "news of a limit lost: the ring is full");
    }
}

/// Reports that a response states that its upstream is leaving.
fn report_leaving(shared: &IntakeState, placed: &Assignment, head: &AnswerHead) {
    let Some(value) = head.headers.get(LEAVING_HEADER) else {
        return;
    };
    let upstream = placed.upstream.as_str();
    if value.as_bytes() != b"1" {
        log::warn!(upstream; "statement about leaving ignored: {value:?}");
        return;
    }
    let ticket = placed.ticket;
    if shared
        .decide
        .try_send(Event::LeavingNews { ticket })
        .is_err()
    {
        log::warn!(upstream; "news that an upstream is leaving lost: the ring is full");
    }
}

/// Returns the delay before the next attempt, in milliseconds; `None` if there is no retry.
pub(super) async fn retry_delay_ms(
    shared: &IntakeState,
    classified: &ClassifiedRequest,
    failure: Failure,
    is_before_output: bool,
    attempts: usize,
) -> Option<u64> {
    let is_engine_end = is_before_output && failure == Failure::ConnectionLost;
    let engine_ends = classified
        .engine_ends
        .fetch_add(u32::from(is_engine_end), Ordering::Relaxed);
    let (reply, decision) = oneshot::channel();
    let request = RetryRequest {
        id: classified.request_id.clone(),
        parts: Arc::clone(&classified.classification.parts),
        is_before_output,
        engine_ends: engine_ends + u32::from(is_engine_end),
        idempotent: classified.classification.idempotent,
        failure,
        attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        deadline: classified.deadline,
        reply,
    };
    shared
        .decide
        .try_send(Event::Retry(Box::new(request)))
        .ok()?;
    match decision.await.ok()? {
        Decision::Retry { after_ms } => Some(after_ms),
        Decision::GiveUp(_) => None,
    }
}
