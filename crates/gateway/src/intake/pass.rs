//! The way of one request through the filters.

use super::{
    action,
    answer::{Answer, AnswerBody},
    body, classify,
    forward::{self, ForwardedHead},
    gather::gather,
    head::{BodyLength, RequestHead},
    resume, upstream_headers,
    work::{self, Found, Work},
    Shared,
};
use crate::{
    decide::{AttemptOutcome, Destination},
    dispatch::{ExchangeError, Head},
    in_flight::InFlightGuard,
    in_force::ActiveDocument,
    refusal::{run_of_status, Cause, Refusal},
    relay::{Framing, RelayBody, Resumer, Settling},
    report::Label,
};
use carobwheel_core::{
    document::Account,
    id::RequestId,
    identity::{Caller, IdentityRefusal},
    retry::Failure,
    route::Hops,
};
use reqwest::{header::HeaderMap, Method};
use rocket::{Data, Request};
use std::{sync::Arc, time::Duration};
use tokio::time;
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
pub(super) fn in_force(shared: &Shared) -> Result<Arc<ActiveDocument>, Refusal> {
    shared
        .current
        .load()
        .ok_or_else(|| Refusal::not_run(Cause::NotReady, "no configuration yet").retry_after(1_000))
}

/// The account behind `key`.
pub(super) fn identify(
    in_force: &ActiveDocument,
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

/// Takes a request from its head to the beginning of its answer.
pub(super) async fn relay(
    shared: &Arc<Shared>,
    request_id: &RequestId,
    request: &Request<'_>,
    head: RequestHead,
    data: Data<'_>,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let work = read(shared, request_id, request, head, data).await?;
    serve(shared, work, running).await
}

/// The filters place, dispatch and relay.
pub(super) async fn serve(
    shared: &Arc<Shared>,
    work: Work,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    running.trace().set_label(label(&work));
    if work.call.idempotent {
        return try_upstreams(shared, &Arc::new(work), running).await;
    }
    action::run(shared, work, running).await
}

/// Classifies a request that another instance has forwarded, by the document in force here.
pub(super) fn classify_again(
    in_force: &ActiveDocument,
    head: &ForwardedHead,
    caller: &Caller,
    body: &[u8],
) -> Result<classify::Call, Refusal> {
    let document = &in_force.document;
    let path = head.path_and_query.split('?').next().unwrap_or_default();
    let length = BodyLength::Bytes(head.body_bytes);
    let way = classify::way(document, path, &head.method, length)?;
    classify::call(document, way, account_of(in_force, caller), body)
}

fn account_of<'a>(in_force: &'a ActiveDocument, caller: &Caller) -> Option<&'a Account> {
    match caller {
        Caller::Account(credential) => in_force.document.account(&credential.account),
        Caller::Open => None,
    }
}

fn label(work: &Work) -> Label {
    Label {
        account: match &work.caller {
            Caller::Account(credential) => Some(credential.account.clone()),
            Caller::Open => None,
        },
        class: match &work.call.target {
            Destination::Model { class, .. } => Some(class.clone()),
            Destination::Service { .. } => None,
        },
    }
}

/// The filters identify and classify.
async fn read(
    shared: &Arc<Shared>,
    request_id: &RequestId,
    request: &Request<'_>,
    head: RequestHead,
    data: Data<'_>,
) -> Result<Work, Refusal> {
    let in_force = in_force(shared)?;
    // A caller without a valid key learns nothing about which paths there are.
    let way = classify::way(
        &in_force.document,
        &head.path,
        head.method.as_str(),
        head.length,
    );
    let is_open = matches!(&way, Ok(classify::Way::Route(route)) if route.open);
    let caller = identify(&in_force, head.key.as_deref(), is_open)?;
    let way = way?;
    let max_body_bytes = in_force.document.policy.max_body_bytes;
    let held = body::read(shared, data, head.length, max_body_bytes).await?;
    upstream_headers::check_key_places(request, &head, &held.bytes)?;
    let account = account_of(&in_force, &caller);
    let call = classify::call(&in_force.document, way, account, &held.bytes)?;
    let hops = Hops::default()
        .arrive(&shared.instance)
        .map_err(|fault| Refusal::not_run(Cause::InvalidRequest, fault.to_string()))?;
    let method = head.method.as_str().parse();
    Ok(Work {
        request_id: request_id.clone(),
        method: method.unwrap_or(Method::POST),
        path_and_query: upstream_headers::path_and_query(&head),
        headers: upstream_headers::passed(request, request_id),
        body: held.bytes,
        idempotency_key: head.idempotency_key,
        caller,
        deadline: shared.clock.now().plus(call.deadline_ms),
        call,
        hops,
        cancel: CancellationToken::new(),
        _room: Arc::new(held.room),
    })
}

