//! A single attempt: sends a request to one upstream and classifies the response.

use super::{
    attempts::{UpstreamAnswer, UpstreamBody},
    head_check::{check_head, HeadCheck},
    large::{read_first, LargeBody},
    reach::{cut_off_if, note_send},
    RequestContext,
};
use crate::{
    crash::SendWatch,
    dispatch::{is_closed_by_upstream, send, LoadGuard, Reply, SendError, Target},
    log::Event,
    model::RouteKind,
    node::{Node, SendIds},
    place::Placement,
    upstream::Outcome,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{header::HeaderValue, Request, StatusCode};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Timeout for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest body that is buffered before the head is sent to the caller, in bytes.
const MAX_BUFFERED_BYTES: usize = 128 * 1024;
/// Maximum idle time of a pooled connection for a stream that may not be repeated, in milliseconds.
const UNREPEATABLE_MAX_IDLE_MS: u64 = 1_000;
/// Share of the first-byte target after which an idempotent request without a response is retried
/// on another upstream.
const SILENCE_TARGET_SHARE: f64 = 0.75;
/// Lower bound of that timeout, in milliseconds.
const MIN_SILENCE_MS: u64 = 150;

/// Result of one attempt.
pub(super) enum SendResult {
    /// A response for the caller.
    Answer(UpstreamAnswer),
    /// The upstream states that it has not run the request.
    NotRun,
    /// No connection could be opened; nothing was sent.
    Unreachable(String),
    /// The upstream's connection was lost before its response; the request may have run.
    Lost(String),
    /// The request may have run. Holds the upstream's error response, which is returned to the
    /// caller if no attempt yields a better one.
    Failed(String, Option<UpstreamAnswer>),
}

/// Sends a request to the chosen upstream and buffers the response if it is small and not a stream.
pub(super) async fn send_once(
    node: &Rc<Node>,
    ctx: &RequestContext,
    placed: &Placement,
    attempt: u32,
) -> SendResult {
    let (target, waiting_tokens, at_upstream, cold_left_ms, is_ejected, cold_per_s) = {
        let state = node.state.borrow();
        let Some(upstream) = state.upstreams.by_id.get(&placed.id) else {
            return SendResult::Unreachable("the upstream is gone".to_owned());
        };
        let service = state.service(&ctx.meta.service);
        let load = upstream.load(node.now());
        let target = Target {
            id: Arc::clone(&placed.id),
            address: upstream.entry.address,
            started_unix_ms: upstream.entry.started_unix_ms,
            max_idle_ms: max_idle_ms(ctx.meta.kind),
            connect_timeout: CONNECT_TIMEOUT,
            watched_service: Some(Arc::clone(&ctx.meta.service)),
        };
        let waiting_tokens = load.unread_tokens + placed.load.unread_tokens;
        (
            target,
            waiting_tokens,
            load.requests,
            upstream.cold.left_ms(node.now()),
            upstream.health.is_probing(),
            service.map_or(0.0, |service| service.cold_per_s),
        )
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let wait_ms = placed.wait_ms.max(0.0) as u64;
    node.log.event(Event::Placed {
        request: &ctx.meta.request,
        upstream: &placed.id,
        attempt,
        wait_ms,
        unread_tokens: placed.load.unread_tokens,
        at_upstream,
        cold_left_ms,
        is_ejected,
        config: ctx.meta.config,
    });
    node.note_sent(placed, &ctx.job, cold_per_s);
    let load_guard = LoadGuard::new(node, &placed.id, placed.load, waiting_tokens);
    let mut send_watch = SendWatch::start(node, ctx, &placed.id);
    let limit_ms = answer_timeout_ms(node, ctx, wait_ms);
    let request = upstream_request(node, ctx, &placed.id);
    let sent = SendIds {
        request: &ctx.meta.request,
        route: &ctx.meta.route,
        upstream: &placed.id,
    };
    let begun_at = node.now();
    let answer = timeout(
        Duration::from_millis(limit_ms),
        send(node, &target, request),
    );
    let reply = tokio::select! {
        // A send that ends with the cut tells whether the request may have run.
        biased;
        reply = answer => reply,
        () = cut_off_if(ctx.meta.kind.is_repeatable(), node, ctx) => {
            return SendResult::Failed("no upstream of the service is in reach".to_owned(), None);
        }
    };
    note_send(node, &placed.id, &reply, begun_at);
    match reply {
        Err(_) => {
            node.note_outcome(sent, Outcome::Failed);
            SendResult::Failed("no answer in time".to_owned(), None)
        }
        Ok(Err(SendError::Unreachable(reason))) => {
            node.note_outcome(sent, Outcome::Unreachable);
            SendResult::Unreachable(reason)
        }
        Ok(Err(SendError::Lost(reason))) => {
            send_watch.connection_lost();
            node.note_outcome(sent, Outcome::ConnectionLost);
            SendResult::Lost(reason)
        }
        Ok(Err(SendError::Broken(reason))) => {
            node.note_outcome(sent, Outcome::Failed);
            SendResult::Failed(reason, None)
        }
        Ok(Ok(reply)) => match check_head(node, ctx, sent, &reply) {
            HeadCheck::Pass => {
                note_plain_run(node, ctx, &reply);
                buffer_body(node, ctx, sent, reply, (load_guard, send_watch)).await
            }
            HeadCheck::Failed => {
                note_plain_run(node, ctx, &reply);
                match buffer_body(node, ctx, sent, reply, (load_guard, send_watch)).await {
                    SendResult::Answer(answer) => {
                        let reason = format!("the upstream answered {}", answer.head.status);
                        SendResult::Failed(reason, Some(answer))
                    }
                    other => other,
                }
            }
            HeadCheck::NotRun => SendResult::NotRun,
            HeadCheck::Invalid(reason) => SendResult::Failed(reason.to_owned(), None),
        },
    }
}

/// Reads the body of a response unless it is a stream, up to the size that is buffered.
async fn buffer_body(
    node: &Rc<Node>,
    ctx: &RequestContext,
    sent: SendIds<'_>,
    reply: Reply,
    (mut load_guard, mut send_watch): (LoadGuard, SendWatch),
) -> SendResult {
    let upstream = Arc::clone(reply.upstream());
    let (response, checkout) = reply.split();
    let (head, mut body) = response.into_parts();
    if ctx.meta.kind.is_stream() && head.status.is_success() {
        let body = UpstreamBody::Unread(body, checkout);
        return SendResult::Answer(UpstreamAnswer {
            head,
            body,
            load_guard,
            send_watch,
            upstream,
        });
    }
    load_guard.mark_prompt_read();
    let after_ms = node.now().since(load_guard.sent_at());
    let left = Duration::from_millis(ctx.left_ms(node).max(1));
    let reason = match timeout(left, read_first(&mut body, MAX_BUFFERED_BYTES)).await {
        Ok(Ok((first, has_ended))) => {
            // An error answer may come before the engine has read the prompt.
            if head.status.is_success() {
                send_watch.answered();
            }
            let body = if has_ended {
                checkout.check_in(node);
                if !head.status.is_server_error() {
                    record_answer(node, ctx, sent, head.status, after_ms);
                }
                UpstreamBody::Buffered(first)
            } else {
                UpstreamBody::Large(LargeBody {
                    first,
                    rest: body,
                    checkout,
                })
            };
            return SendResult::Answer(UpstreamAnswer {
                head,
                body,
                load_guard,
                send_watch,
                upstream,
            });
        }
        Ok(Err(err)) => {
            let reason = format!("the body ended early: {err}");
            if is_closed_by_upstream(&err) {
                send_watch.connection_lost();
                node.note_outcome(sent, Outcome::ConnectionLost);
                return SendResult::Lost(reason);
            }
            reason
        }
        Err(_) => "the body was not complete in time".to_owned(),
    };
    node.note_outcome(sent, Outcome::Failed);
    SendResult::Failed(reason, None)
}

/// Counts a request of a plain service, which runs once the head of its response is here. Streams count with
/// their first event. A response without a seal comes from the server before it runs the request.
fn note_plain_run(node: &Node, ctx: &RequestContext, reply: &Reply) {
    let is_sealed = reply.head().headers().contains_key(&node.names.seal);
    if is_sealed && !ctx.meta.kind.is_stream() {
        node.note_run(ctx);
    }
}

/// Records a completely read response as a success of the upstream and logs it.
fn record_answer(
    node: &Node,
    ctx: &RequestContext,
    sent: SendIds<'_>,
    status: StatusCode,
    after_ms: u64,
) {
    #[allow(clippy::cast_precision_loss)]
    let ms = after_ms as f64;
    node.note_outcome(sent, Outcome::Answered { ms });
    node.log.event(Event::Answered {
        request: sent.request,
        upstream: sent.upstream,
        status: status.as_u16(),
        first_byte_ms: node.now().since(ctx.started_at),
    });
}

/// Timeout for the head of the response, in milliseconds. After it the request is retried on
/// another upstream or fails.
fn answer_timeout_ms(node: &Node, ctx: &RequestContext, wait_ms: u64) -> u64 {
    let left_ms = ctx.left_ms(node).max(1);
    match ctx.meta.kind {
        RouteKind::Idempotent => {
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_precision_loss,
                clippy::cast_sign_loss
            )]
            let timeout_ms = (ctx.meta.aim_ms as f64 * SILENCE_TARGET_SHARE) as u64;
            left_ms.min(timeout_ms.max(MIN_SILENCE_MS).max(2 * wait_ms))
        }
        RouteKind::Stream { is_resumable: true } => {
            left_ms.min((2 * ctx.meta.aim_ms).max(2 * wait_ms))
        }
        RouteKind::NonIdempotent | RouteKind::Stream { .. } => left_ms,
    }
}

