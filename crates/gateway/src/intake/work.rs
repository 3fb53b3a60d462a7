//! A request that has been read and classified, and its steps towards an upstream.

use super::{classify, upstream_headers, Shared};
use crate::{
    decide::{Assignment, Event, NextHop, PlacementDecision, PlacementRequest, RetryRequest},
    dispatch::{ExchangeError, Head, Job},
    refusal::{Cause, Refusal},
    relay::{Charged, Settling},
};
use bytes::Bytes;
use carobwheel_core::{
    id::{RequestId, UpstreamId},
    identity::Caller,
    limit::ChargeId,
    retry::{Decision, Failure},
    route::Hops,
    time::Millis,
};
use reqwest::{header::HeaderMap, Method};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::{oneshot, OwnedSemaphorePermit},
    time,
};
use tokio_util::sync::CancellationToken;

/// A request that has been read and classified.
#[derive(Clone)]
pub(super) struct Work {
    pub(super) request_id: RequestId,
    pub(super) method: Method,
    pub(super) path_and_query: String,
    /// Headers that any upstream may see.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) idempotency_key: Option<String>,
    pub(super) caller: Caller,
    pub(super) call: classify::Call,
    pub(super) deadline: Millis,
    pub(super) hops: Hops,
    /// Ends the request and every exchange of it.
    pub(super) cancel: CancellationToken,
    /// Room that the body takes while the request runs.
    pub(super) _room: Arc<OwnedSemaphorePermit>,
}

/// A place at an upstream, given back when it is dropped.
pub(super) struct Place {
    pub(super) placed: Assignment,
    pub(super) settling: Settling,
    /// Ends the exchange on this place.
    pub(super) cancel: CancellationToken,
}

/// Where a request goes.
pub(super) enum Found {
    /// To an upstream.
    Place(Place),
    /// To another instance.
    Forward(NextHop),
}

/// Asks for a place at an upstream that is not among `tried`. `charged` is the charge of an
/// earlier attempt.
pub(super) async fn place(
    shared: &Shared,
    work: &Work,
    tried: &[UpstreamId],
    charged: Option<Charged>,
) -> Result<Found, Refusal> {
    let step = ask(shared, work, tried, charged.as_ref().map(Charged::id)).await?;
    let placed = match step {
        PlacementDecision::Dispatch(placed) => placed,
        PlacementDecision::Forward(to) => return Ok(Found::Forward(to)),
    };
    let charged = charged.or_else(|| {
        let charge = placed.charge?;
        Some(Charged::new(charge, shared.decide.clone()))
    });
    let cancel = work.cancel.child_token();
    let decide = shared.decide.clone();
    Ok(Found::Place(Place {
        settling: Settling::new(placed.ticket, charged, decide, cancel.clone()),
        placed,
        cancel,
    }))
}

async fn ask(
    shared: &Shared,
    work: &Work,
    tried: &[UpstreamId],
    charge: Option<ChargeId>,
) -> Result<PlacementDecision, Refusal> {
    let (reply, decision) = oneshot::channel();
    let call = &work.call;
    let ask = PlacementRequest {
        id: work.request_id.clone(),
        caller: work.caller.clone(),
        destination: call.target.clone(),
        prompt_tokens: call.prompt_tokens,
        max_output_tokens: call.max_output_tokens,
        prefix: call.prefix.clone(),
        bound_region: call.bound_region.clone(),
        idempotent: call.idempotent,
        deadline: work.deadline,
        tried: tried.to_vec(),
        hops: work.hops.clone(),
        charge,
        cancel: work.cancel.clone(),
        reply,
    };
    shared
        .decide
        .try_send(Event::Place(Box::new(ask)))
        .map_err(|_| overloaded("this instance is overloaded"))?;
    time::timeout(remaining(shared, work), decision)
        .await
        .map_err(|_| overloaded("no upstream had room in time"))?
        .map_err(|_| overloaded("this instance is stopping"))?
}

fn overloaded(message: &str) -> Refusal {
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}

fn remaining(shared: &Shared, work: &Work) -> Duration {
    Duration::from_millis(work.deadline.since(shared.clock.now()))
}

/// Sends the request to its place.
pub(super) async fn dispatch(
    shared: &Shared,
    work: &Work,
    place: &Place,
    fresh_connection: bool,
) -> Result<Head, ExchangeError> {
    let placed = &place.placed;
    let credential = shared.credentials.get(&placed.upstream);
    let (reply, answered) = oneshot::channel();
    let job = Job {
        method: work.method.clone(),
        url: format!("{}{}", placed.url, work.path_and_query),
        headers: upstream_headers::for_upstream(&work.headers, placed.priority, credential),
        body: work.body.clone(),
        fresh_connection,
        send_before: placed.send_before,
        head_timeout: remaining(shared, work),
        cancel: place.cancel.clone(),
        reply,
    };
    shared
        .dispatch
        .try_send(job)
        .map_err(|_| ExchangeError::NotConnected("the dispatching ring is full".to_owned()))?;
    answered
        .await
        .unwrap_or_else(|_| Err(ExchangeError::Cancelled))
}

/// Time after which a failed attempt is followed by another, in milliseconds; none if it is not.
pub(super) async fn may_retry(
    shared: &Shared,
    work: &Work,
    failure: Failure,
    attempts: usize,
) -> Option<u64> {
    let (reply, decision) = oneshot::channel();
    let question = RetryRequest {
        idempotent: work.call.idempotent,
        failure,
        attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        deadline: work.deadline,
        reply,
    };
    shared
        .decide
        .try_send(Event::Retry(Box::new(question)))
        .ok()?;
    match decision.await.ok()? {
        Decision::Retry { after_ms } => Some(after_ms),
        Decision::GiveUp(_) => None,
    }
}
