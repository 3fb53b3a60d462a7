//! Stages of one request, from its head to its answer.

use super::{
    action,
    answer::{Answer, AnswerBody},
    attempt::{self, ClassifiedRequest, Destination},
    body,
    buffer::{buffer_answer, Buffering},
    classify::{self, ReadRequest},
    forward::{self, ForwardedHead},
    head::{BodyLength, RequestHead},
    resume, upstream_headers, IntakeState,
};
use crate::{
    caller_memory::Guard,
    decide::{AttemptOutcome, PlacementTarget},
    dispatch::{AnswerHead, ExchangeError},
    front::remote_address,
    in_flight::InFlightGuard,
    in_force::ActiveDocument,
    refusal::{execution_of_status, Cause, Execution, Refusal},
    relay::{Framing, PlacementGuard, RelayBody, Resumer},
    report::Label,
};
use carobwheel_core::{
    document::Account,
    id::RequestId,
    identity::{Caller, IdentityRefusal},
    memory::{Owner, Use},
    retry::Failure,
    route::Hops,
};
use reqwest::{header::HeaderMap, Method};
use rocket::Request;
use std::{net::IpAddr, sync::Arc, time::Duration};
use tokio::time;
use tokio_util::sync::CancellationToken;

/// Headers of an upstream's answer that are relayed to callers.
const RELAYED_HEADERS: [&str; 6] = [
    "cache-control",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "retry-after",
];

/// Returns the document in force.
pub(super) fn in_force(shared: &IntakeState) -> Result<Arc<ActiveDocument>, Refusal> {
    shared
        .current
        .load()
        .ok_or_else(|| Refusal::not_run(Cause::NotReady, "no configuration yet").retry_after(1_000))
}

/// Identifies the caller that presents `key`; `is_open` allows a caller without a key.
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

/// Handles a request from its head to the beginning of its answer.
pub(super) async fn handle(
    shared: &Arc<IntakeState>,
    request_id: &RequestId,
    request: &Request<'_>,
    head: RequestHead,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let classified = read_and_classify(shared, request_id, request, head).await?;
    serve(shared, classified, running).await
}

/// Runs the stages place, dispatch and relay.
pub(super) async fn serve(
    shared: &Arc<IntakeState>,
    classified: ClassifiedRequest,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    running.trace().set_label(label(&classified));
    if classified.classification.idempotent {
        return try_upstreams(shared, &Arc::new(classified), running).await;
    }
    action::run(shared, classified, running).await
}

/// Classifies a forwarded request by the document in force on this instance.
pub(super) fn classify_forwarded(
    shared: &IntakeState,
    in_force: &ActiveDocument,
    head: &ForwardedHead,
    caller: &Caller,
    body: &[u8],
) -> Result<classify::Classification, Refusal> {
    let document = &in_force.document;
    let path = head.path_and_query.split('?').next().unwrap_or_default();
    let length = BodyLength::Bytes(head.body_bytes);
    let endpoint = classify::endpoint(document, path, &head.method, length)?;
    let request = ReadRequest {
        method: &head.method,
        path_and_query: &head.path_and_query,
        body,
    };
    let _parsed = reserve_parsed(shared, &owner_of(caller, None), endpoint, body)?;
    classify::classify(document, endpoint, account_of(in_force, caller), &request)
}

fn account_of<'a>(in_force: &'a ActiveDocument, caller: &Caller) -> Option<&'a Account> {
    match caller {
        Caller::Account(credential) => in_force.document.account(&credential.account),
        Caller::Open => None,
    }
}

/// Returns the owner of the memory of a request.
pub(super) fn owner_of(caller: &Caller, address: Option<IpAddr>) -> Owner {
    Owner {
        account: match caller {
            Caller::Account(credential) => Some(credential.account.as_str().into()),
            Caller::Open => None,
        },
        address,
    }
}

/// Reserves memory for what is parsed from a body, for as long as it is classified.
pub(super) fn reserve_parsed(
    shared: &IntakeState,
    owner: &Owner,
    endpoint: classify::Endpoint<'_>,
    body: &[u8],
) -> Result<Option<Guard>, Refusal> {
    if !matches!(endpoint, classify::Endpoint::Model) {
        return Ok(None);
    }
    let parsed_bytes = classify::parsed_bytes(body);
    let reserved = shared
        .memory
        .reserve(Use::Prompts, owner, body.len(), parsed_bytes);
    reserved.map(Some).map_err(|_| body::no_memory())
}

fn label(classified: &ClassifiedRequest) -> Label {
    Label {
        account: match &classified.caller {
            Caller::Account(credential) => Some(credential.account.clone()),
            Caller::Open => None,
        },
        class: match &classified.classification.target {
            PlacementTarget::Model { class, .. } => Some(class.clone()),
            PlacementTarget::Service { .. } => None,
        },
    }
}