/// Places and dispatches the request, again where that is allowed.
async fn try_upstreams(
    shared: &Arc<Shared>,
    work: &Arc<Work>,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut charged = None;
    loop {
        let is_retry = !tried.is_empty();
        let mut place = match work::place(shared, work, &tried, charged).await? {
            Found::Place(place) => place,
            Found::Forward(to) => return forward::send(shared, work, to, running).await,
        };
        let exchange = work::dispatch(shared, work, &place, is_retry).await;
        let (failure, refusal) = match exchange {
            Ok(head) => match retried_status(head.status) {
                None => {
                    tried.push(place.placed.upstream);
                    let resumer = resume::resumer(shared, work, tried);
                    return answer(head, place.settling, running, Some(resumer)).await;
                }
                Some(failure) => (failure, upstream_refusal(head.status)),
            },
            Err(err) => (err.failure(), refusal_of(&err)),
        };
        charged = place.settling.take_charge();
        place.settling.settle(AttemptOutcome::Failed(failure));
        tried.push(place.placed.upstream);
        let after_ms = work::may_retry(shared, work, failure, tried.len())
            .await
            .ok_or(refusal)?;
        time::sleep(Duration::from_millis(after_ms)).await;
    }
}

/// How an answer counts that another upstream may give better; none if it is passed on.
fn retried_status(status: u16) -> Option<Failure> {
    match status {
        429 | 503 => Some(Failure::RefusedNotRun),
        500 | 502 | 504 => Some(Failure::UpstreamError),
        _ => None,
    }
}

fn upstream_refusal(status: u16) -> Refusal {
    let message = format!("the upstream answered with status {status}");
    match status {
        429 | 503 => Refusal::not_run(Cause::Overloaded, message).retry_after(1_000),
        _ => Refusal::may_have_run(Cause::UpstreamFailed, message),
    }
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
pub(super) async fn answer(
    head: Head,
    settling: Settling,
    running: InFlightGuard,
    resumer: Option<Resumer>,
) -> Result<Answer, Refusal> {
    let framing = framing(&head.headers);
    let body = if framing == Framing::Events {
        let relayed = RelayBody::new(head.chunks, framing, settling, running, resumer);
        AnswerBody::Stream(Box::new(relayed))
    } else {
        gather(head.chunks, framing, settling, running).await?
    };
    Ok(Answer {
        status: head.status,
        headers: passed_back(&head.headers),
        run: run_of_status(head.status),
        body,
    })
}

/// How the end of an answer with these headers is recognised.
pub(super) fn framing(headers: &HeaderMap) -> Framing {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("content-type").is_some_and(|value| value.starts_with("text/event-stream")) {
        return Framing::Events;
    }
    match text("content-length").and_then(|value| value.parse().ok()) {
        Some(length_bytes) => Framing::Length(length_bytes),
        None => Framing::Unknown,
    }
}

/// Headers of an upstream's answer for the caller.
pub(super) fn passed_back(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    PASSED_BACK
        .into_iter()
        .filter_map(|name| {
            let value = headers.get(name)?.to_str().ok()?;
            Some((name, value.to_owned()))
        })
        .collect()
}
