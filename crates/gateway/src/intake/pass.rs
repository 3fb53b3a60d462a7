//! The way of one request through the filters.

use super::{
    answer::{Answer, AnswerBody},
    body, classify,
    gather::gather,
    head::RequestHead,
    upstream_headers, Shared,
};
use crate::{
    decide::{Ask, Ending, Event, Placed, RetryQuestion},
    dispatch::{ExchangeError, Head, Job},
    in_flight::Running,
    in_force::InForce,
    refusal::{Cause, Refusal, Run},
    relay::{Framing, RelayBody, Settling},
};
use bytes::Bytes;
use carobwheel_core::{
    id::{RequestId, UpstreamId},
    identity::{Caller, IdentityRefusal},
    retry::{Decision, Failure},
    route::Hops,
    time::Millis,
};
use reqwest::header::HeaderMap;
use rocket::{Data, Request};
use std::{sync::Arc, time::Duration};
use tokio::{sync::oneshot, time};
use tokio_util::sync::CancellationToken;

/// Headers of an upstream's answer that are passed on to callers.
const PASSED_BACK: [&str; 6] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "retry-after",
];

/// The document in force.
pub(super) fn in_force(shared: &Shared) -> Result<Arc<InForce>, Refusal> {
    shared
        .current
        .load()
        .ok_or_else(|| Refusal::not_run(Cause::NotReady, "no configuration yet").retry_after(1_000))
}

/// The account behind `key`.
pub(super) fn identify(
    in_force: &InForce,
    key: Option<&str>,
    is_open: bool,
) -> Result<Caller, Refusal> {
    in_force
        .keys
        .identify(key)
        .admit(is_open)
        .map_err(|refusal: IdentityRefusal| {
            Refusal::not_run(Cause::InvalidKey, refusal.to_string())
        })
}

/// A request that has been read and classified.
struct Work<'a> {
    request_id: &'a RequestId,
    request: &'a Request<'a>,
    head: RequestHead,
    body: Bytes,
    caller: Caller,
    call: classify::Call,
    deadline: Millis,
    hops: Hops,
}

/// Takes a request from its head to the beginning of its answer.
pub(super) async fn relay(
    shared: &Arc<Shared>,
    request_id: &RequestId,
    request: &Request<'_>,
    head: RequestHead,
    data: Data<'_>,
    running: Running,
) -> Result<Answer, Refusal> {
    let in_force = in_force(shared)?;
    // A caller without a valid key learns nothing about which paths there are.
    let way = classify::way(&in_force.document, &head);
    let is_open = matches!(&way, Ok(classify::Way::Route(route)) if route.open);
    let caller = identify(&in_force, head.key.as_deref(), is_open)?;
    let way = way?;
    let max_body_bytes = in_force.document.policy.max_body_bytes;
    let held = body::read(shared, data, head.length, max_body_bytes).await?;
    upstream_headers::check_key_places(request, &head, &held.bytes)?;
    let account = match &caller {
        Caller::Account(credential) => in_force.document.account(&credential.account),
        Caller::Open => None,
    };
    let call = classify::call(&in_force.document, way, account, &held.bytes)?;
    let hops = Hops::default()
        .arrive(&shared.instance)
        .map_err(|fault| Refusal::not_run(Cause::InvalidRequest, fault.to_string()))?;
    let deadline = shared.clock.now().plus(call.deadline_ms);
    let work = Work {
        request_id,
        request,
        head,
        body: held.bytes.clone(),
        caller,
        call,
        deadline,
        hops,
    };
    try_upstreams(shared, &work, running).await
}

/// Places and dispatches the request, again where that is allowed.
async fn try_upstreams(
    shared: &Arc<Shared>,
    work: &Work<'_>,
    running: Running,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    loop {
        let placed = place(shared, work, &tried).await?;
        let cancel = CancellationToken::new();
        let mut settling = Settling::new(placed.ticket, shared.decide.clone(), cancel.clone());
        let exchange = dispatch(shared, work, &placed, &tried, cancel).await;
        let (failure, refusal) = match exchange {
            Ok(head) => match retried_status(head.status, work.call.idempotent) {
                None => return answer(head, settling, running).await,
                Some(failure) => (failure, upstream_refusal(head.status)),
            },
            Err(err) => (err.failure(), refusal_of(&err)),
        };
        settling.settle(Ending::Failed(failure));
        tried.push(placed.upstream);
        let after_ms = may_retry(shared, work, failure, tried.len())
            .await
            .ok_or(refusal)?;
        time::sleep(Duration::from_millis(after_ms)).await;
    }
}

/// How an answer counts that another upstream may give better; none if it is passed on.
fn retried_status(status: u16, is_idempotent: bool) -> Option<Failure> {
    match status {
        429 | 503 if is_idempotent => Some(Failure::RefusedNotRun),
        500 | 502 | 504 if is_idempotent => Some(Failure::UpstreamError),
        _ => None,
    }
}

