//! Placing a request, sending it, and sending it again until an answer is there.

use super::{
    refusal::Refusal,
    run::NO_UPSTREAM_RETRY_MS,
    send_once::{send_once, Sending},
    Ticket,
};
use crate::{
    dispatch::{Keep, Work},
    log::Event,
    node::{Node, Offered},
    place::{Choice, Placed},
};
use bytes::Bytes;
use hyper::{body::Incoming, http::response::Parts};
use std::{rc::Rc, sync::Arc, time::Duration};

/// Upstreams that one request is offered to at most, whether it ran there or not.
const MAX_SENDS: u32 = 4;
/// Pause before a request for which no upstream may be used is placed again, in milliseconds.
const PLACE_AGAIN_MS: u64 = 40;
/// Time for which a request waits for an upstream that may be used, in milliseconds.
const NO_UPSTREAM_WAIT_MS: u64 = 300;
/// Part of its aim, as a divisor, for which a request waits while all upstreams are crowded.
const CROWDED_AIM_PARTS: u64 = 2;
/// Time after which callers come back when all upstreams are crowded, in milliseconds.
const CROWDED_RETRY_MS: u64 = 1_200;

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

pub(super) fn offered<'a>(ticket: &'a Ticket, tried: &'a [Arc<str>]) -> Offered<'a> {
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
        match node
            .place(&offered(ticket, &tries.tried))
            .unless_queued(&ticket.job, ticket.far.aim_ms)
        {
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
