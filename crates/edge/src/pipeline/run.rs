//! Placing, sending and sending again.

use super::{
    answer::Answer,
    forward,
    identify::text,
    refusal::Refusal,
    stream::{self, Source},
    Caller, Ticket,
};
use crate::{
    dispatch::{is_hop_header, send, Keep, Reply, SendError, Target, Work},
    log::Event,
    model::RouteKind,
    node::{Node, Offered, Sent},
    place::{Choice, Placed},
    relay::AnswerBody,
    upstream::Outcome,
};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{
    body::{Body as _, Incoming},
    header::HeaderValue,
    http::response::Parts,
    HeaderMap, Request, Response, StatusCode,
};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Upstreams that one request is offered to at most, whether it ran there or not.
const MAX_SENDS: u32 = 4;
/// Pause before a request for which no upstream may be used is placed again, in milliseconds.
const PLACE_AGAIN_MS: u64 = 40;
/// Time for which a request waits for an upstream that may be used, in milliseconds.
const NO_UPSTREAM_WAIT_MS: u64 = 300;
/// Time after which callers come back when no upstream can be used, in milliseconds.
const NO_UPSTREAM_RETRY_MS: u64 = 700;
/// Part of its aim, as a divisor, for which a request waits while all upstreams are crowded.
const CROWDED_AIM_PARTS: u64 = 2;
/// Time after which callers come back when all upstreams are crowded, in milliseconds.
const CROWDED_RETRY_MS: u64 = 1_200;
/// Largest answer that is gathered before its head is sent on, in bytes.
const GATHERED_BYTES: u64 = 128 * 1024;
/// Longest idle time of a connection for a request that may not be repeated, in milliseconds.
const UNREPEATABLE_IDLE_MS: u64 = 1_000;
/// Part of the aim after which a whole answer that may be repeated is asked for elsewhere.
const SILENCE_AIM_PART: f64 = 0.75;
/// Shortest such time, in milliseconds.
const SILENCE_MIN_MS: u64 = 150;

/// What is known of a request's sends so far.
#[derive(Debug, Default)]
pub(super) struct Tries {
    /// Upstreams that had it.
    pub(super) tried: Vec<Arc<str>>,
    /// Sends that left.
    pub(super) sends: u32,
    /// Sends after which it may have run.
    pub(super) runs: u32,
}

/// An answer as far as it was read.
pub(super) struct Taken {
    pub(super) head: Parts,
    pub(super) body: TakenBody,
    pub(super) work: Work,
    pub(super) upstream: Arc<str>,
}

/// The body of an answer.
pub(super) enum TakenBody {
    /// Still at the upstream.
    Open(Incoming, Keep),
    /// Whole.
    Whole(Bytes),
}

/// How one send ended.
enum Sending {
    /// The answer is for the caller.
    Answer(Taken),
    /// The upstream says that it has not run the request.
    NotRun,
    /// Nothing was sent.
    Unreachable(String),
    /// It may have run. Holds an answer that may be passed on if there is no better one.
    Failed(String, Option<Taken>),
}

/// Runs a request in the own region or in another one.
pub async fn run_anywhere(
    node: &Rc<Node>,
    ticket: Ticket,
    caller: &Caller,
) -> Result<Answer, Refusal> {
    let is_home = caller.regions.iter().any(|region| **region == *node.region);
    let far = forward::best_far(node, &ticket, &caller.regions);
    let local = if is_home {
        node.place(&offered(&ticket, &[]))
    } else {
        Choice::NoUpstream
    };
    let local_wait_ms = match &local {
        Choice::Placed(placed) => Some(placed.wait_ms),
        Choice::Crowded | Choice::NoUpstream => None,
    };
    let is_far_better = |far: &forward::Far| match &local {
        Choice::Placed(placed) => far.is_better(&ticket, placed.wait_ms),
        Choice::Crowded => far.is_roomy(&ticket),
        Choice::NoUpstream => true,
    };
    if let Some(far) = far.filter(is_far_better) {
        let outcome = forward::forward(node, &ticket, &far, local_wait_ms).await;
        let is_not_run = outcome.as_ref().is_err_and(Refusal::is_not_run);
        if !(is_not_run && is_home) {
            return outcome;
        }
    }
    if is_home {
        return run_here_first(node, ticket, caller).await;
    }
    if caller.regions.is_empty() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Refusal::new(status, "no region may serve the request"));
    }
    let reason = "no instance of a home region is in reach";
    Err(Refusal::not_run(reason, NO_UPSTREAM_RETRY_MS))
}