fn upstream_refusal(status: u16) -> Refusal {
    let message = format!("the upstream answered with status {status}");
    match status {
        429 | 503 => Refusal::not_run(Cause::Overloaded, message).retry_after(1_000),
        _ => Refusal {
            run: Run::Ran,
            ..Refusal::may_have_run(Cause::UpstreamFailed, message)
        },
    }
}

/// Time after which the request is tried again, in milliseconds; none if it is not.
async fn may_retry(
    shared: &Shared,
    work: &Work<'_>,
    failure: Failure,
    attempts: usize,
) -> Option<u64> {
    let (reply, decision) = oneshot::channel();
    let question = RetryQuestion {
        idempotent: work.call.idempotent,
        failure,
        attempts: u32::try_from(attempts).unwrap_or(u32::MAX),
        deadline: work.deadline,
        reply,
    };
    shared
        .decide
        .try_send(Event::MayRetry(Box::new(question)))
        .ok()?;
    match decision.await.ok()? {
        Decision::Retry { after_ms } => Some(after_ms),
        Decision::GiveUp(_) => None,
    }
}

async fn place(shared: &Shared, work: &Work<'_>, tried: &[UpstreamId]) -> Result<Placed, Refusal> {
    let (reply, decision) = oneshot::channel();
    let call = &work.call;
    let ask = Ask {
        request: work.request_id.clone(),
        caller: work.caller.clone(),
        target: call.target.clone(),
        prompt_tokens: call.prompt_tokens,
        max_output_tokens: call.max_output_tokens,
        prefix: call.prefix.clone(),
        bound_region: call.bound_region.clone(),
        idempotent: call.idempotent,
        deadline: work.deadline,
        tried: tried.to_vec(),
        hops: work.hops.clone(),
        reply,
    };
    shared
        .decide
        .try_send(Event::Ask(Box::new(ask)))
        .map_err(|_| overloaded("this instance is overloaded"))?;
    let remaining_ms = work.deadline.since(shared.clock.now());
    time::timeout(Duration::from_millis(remaining_ms), decision)
        .await
        .map_err(|_| overloaded("no upstream had room in time"))?
        .map_err(|_| overloaded("this instance is stopping"))?
}

fn overloaded(message: &str) -> Refusal {
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}

async fn dispatch(
    shared: &Shared,
    work: &Work<'_>,
    placed: &Placed,
    tried: &[UpstreamId],
    cancel: CancellationToken,
) -> Result<Head, ExchangeError> {
    let credential = shared.credentials.get(&placed.upstream);
    let (reply, answered) = oneshot::channel();
    let method = work.head.method.as_str();
    let job = Job {
        method: method.parse().unwrap_or(reqwest::Method::POST),
        url: format!(
            "{}{}",
            placed.url,
            upstream_headers::path_and_query(&work.head)
        ),
        headers: upstream_headers::headers(
            work.request,
            work.request_id,
            placed.priority,
            credential.map(String::as_str),
        ),
        body: work.body.clone(),
        fresh_connection: !work.call.idempotent || !tried.is_empty(),
        head_timeout: Duration::from_millis(work.deadline.since(shared.clock.now())),
        cancel,
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

fn refusal_of(err: &ExchangeError) -> Refusal {
    match err {
        ExchangeError::NotConnected(_) => {
            Refusal::not_run(Cause::NoUpstream, err.to_string()).retry_after(1_000)
        }
        ExchangeError::Timeout => Refusal::may_have_run(Cause::UpstreamTimeout, err.to_string()),
        ExchangeError::Broken(_) | ExchangeError::Cancelled => {
            Refusal::may_have_run(Cause::UpstreamFailed, err.to_string())
        }
    }
}

/// Turns an upstream's head into the answer for the caller.
async fn answer(head: Head, settling: Settling, running: Running) -> Result<Answer, Refusal> {
    let framing = framing(&head.headers);
    let body = if framing == Framing::Events {
        AnswerBody::Stream(RelayBody::new(head.chunks, framing, settling, running))
    } else {
        gather(head.chunks, framing, settling, running).await?
    };
    Ok(Answer {
        status: head.status,
        headers: passed_back(&head.headers),
        run: Run::Ran,
        body,
    })
}

fn framing(headers: &HeaderMap) -> Framing {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("content-type").is_some_and(|value| value.starts_with("text/event-stream")) {
        return Framing::Events;
    }
    match text("content-length").and_then(|value| value.parse().ok()) {
        Some(length_bytes) => Framing::Length(length_bytes),
        None => Framing::Chunked,
    }
}

fn passed_back(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    PASSED_BACK
        .into_iter()
        .filter_map(|name| {
            let value = headers.get(name)?.to_str().ok()?;
            Some((name, value.to_owned()))
        })
        .collect()
}