/// Maximum idle time of a pooled connection, in milliseconds. Requests that may not be repeated get
/// a new or a recently used connection.
fn max_idle_ms(kind: RouteKind) -> u64 {
    match kind {
        RouteKind::NonIdempotent => 0,
        RouteKind::Stream {
            is_resumable: false,
        } => UNREPEATABLE_MAX_IDLE_MS,
        RouteKind::Idempotent | RouteKind::Stream { .. } => u64::MAX,
    }
}

/// Builds the request to the upstream.
fn upstream_request(node: &Node, ctx: &RequestContext, upstream: &str) -> Request<Full<Bytes>> {
    let names = &node.names;
    let mut headers = ctx.headers.clone();
    let mut set = |name: &hyper::header::HeaderName, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name.clone(), value);
        }
    };
    set(&names.time_left_ms, &ctx.left_ms(node).to_string());
    set(&names.only_upstream, upstream);
    if !ctx.meta.account.is_empty() {
        set(&names.account, &ctx.meta.account);
    }
    if ctx.job.prompt_tokens > 0 {
        set(&names.urgency, &ctx.meta.urgency.to_string());
    }
    if let Some(last_event) = ctx.last_event {
        set(&names.last_event_id, &last_event.to_string());
    }
    let mut request = Request::new(Full::new(ctx.body.clone()));
    *request.method_mut() = ctx.method.clone();
    *request.uri_mut() = ctx.uri.clone();
    *request.headers_mut() = headers;
    request
}
