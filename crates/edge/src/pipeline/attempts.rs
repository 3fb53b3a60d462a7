//! Retry loop: places a request, sends it, and retries until an upstream has answered.

use super::{
    hold::HoldWait,
    large::LargeBody,
    refusal::Refusal,
    run::NO_UPSTREAM_RETRY_AFTER_MS,
    send_once::{send_once, SendResult},
    RequestContext,
};
use crate::{
    crash::SendWatch,
    dispatch::{ConnectionCheckout, LoadGuard},
    log::Event,
    node::{LimitWait, Node, PlacementRequest},
    place::{Choice, LimitOutlook, Placement, NOT_A_USER},
};
use bytes::Bytes;
use hyper::{body::Incoming, http::response::Parts};
use std::{rc::Rc, sync::Arc, time::Duration};

/// Maximum number of upstreams that one request is offered to, whether it ran there or not.
const MAX_UPSTREAMS_TRIED: u32 = 4;
/// Pause before placement is retried when no upstream is usable, in milliseconds.
const PLACE_RETRY_PAUSE_MS: u64 = 40;
/// Maximum wait for a usable upstream, in milliseconds.
const NO_UPSTREAM_WAIT_MS: u64 = 300;
/// Divisor of the first-byte target that gives the maximum wait while all upstreams are crowded.
const CROWDED_WAIT_DIVISOR: u64 = 2;
/// `Retry-After` when all upstreams are crowded, in milliseconds.
const CROWDED_RETRY_AFTER_MS: u64 = 1_200;

/// Bounds of `Retry-After` when all upstreams are at their limit, in milliseconds.
const MIN_LIMITED_RETRY_AFTER_MS: u64 = 300;
const MAX_LIMITED_RETRY_AFTER_MS: u64 = 10_000;

/// Attempts made for one request so far.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    /// Upstreams that the request was offered to.
    pub(super) tried: Vec<Arc<str>>,
    /// Number of attempts in which the request was sent.
    pub(super) sends: u32,
    /// Number of sends after which the request may have run.
    pub(super) runs: u32,
    /// Whether an engine's connection was lost before its first output for this request.
    pub(super) has_lost_engine: bool,
    /// Whether no other instance can take the request, so that it is tried even while the service is
    /// cut off.
    pub(super) is_last_resort: bool,
    /// Whether an upstream refused that fails if it does so too often.
    pub(super) has_brittle_refusal: bool,
}

/// Response of an upstream, with its body buffered or still to be read.
pub(super) struct UpstreamAnswer {
    pub(super) head: Parts,
    pub(super) body: UpstreamBody,
    pub(super) load_guard: LoadGuard,
    pub(super) send_watch: SendWatch,
    pub(super) upstream: Arc<str>,
}

impl UpstreamAnswer {
    /// Whether it is an event stream that has not been read yet.
    pub(super) fn is_stream(&self) -> bool {
        matches!(self.body, UpstreamBody::Unread(..)) && self.head.status.is_success()
    }
}

/// Body of an upstream's response.
pub(super) enum UpstreamBody {
    /// Not read yet; the connection returns to the pool after the end of the body.
    Unread(Incoming, ConnectionCheckout),
    /// Read in part, because it is large.
    Large(LargeBody),
    /// Read completely.
    Buffered(Bytes),
}

