//! One send of a request to one upstream, and what its answer means.

use super::{
    attempts::{Taken, TakenBody},
    identify::text,
    Ticket,
};
use crate::{
    dispatch::{send, Reply, SendError, Target, Work},
    log::Event,
    model::RouteKind,
    node::{Node, Sent},
    place::Placed,
    upstream::Outcome,
};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{body::Body as _, header::HeaderValue, Request, StatusCode};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Largest answer that is gathered before its head is sent on, in bytes.
const GATHERED_BYTES: u64 = 128 * 1024;
/// Longest idle time of a connection for a request that may not be repeated, in milliseconds.
const UNREPEATABLE_IDLE_MS: u64 = 1_000;
/// Part of the aim after which a whole answer that may be repeated is asked for elsewhere.
const SILENCE_AIM_PART: f64 = 0.75;
/// Shortest such time, in milliseconds.
const SILENCE_MIN_MS: u64 = 150;

/// How one send ended.
pub(super) enum Sending {
    /// The answer is for the caller.
    Answer(Taken),
    /// The upstream says that it has not run the request.
    NotRun,
    /// Nothing was sent.
    Unreachable(String),
    /// It may have run. Holds an answer that may be passed on if there is no better one.
    Failed(String, Option<Taken>),
}

/// Sends a request to the upstream that was chosen.
pub(super) async fn send_once(
    node: &Rc<Node>,
    ticket: &Ticket,
    placed: &Placed,
    attempt: u32,
) -> Sending {
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
