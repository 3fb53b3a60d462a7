//! Relaying of responses that are too large to be buffered or whose size is not known in advance.

use super::{answer::Answer, run::caller_headers, RequestContext};
use crate::{
    dispatch::{is_closed_by_upstream, ConnectionCheckout, LoadGuard},
    log::Event,
    node::{Node, SendIds},
    relay::{body_queue, BodySender},
    upstream::Outcome,
};
use bytes::{Bytes, BytesMut};
use carobwheel_core::memory::Use;
use http_body_util::BodyExt as _;
use hyper::{
    body::{Body as _, Incoming},
    http::response::Parts,
    Response,
};
use std::{future::Future, rc::Rc, sync::Arc, time::Duration};
use tokio::time::timeout;

/// Largest body without a stated length that is relayed, in bytes. Such a body may never end.
const MAX_UNSIZED_BYTES: u64 = 64 * 1024 * 1024;

/// Response whose body has been read in part.
pub(super) struct LargeBody {
    /// Bytes that have been read.
    pub(super) first: Bytes,
    /// Rest of the body.
    pub(super) rest: Incoming,
    /// Connection that carries the rest.
    pub(super) checkout: ConnectionCheckout,
}

/// Reads a body to its end, or until more than `max_bytes` bytes have been read. Returns the bytes
/// and whether the body has ended.
pub(super) async fn read_first(
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<(Bytes, bool), hyper::Error> {
    let mut first = BytesMut::new();
    while first.len() <= max_bytes {
        match next_chunk(body).await? {
            Some(chunk) => first.extend_from_slice(&chunk),
            None => return Ok((first.freeze(), true)),
        }
    }
    Ok((first.freeze(), false))
}

/// Next bytes of a body; `None` at its end.
async fn next_chunk(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(err)) => return Err(err),
            // Trailers are dropped; callers are not promised any.
            Some(Ok(frame)) => {
                if let Ok(chunk) = frame.into_data() {
                    return Ok(Some(chunk));
                }
            }
        }
    }
}

/// Starts the relay of the body in a task of its own and returns the response to the caller.
pub(super) fn relay(
    node: &Rc<Node>,
    ctx: RequestContext,
    head: &Parts,
    body: LargeBody,
    load_guard: LoadGuard,
    upstream: Arc<str>,
) -> Answer {
    let (caller, answer_body) = body_queue(&ctx.memory);
    let mut answer = Response::new(answer_body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = caller_headers(&head.headers);
    let node = Rc::clone(node);
    let status = head.status;
    tokio::task::spawn_local(async move {
        let sent = SendIds {
            request: &ctx.meta.request,
            route: &ctx.meta.route,
            upstream: &upstream,
        };
        let first_byte_ms = node.now().since(ctx.started_at);
        let since_sent_ms = node.now().since(load_guard.sent_at());
        let end = relay_until_end(&node, &ctx, body, &caller).await;
        drop(load_guard);
        match end {
            RelayEnd::Whole if status.is_server_error() => {}
            RelayEnd::Whole => {
                #[allow(clippy::cast_precision_loss)]
                let ms = since_sent_ms as f64;
                node.note_outcome(sent, Outcome::Answered { ms });
                node.log.event(Event::Answered {
                    request: sent.request,
                    upstream: sent.upstream,
                    status: status.as_u16(),
                    first_byte_ms,
                });
            }
            RelayEnd::CallerLeft => {
                let after_ms = node.now().since(ctx.started_at);
                node.log.event(Event::CallerLeft {
                    request: sent.request,
                    after_ms,
                });
            }
            RelayEnd::Broken(reason, outcome) => {
                node.note_outcome(sent, outcome);
                log_broken(&node, &ctx, sent, &reason);
                caller.break_off(reason).await;
            }
            RelayEnd::CallerSlow => {
                let reason = "the caller did not read the answer in time".to_owned();
                log_broken(&node, &ctx, sent, &reason);
                caller.break_off(reason).await;
            }
        }
    });
    answer
}

/// Logs that the caller's connection is broken off.
fn log_broken(node: &Node, ctx: &RequestContext, sent: SendIds<'_>, reason: &str) {
    node.log.event(Event::AnswerBroken {
        request: sent.request,
        upstream: sent.upstream,
        reason,
        events: 0,
        after_ms: node.now().since(ctx.started_at),
    });
}

/// Reason why the relay has ended.
enum RelayEnd {
    /// The body is complete.
    Whole,
    /// The caller has disconnected.
    CallerLeft,
    /// The caller had not read the body at the deadline.
    CallerSlow,
    /// The body of the upstream is not complete.
    Broken(String, Outcome),
}

/// Relays the body until it ends or the deadline of the request has passed. The connection to the
/// upstream is closed unless the body is complete.
async fn relay_until_end(
    node: &Node,
    ctx: &RequestContext,
    body: LargeBody,
    caller: &BodySender,
) -> RelayEnd {
    // What was read before the relay, until the queue has taken it.
    let mut first_memory = Some(ctx.memory.charge(Use::Answers, body.first.len()));
    let LargeBody {
        first,
        mut rest,
        checkout,
    } = body;
    let max_bytes = match rest.size_hint().exact() {
        Some(_) => u64::MAX,
        None => MAX_UNSIZED_BYTES,
    };
    let mut relayed_bytes = 0;
    let mut chunk = first;
    loop {
        relayed_bytes += chunk.len() as u64;
        if relayed_bytes > max_bytes {
            let reason = "a body without a length is too large".to_owned();
            return RelayEnd::Broken(reason, Outcome::Failed);
        }
        match before_deadline(node, ctx, caller.send(chunk)).await {
            None => return RelayEnd::CallerSlow,
            Some(Err(_)) => return RelayEnd::CallerLeft,
            Some(Ok(())) => drop(first_memory.take()),
        }
        let next = tokio::select! {
            next = before_deadline(node, ctx, next_chunk(&mut rest)) => next,
            () = caller.closed() => return RelayEnd::CallerLeft,
        };
        chunk = match next {
            None => {
                let reason = "the body was not complete in time".to_owned();
                return RelayEnd::Broken(reason, Outcome::Failed);
            }
            Some(Err(err)) => {
                let reason = format!("the body ended early: {err}");
                let outcome = if is_closed_by_upstream(&err) {
                    Outcome::ConnectionLost
                } else {
                    Outcome::Failed
                };
                return RelayEnd::Broken(reason, outcome);
            }
            Some(Ok(None)) => {
                checkout.check_in(node);
                return RelayEnd::Whole;
            }
            Some(Ok(Some(chunk))) => chunk,
        };
    }
}

/// Output of the future; `None` if the deadline of the request passes first.
async fn before_deadline<T>(
    node: &Node,
    ctx: &RequestContext,
    future: impl Future<Output = T>,
) -> Option<T> {
    let left_ms = ctx.left_ms(node);
    if left_ms == 0 {
        return None;
    }
    timeout(Duration::from_millis(left_ms), future).await.ok()
}