/// Runs a request in the own region, and in another one if it fails here and may be repeated.
async fn run_here_first(
    node: &Rc<Node>,
    ticket: Ticket,
    caller: &Caller,
) -> Result<Answer, Refusal> {
    if !ticket.far.kind.is_repeatable() {
        return run_here(node, ticket).await;
    }
    let mut tries = Tries::default();
    let again = ticket.clone();
    let outcome = run_counted(node, ticket, &mut tries).await;
    let has_failed = match &outcome {
        Ok(answer) => answer.status().is_server_error(),
        Err(refusal) => !refusal.is_not_run(),
    };
    let runs_left = again.far.max_attempts.saturating_sub(tries.runs);
    if !has_failed || runs_left == 0 || !again.is_in_time_far(node) {
        return outcome;
    }
    let Some(far) = forward::best_far(node, &again, &caller.regions) else {
        return outcome;
    };
    if !node.try_repeat(&again.far.service) {
        return outcome;
    }
    let mut again = again;
    again.far.max_attempts = runs_left;
    match forward::forward(node, &again, &far, None).await {
        Ok(answer) if !answer.status().is_server_error() => Ok(answer),
        Ok(_) | Err(_) => outcome,
    }
}

/// Runs a request at upstreams of the own region.
pub async fn run_here(node: &Rc<Node>, ticket: Ticket) -> Result<Answer, Refusal> {
    run_counted(node, ticket, &mut Tries::default()).await
}

async fn run_counted(
    node: &Rc<Node>,
    ticket: Ticket,
    tries: &mut Tries,
) -> Result<Answer, Refusal> {
    node.note_request(&ticket.far.service);
    let taken = take(node, &ticket, tries).await?;
    let Taken {
        head,
        body,
        work,
        upstream,
    } = taken;
    match body {
        TakenBody::Open(body, keep) if ticket.far.kind.is_stream() && head.status.is_success() => {
            let source = Source {
                body,
                keep,
                work,
                upstream,
            };
            Ok(stream::relay(
                node,
                ticket,
                std::mem::take(tries),
                &head,
                source,
            ))
        }
        TakenBody::Open(body, _) => Ok(pass(&head, AnswerBody::Passed(body, Box::new(work)))),
        TakenBody::Whole(body) => Ok(pass(&head, AnswerBody::whole(body))),
    }
}

/// Sends a request until an answer for the caller is there.
pub(super) async fn take(
    node: &Rc<Node>,
    ticket: &Ticket,
    tries: &mut Tries,
) -> Result<Taken, Refusal> {
    let mut passable = None;
    let given_up = loop {
        let placed = match place(node, ticket, tries).await {
            Ok(placed) => placed,
            Err(refusal) => break refusal,
        };
        if tries.sends > 0 && !node.try_repeat(&ticket.far.service) {
            break not_run_or(
                tries,
                Refusal::not_run("no repeats are left", NO_UPSTREAM_RETRY_MS),
            );
        }
        let attempt = tries.sends + 1;
        let started_at = node.now();
        let sending = send_once(node, ticket, &placed, attempt).await;
        tries.tried.push(Arc::clone(&placed.id));
        let (reason, may_have_run) = match sending {
            Sending::Answer(taken) => return Ok(taken),
            Sending::Unreachable(reason) => (reason, false),
            Sending::NotRun => {
                tries.sends += 1;
                ("the upstream refused".to_owned(), false)
            }
            Sending::Failed(reason, answer) => {
                tries.sends += 1;
                tries.runs += 1;
                passable = answer.or(passable);
                (reason, true)
            }
        };
        let will_retry = may_go_on(node, ticket, tries);
        node.log.event(Event::SendFailed {
            request: &ticket.far.request,
            upstream: &placed.id,
            attempt,
            reason: &reason,
            may_have_run,
            will_retry,
            after_ms: node.now().since(started_at),
        });
        if !will_retry {
            break not_run_or(
                tries,
                Refusal::not_run("the upstreams refused", NO_UPSTREAM_RETRY_MS),
            );
        }
    };
    passable.ok_or(given_up)
}

