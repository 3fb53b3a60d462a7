//! Where a request runs: in the own region, in another one, or first here and then there.

use super::{
    answer::Answer,
    attempts::{offered, take, Taken, TakenBody, Tries},
    forward,
    refusal::Refusal,
    stream::{self, Source},
    Caller, Ticket,
};
use crate::{dispatch::is_hop_header, node::Node, place::Choice, relay::AnswerBody};
use hyper::{http::response::Parts, HeaderMap, Response, StatusCode};
use std::{rc::Rc, sync::Arc};

/// Time after which callers come back when no upstream can be used, in milliseconds.
pub(super) const NO_UPSTREAM_RETRY_MS: u64 = 700;

/// Runs a request in the own region or in another one.
pub async fn run_anywhere(
    node: &Rc<Node>,
    ticket: Ticket,
    caller: &Caller,
) -> Result<Answer, Refusal> {
    let is_home = caller.regions.iter().any(|region| **region == *node.region);
    let far = forward::best_far(node, &ticket, &caller.regions, &[]);
    let local = if is_home {
        node.place(&offered(&ticket, &[]))
            .unless_queued(&ticket.job, ticket.far.aim_ms)
    } else {
        Choice::NoUpstream
    };
    let local_wait_ms = match &local {
        Choice::Placed(placed) => Some(placed.wait_ms),
        Choice::Crowded | Choice::NoUpstream => None,
    };
    let is_far_better = |far: &forward::Far| match &local {
        Choice::Placed(placed) => far.is_better(&ticket, placed),
        Choice::Crowded => far.is_roomy(&ticket),
        Choice::NoUpstream => true,
    };
    if let Some(far) = far.filter(is_far_better) {
        let outcome = forward::forward(node, &ticket, &far, local_wait_ms).await;
        if !outcome.as_ref().is_err_and(Refusal::is_not_run) {
            return outcome;
        }
        if !is_home {
            return forward_again(node, &ticket, caller, &far, outcome).await;
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

/// Hands a request that has not run at `refused_by` to one more instance, if there is another.
async fn forward_again(
    node: &Rc<Node>,
    ticket: &Ticket,
    caller: &Caller,
    refused_by: &forward::Far,
    outcome: Result<Answer, Refusal>,
) -> Result<Answer, Refusal> {
    let tried = [Arc::clone(&refused_by.member)];
    let Some(far) = forward::best_far(node, ticket, &caller.regions, &tried) else {
        return outcome;
    };
    forward::forward(node, ticket, &far, None).await
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
    let Some(far) = forward::best_far(node, &again, &caller.regions, &[]) else {
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
    node.note_request(&ticket.far.service, &ticket.job);
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
