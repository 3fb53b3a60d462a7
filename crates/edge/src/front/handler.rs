//! Handling of one request from a caller.

use super::{connections::ConnectionActivity, read_body};
use crate::{
    log::Event,
    memory::{Guard, RequestMemory},
    node::Node,
    pipeline::{identify, run_in_allowed_region, Admission, Answer, Identified, Refusal},
    relay::AnswerBody,
};
use carobwheel_core::memory::{Owner, SizeClass, Use};
use hyper::{body::Incoming, http::request::Parts, Request, StatusCode};
use std::{rc::Rc, sync::Arc};

/// Memory of a head beyond twice its size, in bytes: what is derived from it, and the task.
const HEAD_EXTRA_BYTES: usize = 4 * 1024;

/// Guard that counts a request as in flight until it is dropped.
struct InFlight(Rc<Node>);

impl InFlight {
    fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Labels of the request in logs and metrics.
struct Labels {
    request: String,
    route: String,
    account: String,
}

/// Handles a request and records its outcome in logs and metrics.
pub(super) async fn handle(
    node: Rc<Node>,
    request: Request<Incoming>,
    activity: &ConnectionActivity,
) -> Answer {
    let in_flight = InFlight::new(&node);
    let started_at = node.now();
    let (head, body) = request.into_parts();
    let named = head
        .headers
        .get(&node.names.request_id)
        .and_then(|id| id.to_str().ok());
    let mut labels = Labels {
        request: named.unwrap_or_default().to_owned(),
        route: String::new(),
        account: String::new(),
    };
    let outcome = serve(&node, head, body, &mut labels, activity).await;
    let after_ms = node.now().since(started_at);
    drop(in_flight);
    match outcome {
        Ok(answer) => {
            let status = answer.status();
            let class = if status.is_success() {
                "answered"
            } else {
                "answered_with_failure"
            };
            node.metrics
                .count_request(&labels.account, &labels.route, class);
            node.metrics
                .record_first_byte(&labels.account, &labels.route, after_ms);
            hold_answer(&node, &answer, activity);
            answer
        }
        Err(refusal) => {
            node.metrics
                .count_request(&labels.account, &labels.route, refusal.reason);
            node.log.event(Event::Refused {
                request: &labels.request,
                route: &labels.route,
                account: &labels.account,
                status: refusal.status.as_u16(),
                reason: refusal.reason,
                retry_after_ms: refusal.retry_after_ms.unwrap_or_default(),
                config: node.metrics.config_version.get(),
            });
            refusal.into_answer()
        }
    }
}

/// Identifies, admits and runs a request.
async fn serve(
    node: &Rc<Node>,
    head: Parts,
    body: Incoming,
    labels: &mut Labels,
    activity: &ConnectionActivity,
) -> Result<Answer, Refusal> {
    let started_at = node.now();
    if node.is_refusing_requests() {
        return Err(Refusal::stopping());
    }
    let Identified {
        config,
        route,
        account,
    } = identify(node, &head)?;
    labels.route = route.name.to_string();
    labels.account = account
        .as_ref()
        .map_or_else(String::new, |account| account.name.to_string());
    let head_bytes = check_head(&head, config.limits.max_head_bytes)?;
    let owner = Owner {
        account: account.as_ref().map(|account| Arc::clone(&account.name)),
        address: Some(activity.address()),
    };
    let head_memory = reserve_head(node, &owner, head_bytes)?;
    let deadline = started_at.plus(route.timeout_ms);
    let body = tokio::select! {
        body = read_body(node, body, deadline, &owner) => body?,
        () = node.grace_end.cancelled() => return Err(Refusal::stopping()),
    };
    activity.request_read(&labels.request);
    // The body may have come late.
    if node.is_refusing_requests() {
        return Err(Refusal::stopping());
    }
    let admission = Admission::admit(node, &head, route, account)?;
    let held = body.memory.into_iter().chain([head_memory]);
    let memory = RequestMemory::new(&node.memory, owner, held);
    let ctx = admission.context(node, &config, head, body.bytes, started_at, memory)?;
    let outcome = tokio::select! {
        outcome = run_in_allowed_region(node, ctx, &admission) => outcome,
        () = node.grace_end.cancelled() => Err(Refusal::grace_ended()),
    };
    if outcome.as_ref().is_err_and(Refusal::is_not_run) {
        admission.refund(node);
    }
    outcome
}

/// Reserves the memory of a head and of what is derived from it.
fn reserve_head(node: &Node, owner: &Owner, head_bytes: usize) -> Result<Guard, Refusal> {
    let bytes = 2 * head_bytes + HEAD_EXTRA_BYTES;
    let reserved = node
        .memory
        .reserve(Use::Heads, owner, SizeClass::Small, bytes);
    reserved.map_err(|shortage| {
        node.metrics.count_dropped(shortage.label());
        Refusal::out_of_memory()
    })
}

/// Counts the memory of a complete answer until it is written.
fn hold_answer(node: &Node, answer: &Answer, activity: &ConnectionActivity) {
    if let AnswerBody::Whole(Some(bytes)) = answer.body() {
        let owner = Owner::of_address(activity.address());
        activity.hold(node.memory.charge(Use::Answers, &owner, bytes.len()));
    }
}

/// Refuses heads that are too large, and bodies with two lengths, which could smuggle a request.
/// Returns the size of the head.
fn check_head(head: &Parts, max_head_bytes: usize) -> Result<usize, Refusal> {
    let fields = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let bytes = fields.sum::<usize>()
        + head
            .uri
            .path_and_query()
            .map_or(0, |path| path.as_str().len());
    if bytes > max_head_bytes {
        return Err(Refusal::new(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the head is too large",
        ));
    }
    let has_length = head.headers.contains_key(hyper::header::CONTENT_LENGTH);
    if has_length && head.headers.contains_key(hyper::header::TRANSFER_ENCODING) {
        return Err(Refusal::new(
            StatusCode::BAD_REQUEST,
            "the body has two lengths",
        ));
    }
    Ok(bytes)
}