/// Runs the stages identify and classify.
async fn read_and_classify(
    shared: &Arc<IntakeState>,
    request_id: &RequestId,
    request: &Request<'_>,
    head: RequestHead,
) -> Result<ClassifiedRequest, Refusal> {
    let in_force = in_force(shared)?;
    // The error is returned only after identification, so that a caller without a valid key cannot
    // probe which paths exist.
    let endpoint = classify::endpoint(
        &in_force.document,
        &head.path,
        head.method.as_str(),
        head.length,
    );
    let is_open = matches!(&endpoint, Ok(classify::Endpoint::Route(route)) if route.open);
    let caller = identify(&in_force, head.key.as_deref(), is_open)?;
    let endpoint = endpoint?;
    let max_body_bytes = in_force.document.policy.max_body_bytes;
    let owner = owner_of(&caller, remote_address(request));
    let body = body::read(shared, request, owner.clone(), head.length, max_body_bytes).await?;
    upstream_headers::refuse_exposed_key(request, &head, &body)?;
    let account = account_of(&in_force, &caller);
    let path_and_query = upstream_headers::path_and_query(&head);
    let request_read = ReadRequest {
        method: head.method.as_str(),
        path_and_query: &path_and_query,
        body: &body,
    };
    let _parsed = reserve_parsed(shared, &owner, endpoint, &body)?;
    let classification = classify::classify(&in_force.document, endpoint, account, &request_read)?;
    let hops = Hops::default()
        .arrive(&shared.instance)
        .map_err(|fault| Refusal::not_run(Cause::InvalidRequest, fault.to_string()))?;
    let method = head.method.as_str().parse();
    Ok(ClassifiedRequest {
        request_id: request_id.clone(),
        method: method.unwrap_or(Method::POST),
        path_and_query,
        headers: upstream_headers::allowed(request, request_id),
        body,
        owner,
        idempotency_key: head.idempotency_key,
        caller,
        deadline: shared.clock.now().plus(classification.deadline_ms),
        classification,
        hops,
        engine_ends: Arc::default(),
        cancel: CancellationToken::new(),
    })
}

/// Places and dispatches the request, and retries on another upstream where that is allowed.
async fn try_upstreams(
    shared: &Arc<IntakeState>,
    classified: &Arc<ClassifiedRequest>,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let mut tried = Vec::new();
    let mut charge_guard = None;
    // Refusal for the first attempt that may have run; a later one cannot take it back.
    let mut may_have_run: Option<Refusal> = None;
    loop {
        let is_retry = !tried.is_empty();
        let placed = attempt::place(shared, classified, &tried, charge_guard).await;
        let destination = match (placed, may_have_run.clone()) {
            (Ok(destination), _) => destination,
            (Err(_), Some(refusal)) | (Err(refusal), None) => return Err(refusal),
        };
        let mut placement = match destination {
            Destination::Upstream(placement) => placement,
            Destination::Instance(to) => {
                return forward::send(shared, classified, to, running).await
            }
        };
        let exchange = attempt::dispatch(shared, classified, &placement, is_retry).await;
        let (failure, refusal) = match exchange {
            Ok(head) => match retryable_failure(head.status) {
                None => {
                    tried.push(placement.placed.upstream);
                    let resumer = resume::resumer(shared, classified, tried);
                    let buffering = attempt::buffering(shared, classified);
                    return relay_answer(
                        head,
                        placement.placement_guard,
                        running,
                        Some(resumer),
                        buffering,
                    )
                    .await;
                }
                Some(failure) => (failure, upstream_refusal(head.status)),
            },
            Err(err) => (err.failure(), refusal_of(&err)),
        };
        charge_guard = placement.placement_guard.take_charge();
        placement
            .placement_guard
            .settle(AttemptOutcome::Failed(failure));
        tried.push(placement.placed.upstream);
        if refusal.run != Execution::NotRun {
            may_have_run.get_or_insert_with(|| refusal.clone());
        }
        let after_ms = attempt::retry_delay_ms(shared, classified, failure, true, tried.len())
            .await
            .ok_or_else(|| may_have_run.clone().unwrap_or(refusal))?;
        time::sleep(Duration::from_millis(after_ms)).await;
    }
}

/// Failure that a retryable status stands for; `None` if the answer is relayed to the caller.
fn retryable_failure(status: u16) -> Option<Failure> {
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
        ExchangeError::NotSent(_)
        | ExchangeError::NotConnected(_)
        | ExchangeError::ConnectionRefused => {
            Refusal::not_run(Cause::NoUpstream, err.to_string()).retry_after(1_000)
        }
        ExchangeError::Timeout => Refusal::may_have_run(Cause::UpstreamTimeout, err.to_string()),
        ExchangeError::Broken(_) | ExchangeError::Cancelled => {
            Refusal::may_have_run(Cause::UpstreamFailed, err.to_string())
        }
    }
}

/// Converts an upstream's answer into the answer for the caller.
pub(super) async fn relay_answer(
    head: AnswerHead,
    mut placement_guard: PlacementGuard,
    running: InFlightGuard,
    resumer: Option<Resumer>,
    buffering: Buffering<'_>,
) -> Result<Answer, Refusal> {
    if head.status >= 400 {
        placement_guard.mark_error_answer();
    }
    let framing = framing(&head.headers);
    let body = if framing == Framing::Events {
        let relayed = RelayBody::new(head.chunks, framing, placement_guard, running, resumer);
        AnswerBody::Events(Box::new(relayed))
    } else {
        buffer_answer(head.chunks, framing, placement_guard, running, buffering).await?
    };
    Ok(Answer {
        status: head.status,
        headers: relayed_headers(&head.headers),
        run: execution_of_status(head.status),
        body,
    })
}

/// Returns the framing of an answer with these headers.
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

/// Returns the headers of an upstream's answer that the caller gets.
pub(super) fn relayed_headers(headers: &HeaderMap) -> Vec<(&'static str, String)> {
    RELAYED_HEADERS
        .into_iter()
        .filter_map(|name| {
            let value = headers.get(name)?.to_str().ok()?;
            Some((name, value.to_owned()))
        })
        .collect()
}