/// Sends a request, with retries on other upstreams, until there is a response for the caller.
pub(super) async fn send_until_answered(
    node: &Rc<Node>,
    ctx: &RequestContext,
    attempts: &mut Attempts,
) -> Result<UpstreamAnswer, Refusal> {
    let mut error_answer = None;
    let mut hold_wait = HoldWait::default();
    let last_refusal = loop {
        let placed = match place(node, ctx, attempts).await {
            Ok(placed) => placed,
            Err(refusal) => break refusal,
        };
        match hold_wait.may_send(node, ctx).await {
            Ok(true) => {}
            Ok(false) => continue,
            Err(refusal) => break refusal_unless_run(attempts, refusal),
        }
        refuse_late_send(node, attempts)?;
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
                attempts.has_brittle_refusal |= node.is_brittle(&placed.id);
                ("the upstream refused".to_owned(), false)
            }
            SendResult::Lost(reason) => {
                attempts.sends += 1;
                attempts.runs += 1;
                attempts.has_lost_engine = true;
                (reason, true)
            }
            SendResult::Failed(reason, answer) => {
                attempts.sends += 1;
                attempts.runs += 1;
                error_answer = answer.or(error_answer);
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
    error_answer.ok_or(last_refusal)
}

/// Refuses a request that was sent to no upstream yet, if it might not complete before the instance
/// stops.
fn refuse_late_send(node: &Node, attempts: &Attempts) -> Result<(), Refusal> {
    if attempts.sends == 0 && node.is_refusing_sends() {
        return Err(Refusal::stopping());
    }
    Ok(())
}

/// Returns `refusal` if the request has certainly not run, and otherwise one that says it may have
/// run.
fn refusal_unless_run(attempts: &Attempts, refusal: Refusal) -> Refusal {
    if attempts.runs == 0 {
        refusal
    } else {
        Refusal::may_have_run("the upstream failed")
    }
}

/// Whether another attempt is allowed.
fn may_retry(node: &Node, ctx: &RequestContext, attempts: &Attempts) -> bool {
    let may_run_again = attempts.runs == 0
        || (ctx.meta.kind.is_repeatable() && attempts.runs < ctx.meta.max_attempts);
    // Other brittle upstreams are probably full too, and each further rejection counts.
    may_run_again
        && !attempts.has_brittle_refusal
        && (!attempts.has_lost_engine || node.may_repeat_after_crash(ctx))
        && attempts.tried.len() < MAX_UPSTREAMS_TRIED as usize
        && ctx.left_ms(node) > 0
}

/// Placement request that excludes the upstreams in `tried`.
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

/// Chooses an upstream that can answer in time. Waits briefly while none is usable.
async fn place(
    node: &Node,
    ctx: &RequestContext,
    attempts: &Attempts,
) -> Result<Placement, Refusal> {
    let started_at = node.now();
    let mut limit_wait = None;
    let placed = place_or_wait(node, ctx, attempts, &mut limit_wait).await;
    let is_unmet = placed.as_ref().is_err_and(Refusal::is_not_run);
    if is_unmet && !node.is_refusing_sends() {
        node.note_unmet(&ctx.meta.service, &ctx.job);
    }
    if let Some(wait) = limit_wait {
        node.log.event(Event::LimitWaited {
            request: &ctx.meta.request,
            ahead: wait.ahead,
            waited_ms: node.now().since(started_at),
            is_placed: placed.is_ok(),
        });
    }
    placed
}

/// Chooses an upstream. Sets `limit_wait` once the request waits for a limited one.
async fn place_or_wait<'a>(
    node: &'a Node,
    ctx: &'a RequestContext,
    attempts: &Attempts,
    limit_wait: &mut Option<LimitWait<'a>>,
) -> Result<Placement, Refusal> {
    let service = &ctx.meta.service;
    let wait_until = node.now().plus(NO_UPSTREAM_WAIT_MS.min(ctx.left_ms(node)));
    loop {
        refuse_late_send(node, attempts)?;
        let request = placement_request(ctx, &attempts.tried);
        let choice = if attempts.is_last_resort {
            node.place_despite_cut_off(&request)
        } else {
            node.place(&request)
        };
        match choice.reject_long_queue(&ctx.job, ctx.meta.aim_ms) {
            Choice::Placed(placed) => return check_wait(node, ctx, attempts, placed),
            Choice::Saturated => {
                let waited_ms = node.now().since(ctx.started_at);
                if waited_ms >= ctx.meta.aim_ms / CROWDED_WAIT_DIVISOR {
                    let refusal =
                        Refusal::not_run("all upstreams are crowded", CROWDED_RETRY_AFTER_MS);
                    return Err(refusal_unless_run(attempts, refusal));
                }
                tokio::time::sleep(Duration::from_millis(PLACE_RETRY_PAUSE_MS)).await;
            }
            Choice::Limited(outlook) => {
                let wait = limit_wait.get_or_insert_with(|| node.wait_for_limit(&ctx.meta.service));
                let expected_ms = expected_limit_wait_ms(outlook, wait.ahead);
                let waited_ms = node.now().since(ctx.started_at);
                let max_wait_ms = ctx.meta.aim_ms / CROWDED_WAIT_DIVISOR;
                if waited_ms.saturating_add(expected_ms) >= max_wait_ms {
                    let retry_after_ms = if outlook.wait_ms == NOT_A_USER {
                        NO_UPSTREAM_RETRY_AFTER_MS
                    } else {
                        expected_ms.clamp(MIN_LIMITED_RETRY_AFTER_MS, MAX_LIMITED_RETRY_AFTER_MS)
                    };
                    let refusal =
                        Refusal::not_run("all upstreams are at their limit", retry_after_ms);
                    return Err(refusal_unless_run(attempts, refusal));
                }
                let pause_ms = expected_ms.clamp(1, PLACE_RETRY_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            Choice::NoUpstream if !attempts.is_last_resort && node.is_cut_off(service) => {
                let refusal =
                    Refusal::not_run("no upstream is in reach", NO_UPSTREAM_RETRY_AFTER_MS);
                return Err(refusal_unless_run(attempts, refusal));
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

/// Expected time until a limited upstream takes a request with `ahead` requests before it, in
/// milliseconds.
fn expected_limit_wait_ms(outlook: LimitOutlook, ahead: usize) -> u64 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let queue_ms = (outlook.interval_ms * ahead as f64) as u64;
    outlook.wait_ms.saturating_add(queue_ms)
}

/// Refuses the request if the expected wait at the chosen upstream exceeds the remaining time.
fn check_wait(
    node: &Node,
    ctx: &RequestContext,
    attempts: &Attempts,
    placed: Placement,
) -> Result<Placement, Refusal> {
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