/// `refusal` if the request has surely not run.
fn not_run_or(tries: &Tries, refusal: Refusal) -> Refusal {
    if tries.runs == 0 {
        refusal
    } else {
        Refusal::may_have_run("the upstream failed")
    }
}

fn may_go_on(node: &Node, ticket: &Ticket, tries: &Tries) -> bool {
    let may_run_again = tries.runs == 0
        || (ticket.far.kind.is_repeatable() && tries.runs < ticket.far.max_attempts);
    may_run_again && tries.tried.len() < MAX_SENDS as usize && ticket.left_ms(node) > 0
}

fn offered<'a>(ticket: &'a Ticket, tried: &'a [Arc<str>]) -> Offered<'a> {
    Offered {
        service: &ticket.far.service,
        job: &ticket.job,
        tried,
        draw: ticket.far.draw,
    }
}

/// Finds an upstream that can answer in time.
async fn place(node: &Node, ticket: &Ticket, tries: &Tries) -> Result<Placed, Refusal> {
    let wait_until = node
        .now()
        .plus(NO_UPSTREAM_WAIT_MS.min(ticket.left_ms(node)));
    loop {
        match node.place(&offered(ticket, &tries.tried)) {
            Choice::Placed(placed) => return in_time(node, ticket, tries, placed),
            Choice::Crowded => {
                let waited_ms = node.now().since(ticket.started_at);
                if waited_ms >= ticket.far.aim_ms / CROWDED_AIM_PARTS {
                    let refusal = Refusal::not_run("all upstreams are crowded", CROWDED_RETRY_MS);
                    return Err(not_run_or(tries, refusal));
                }
                tokio::time::sleep(Duration::from_millis(PLACE_AGAIN_MS)).await;
            }
            Choice::NoUpstream if tries.tried.is_empty() && node.now() < wait_until => {
                tokio::time::sleep(Duration::from_millis(PLACE_AGAIN_MS)).await;
            }
            Choice::NoUpstream => {
                let refusal = Refusal::not_run("no upstream can be used", NO_UPSTREAM_RETRY_MS);
                return Err(not_run_or(tries, refusal));
            }
        }
    }
}

