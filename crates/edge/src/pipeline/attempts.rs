//! Placing a request, sending it, and sending it again until an answer is there.

use super::{
    refusal::Refusal,
    run::NO_UPSTREAM_RETRY_AFTER_MS,
    send_once::{send_once, SendResult},
    RequestContext,
};
use crate::{
    dispatch::{ConnectionCheckout, LoadGuard},
    log::Event,
    node::{Node, PlacementRequest},
    place::{Choice, Placed},
};
use bytes::Bytes;
use hyper::{body::Incoming, http::response::Parts};
use std::{rc::Rc, sync::Arc, time::Duration};

/// Upstreams that one request is offered to at most, whether it ran there or not.
const MAX_UPSTREAMS_TRIED: u32 = 4;
/// Pause before a request for which no upstream may be used is placed again, in milliseconds.
const PLACE_RETRY_PAUSE_MS: u64 = 40;
/// Time for which a request waits for an upstream that may be used, in milliseconds.
const NO_UPSTREAM_WAIT_MS: u64 = 300;
/// Part of its aim, as a divisor, for which a request waits while all upstreams are crowded.
const CROWDED_WAIT_DIVISOR: u64 = 2;
/// Time after which callers come back when all upstreams are crowded, in milliseconds.
const CROWDED_RETRY_AFTER_MS: u64 = 1_200;

/// What is known of a request's sends so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Upstreams that had it.
    pub(super) tried: Vec<Arc<str>>,
    /// Sends that left.
    pub(super) sends: u32,
    /// Sends after which it may have run.
    pub(super) runs: u32,
}

/// An answer as far as it was read.
pub(super) struct UpstreamAnswer {
    pub(super) head: Parts,
    pub(super) body: UpstreamBody,
    pub(super) load_guard: LoadGuard,
    pub(super) upstream: Arc<str>,
}

/// The body of an answer.
pub(super) enum UpstreamBody {
    /// Still at the upstream.
    Unread(Incoming, ConnectionCheckout),
    /// Whole.
    Buffered(Bytes),
}

/// Sends a request until an answer for the caller is there.
pub(super) async fn send_until_answered(
    node: &Rc<Node>,
    ctx: &RequestContext,
    attempts: &mut Attempts,
) -> Result<UpstreamAnswer, Refusal> {
    let mut passable = None;
    let given_up = loop {
        let placed = match place(node, ctx, attempts).await {
            Ok(placed) => placed,
            Err(refusal) => break refusal,
        };
        if attempts.sends > 0 && !node.try_repeat(&ctx.meta.service) {
            break refusal_unless_run(
                attempts,
                Refusal::not_run("no repeats are left", NO_UPSTREAM_RETRY_AFTER_MS),
            );
        }
        let attempt = attempts.sends + 1;
        let started_at = node.now();
        let result = send_once(node, ctx, &placed, attempt).await;
        attempts.tried.push(Arc::clone(&placed.id));
        let (reason, may_have_run) = match result {
            SendResult::Answer(answer) => return Ok(answer),
            SendResult::Unreachable(reason) => (reason, false),
            SendResult::NotRun => {
                attempts.sends += 1;
                ("the upstream refused".to_owned(), false)
            }
            SendResult::Failed(reason, answer) => {
                attempts.sends += 1;
                attempts.runs += 1;
                passable = answer.or(passable);
                (reason, true)
            }
        };
        let will_retry = may_retry(node, ctx, attempts);
        node.log.event(Event::SendFailed {
            request: &ctx.meta.request,
            upstream: &placed.id,
            attempt,
            reason: &reason,
            may_have_run,
            will_retry,
            after_ms: node.now().since(started_at),
        });
        if !will_retry {
            break refusal_unless_run(
                attempts,
                Refusal::not_run("the upstreams refused", NO_UPSTREAM_RETRY_AFTER_MS),
            );
        }
    };
    passable.ok_or(given_up)
}

/// `refusal` if the request has surely not run.
fn refusal_unless_run(attempts: &Attempts, refusal: Refusal) -> Refusal {
    if attempts.runs == 0 {
        refusal
    } else {
        Refusal::may_have_run("the upstream failed")
    }
}

fn may_retry(node: &Node, ctx: &RequestContext, attempts: &Attempts) -> bool {
    let may_run_again = attempts.runs == 0
        || (ctx.meta.kind.is_repeatable() && attempts.runs < ctx.meta.max_attempts);
    may_run_again && attempts.tried.len() < MAX_UPSTREAMS_TRIED as usize && ctx.left_ms(node) > 0
}

pub(super) fn placement_request<'a>(
    ctx: &'a RequestContext,
    tried: &'a [Arc<str>],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &ctx.meta.service,
        job: &ctx.job,
        tried,
        draw: ctx.meta.draw,
    }
}

/// Finds an upstream that can answer in time.
async fn place(node: &Node, ctx: &RequestContext, attempts: &Attempts) -> Result<Placed, Refusal> {
    let wait_until = node.now().plus(NO_UPSTREAM_WAIT_MS.min(ctx.left_ms(node)));
    loop {
        match node
            .place(&placement_request(ctx, &attempts.tried))
            .unless_queued(&ctx.job, ctx.meta.aim_ms)
        {
            Choice::Placed(placed) => return check_wait(node, ctx, attempts, placed),
            Choice::Crowded => {
                let waited_ms = node.now().since(ctx.started_at);
                if waited_ms >= ctx.meta.aim_ms / CROWDED_WAIT_DIVISOR {
                    let refusal =
                        Refusal::not_run("all upstreams are crowded", CROWDED_RETRY_AFTER_MS);
                    return Err(refusal_unless_run(attempts, refusal));
                }
                tokio::time::sleep(Duration::from_millis(PLACE_RETRY_PAUSE_MS)).await;
            }
            Choice::NoUpstream if attempts.tried.is_empty() && node.now() < wait_until => {
                tokio::time::sleep(Duration::from_millis(PLACE_RETRY_PAUSE_MS)).await;
            }
            Choice::NoUpstream => {
                let refusal =
                    Refusal::not_run("no upstream can be used", NO_UPSTREAM_RETRY_AFTER_MS);
                return Err(refusal_unless_run(attempts, refusal));
            }
        }
    }
}

fn check_wait(
    node: &Node,
    ctx: &RequestContext,
    attempts: &Attempts,
    placed: Placed,
) -> Result<Placed, Refusal> {
    let spent_ms = node.now().since(ctx.started_at);
    let max_first_byte_ms = ctx.max_first_byte_ms();
    #[allow(clippy::cast_precision_loss)]
    let left_ms = max_first_byte_ms.saturating_sub(spent_ms) as f64;
    if placed.wait_ms < left_ms {
        return Ok(placed);
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let late_ms = (placed.wait_ms - left_ms).max(0.0) as u64;
    let retry_after_ms = late_ms.clamp(300, 3_000);
    Err(refusal_unless_run(
        attempts,
        Refusal::not_run("no upstream can answer in time", retry_after_ms),
    ))
}