fn in_time(node: &Node, ticket: &Ticket, tries: &Tries, placed: Placed) -> Result<Placed, Refusal> {
    let spent_ms = node.now().since(ticket.started_at);
    let patience_ms = ticket.patience_ms();
    #[allow(clippy::cast_precision_loss)]
    let left_ms = patience_ms.saturating_sub(spent_ms) as f64;
    if placed.wait_ms < left_ms {
        return Ok(placed);
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let late_ms = (placed.wait_ms - left_ms).max(0.0) as u64;
    let retry_after_ms = late_ms.clamp(300, 3_000);
    Err(not_run_or(
        tries,
        Refusal::not_run("no upstream can answer in time", retry_after_ms),
    ))
}

async fn send_once(node: &Rc<Node>, ticket: &Ticket, placed: &Placed, attempt: u32) -> Sending {
    let (target, waiting_tokens, at_upstream, cold_per_s) = {
        let state = node.state.borrow();
        let Some(upstream) = state.upstreams.by_id.get(&placed.id) else {
            return Sending::Unreachable("the upstream is gone".to_owned());
        };
        let service = state.service(&ticket.far.service);
        let load = upstream.load(node.now());
        let target = Target {
            id: Arc::clone(&placed.id),
            address: upstream.seen.address,
            max_idle_ms: max_idle_ms(ticket.far.kind),
        };
        let waiting_tokens = load.unread_tokens + placed.load.unread_tokens;
        (
            target,
            waiting_tokens,
            load.requests,
            service.map_or(0.0, |service| service.cold_per_s),
        )
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wait_ms = placed.wait_ms.max(0.0) as u64;
    node.log.event(Event::Placed {
        request: &ticket.far.request,
        upstream: &placed.id,
        attempt,
        wait_ms,
        unread_tokens: placed.load.unread_tokens,
        at_upstream,
        config: ticket.far.config,
    });
    node.note_sent(placed, &ticket.job, cold_per_s);
    let work = Work::new(node, &placed.id, placed.load, waiting_tokens);
    let limit_ms = silence_ms(node, ticket, wait_ms);
    let request = upstream_request(node, ticket, &placed.id);
    let sent = Sent {
        request: &ticket.far.request,
        route: &ticket.far.route,
        upstream: &placed.id,
    };
    let reply = timeout(
        Duration::from_millis(limit_ms),
        send(node, &target, request),
    )
    .await;
    match reply {
        Err(_) => {
            node.note_outcome(sent, Outcome::Failed);
            Sending::Failed("no answer in time".to_owned(), None)
        }
        Ok(Err(SendError::Unreachable(reason))) => {
            node.note_outcome(sent, Outcome::Unreachable);
            Sending::Unreachable(reason)
        }
        Ok(Err(SendError::Broken(reason))) => {
            node.note_outcome(sent, Outcome::Failed);
            Sending::Failed(reason, None)
        }
        Ok(Ok(reply)) => match judge(node, ticket, sent, &reply) {
            Verdict::Pass => gather(node, ticket, sent, reply, work).await,
            Verdict::Failed => match gather(node, ticket, sent, reply, work).await {
                Sending::Answer(taken) => {
                    let reason = format!("the upstream answered {}", taken.head.status);
                    Sending::Failed(reason, Some(taken))
                }
                other => other,
            },
            Verdict::NotRun => Sending::NotRun,
            Verdict::Broken(reason) => Sending::Failed(reason.to_owned(), None),
        },
    }
}

/// What an answer's head says.
enum Verdict {
    /// The answer is for the caller.
    Pass,
    /// The upstream ran the request and failed.
    Failed,
    /// The upstream has not run the request.
    NotRun,
    /// It is no answer to this request.
    Broken(&'static str),
}

/// Judges an answer by its head.
fn judge(node: &Node, ticket: &Ticket, sent: Sent<'_>, reply: &Reply) -> Verdict {
    let names = &node.names;
    let (status, headers) = (reply.head().status(), reply.head().headers());
    if status == StatusCode::MISDIRECTED_REQUEST {
        let mut state = node.state.borrow_mut();
        state.upstreams.missing(sent.upstream, false, node.now());
        return Verdict::NotRun;
    }
    if headers.contains_key(&names.not_run) {
        node.note_outcome(sent, Outcome::Refused);
        return Verdict::NotRun;
    }
    let cold_ms = text(headers, &names.cold_ms).and_then(|text| text.parse::<u64>().ok());
    if let Some(cold_ms) = cold_ms.filter(|ms| *ms > 0) {
        node.note_cold(sent.upstream, cold_ms);
    }
    let echoed = text(headers, &names.request_id);
    if echoed.is_some_and(|echoed| echoed != ticket.far.request) {
        node.note_outcome(sent, Outcome::Failed);
        return Verdict::Broken("the answer belongs to another request");
    }
    let is_sealed = headers.contains_key(&names.seal);
    if !is_sealed && (status.is_success() || status.is_server_error()) {
        node.note_outcome(sent, Outcome::Failed);
        return Verdict::Broken("the answer bears no seal");
    }
    if status.is_server_error() {
        node.note_outcome(sent, Outcome::Failed);
        return Verdict::Failed;
    }
    Verdict::Pass
}

/// Reads the body of an answer that is not a stream, unless it is large.
async fn gather(
    node: &Rc<Node>,
    ticket: &Ticket,
    sent: Sent<'_>,
    reply: Reply,
    mut work: Work,
) -> Sending {
    let upstream = Arc::clone(reply.upstream());
    let (response, keep) = reply.split();
    let (head, body) = response.into_parts();
    let is_stream = ticket.far.kind.is_stream() && head.status.is_success();
    let is_large = body.size_hint().lower() > GATHERED_BYTES;
    if is_stream || is_large {
        let body = TakenBody::Open(body, keep);
        return Sending::Answer(Taken {
            head,
            body,
            work,
            upstream,
        });
    }
    work.was_read();
    let after_ms = node.now().since(work.sent_at());
    let left = Duration::from_millis(ticket.left_ms(node).max(1));
    #[allow(clippy::cast_possible_truncation)]
    let gathered = Limited::new(body, GATHERED_BYTES as usize).collect();
    let reason = match timeout(left, gathered).await {
        Ok(Ok(body)) => {
            keep.put_back(node);
            if !head.status.is_server_error() {
                answered(node, ticket, sent, head.status, after_ms);
            }
            let body = TakenBody::Whole(body.to_bytes());
            return Sending::Answer(Taken {
                head,
                body,
                work,
                upstream,
            });
        }
        Ok(Err(err)) => format!("the body broke off: {err}"),
        Err(_) => "the body did not end in time".to_owned(),
    };
    node.note_outcome(sent, Outcome::Failed);
    Sending::Failed(reason, None)
}

fn answered(node: &Node, ticket: &Ticket, sent: Sent<'_>, status: StatusCode, after_ms: u64) {
    #[allow(clippy::cast_precision_loss)]
    let ms = after_ms as f64;
    node.note_outcome(sent, Outcome::Answered { ms });
    node.log.event(Event::Answered {
        request: sent.request,
        upstream: sent.upstream,
        status: status.as_u16(),
        first_byte_ms: node.now().since(ticket.started_at),
    });
}

/// Time to the head of an answer after which the request is sent elsewhere or given up.
fn silence_ms(node: &Node, ticket: &Ticket, wait_ms: u64) -> u64 {
    let left_ms = ticket.left_ms(node).max(1);
    match ticket.far.kind {
        RouteKind::Idempotent => {
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_precision_loss,
                clippy::cast_sign_loss
            )]
            let silence_ms = (ticket.far.aim_ms as f64 * SILENCE_AIM_PART) as u64;
            left_ms.min(silence_ms.max(SILENCE_MIN_MS).max(2 * wait_ms))
        }
        RouteKind::Stream { is_resumable: true } => {
            left_ms.min((2 * ticket.far.aim_ms).max(2 * wait_ms))
        }
        RouteKind::NonIdempotent | RouteKind::Stream { .. } => left_ms,
    }
}

fn max_idle_ms(kind: RouteKind) -> u64 {
    match kind {
        RouteKind::NonIdempotent => 0,
        RouteKind::Stream {
            is_resumable: false,
        } => UNREPEATABLE_IDLE_MS,
        RouteKind::Idempotent | RouteKind::Stream { .. } => u64::MAX,
    }
}

fn upstream_request(node: &Node, ticket: &Ticket, upstream: &str) -> Request<Full<Bytes>> {
    let names = &node.names;
    let mut headers = ticket.headers.clone();
    let mut set = |name: &hyper::header::HeaderName, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name.clone(), value);
        }
    };
    set(&names.time_left_ms, &ticket.left_ms(node).to_string());
    set(&names.only_upstream, upstream);
    if !ticket.far.account.is_empty() {
        set(&names.account, &ticket.far.account);
    }
    if ticket.job.prompt_tokens > 0 {
        set(&names.urgency, &ticket.far.urgency.to_string());
    }
    if let Some(last_event) = ticket.last_event {
        set(&names.last_event_id, &last_event.to_string());
    }
    let mut request = Request::new(Full::new(ticket.body.clone()));
    *request.method_mut() = ticket.method.clone();
    *request.uri_mut() = ticket.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Headers of an answer for the caller.
pub(super) fn caller_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        if !is_hop_header(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Passes on an answer that is not a stream.
fn pass(head: &Parts, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = caller_headers(&head.headers);
    answer
}
