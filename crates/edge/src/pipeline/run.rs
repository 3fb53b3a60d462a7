//! Choice of the region that runs a request: the own one, another one, or another one after a
//! failure.

use super::{
    answer::Answer,
    attempts::{placement_request, send_until_answered, Attempts, UpstreamAnswer, UpstreamBody},
    forward, hold, large,
    nearby::Nearby,
    refusal::Refusal,
    stream::{self, StreamSource},
    Admission, RequestContext,
};
use crate::{
    dispatch::is_hop_header,
    node::Node,
    peers::is_peer_header,
    place::{Choice, NOT_A_USER},
    relay::AnswerBody,
};
use hyper::{http::response::Parts, HeaderMap, Response, StatusCode};
use std::{ops::ControlFlow, rc::Rc, sync::Arc};

/// `Retry-After` when no upstream is usable, in milliseconds.
pub(super) const NO_UPSTREAM_RETRY_AFTER_MS: u64 = 700;

/// Runs a request in one of the regions that may serve it: the own one, unless another one is
/// preferable.
pub async fn run_in_allowed_region(
    node: &Rc<Node>,
    ctx: RequestContext,
    admission: &Admission,
) -> Result<Answer, Refusal> {
    hold::check(node, &ctx)?;
    let is_own_region_allowed = admission
        .regions
        .iter()
        .any(|region| **region == *node.region);
    let is_cut_off = is_own_region_allowed && node.is_cut_off(&ctx.meta.service);
    let mut nearby = Nearby::default();
    if is_cut_off {
        if let Some(outcome) = nearby.forward(node, &ctx).await {
            return outcome;
        }
    }
    let remote = forward::best_remote(node, &ctx, &admission.regions, &[]);
    let local = if is_own_region_allowed && !is_cut_off {
        node.place(&placement_request(&ctx, &[]))
            .reject_long_queue(&ctx.job, ctx.meta.aim_ms)
    } else {
        Choice::NoUpstream
    };
    let local_wait_ms = match &local {
        Choice::Placed(placed) => Some(placed.wait_ms),
        Choice::Saturated | Choice::Limited(_) | Choice::NoUpstream => None,
    };
    let is_last_resort = is_cut_off && remote.is_none() && nearby.is_untried();
    let is_remote_preferred = |remote: &forward::RemoteCandidate| match &local {
        Choice::Placed(placed) => remote.is_preferable_to(&ctx, placed),
        Choice::Saturated | Choice::Limited(_) => remote.can_meet_target(&ctx),
        Choice::NoUpstream => true,
    };
    if let Some(remote) = remote.filter(is_remote_preferred) {
        let outcome = forward::forward(node, &ctx, &remote, local_wait_ms).await;
        if !outcome.as_ref().is_err_and(Refusal::is_not_run) {
            if is_own_region_allowed {
                node.note_unmet(&ctx.meta.service, &ctx.job);
            }
            return outcome;
        }
        if !is_own_region_allowed {
            return forward_to_another(node, &ctx, admission, &remote, outcome).await;
        }
    }
    if let Choice::Limited(outlook) = local {
        if outlook.wait_ms == NOT_A_USER {
            if let Some(user) = forward::limit_user_nearby(node, &ctx) {
                return forward::forward(node, &ctx, &user, None).await;
            }
        }
    }
    if is_own_region_allowed {
        let attempts = Attempts {
            is_last_resort,
            ..Attempts::default()
        };
        return run_local_first(node, ctx, admission, attempts, nearby).await;
    }
    if admission.regions.is_empty() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(Refusal::new(status, "no region may serve the request"));
    }
    let reason = "no instance of a home region is in reach";
    Err(Refusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER_MS))
}

/// Forwards a request that `refused_by` has refused to one more instance, if there is one.
async fn forward_to_another(
    node: &Rc<Node>,
    ctx: &RequestContext,
    admission: &Admission,
    refused_by: &forward::RemoteCandidate,
    outcome: Result<Answer, Refusal>,
) -> Result<Answer, Refusal> {
    let tried = [Arc::clone(&refused_by.member)];
    let Some(remote) = forward::best_remote(node, ctx, &admission.regions, &tried) else {
        return outcome;
    };
    forward::forward(node, ctx, &remote, None).await
}

/// Runs a request on upstreams of the own region. If it fails because this instance does not reach them,
/// forwards it inside the region; if it fails otherwise and may be repeated, to another region.
async fn run_local_first(
    node: &Rc<Node>,
    ctx: RequestContext,
    admission: &Admission,
    mut attempts: Attempts,
    mut nearby: Nearby,
) -> Result<Answer, Refusal> {
    let retry_ctx = ctx.clone();
    let outcome = run_with_attempts(node, ctx, &mut attempts).await;
    let forwarded = nearby.forward_failed(node, &retry_ctx, &attempts, outcome);
    let outcome = match forwarded.await {
        ControlFlow::Break(outcome) => return outcome,
        ControlFlow::Continue(outcome) => outcome,
    };
    if !retry_ctx.meta.kind.is_repeatable() {
        return outcome;
    }
    let has_failed = match &outcome {
        Ok(answer) => answer.status().is_server_error(),
        Err(refusal) => !refusal.is_not_run(),
    };
    let runs_left = retry_ctx.meta.max_attempts.saturating_sub(attempts.runs);
    let may_repeat = !attempts.has_lost_engine || node.may_repeat_after_crash(&retry_ctx);
    if !has_failed || !may_repeat || runs_left == 0 || !retry_ctx.has_time_to_forward(node) {
        return outcome;
    }
    let Some(mut remote) = forward::best_remote(node, &retry_ctx, &admission.regions, &[]) else {
        return outcome;
    };
    remote.cause = "failed";
    if !node.try_repeat(&retry_ctx.meta.service) {
        return outcome;
    }
    let mut retry_ctx = retry_ctx;
    retry_ctx.meta.max_attempts = runs_left;
    match forward::forward(node, &retry_ctx, &remote, None).await {
        Ok(answer) if !answer.status().is_server_error() => Ok(answer),
        Ok(_) | Err(_) => outcome,
    }
}

/// Runs a request on upstreams of the own region.
pub async fn run_in_own_region(node: &Rc<Node>, ctx: RequestContext) -> Result<Answer, Refusal> {
    run_with_attempts(node, ctx, &mut Attempts::default()).await
}

/// Runs a request on upstreams of the own region and counts the attempts.
async fn run_with_attempts(
    node: &Rc<Node>,
    ctx: RequestContext,
    attempts: &mut Attempts,
) -> Result<Answer, Refusal> {
    hold::check(node, &ctx)?;
    node.note_request(&ctx.meta.service, &ctx.job);
    let answer = send_until_answered(node, &ctx, attempts).await?;
    let UpstreamAnswer {
        head,
        body,
        load_guard,
        send_watch,
        upstream,
    } = answer;
    match body {
        UpstreamBody::Unread(body, checkout) => {
            let source = StreamSource::new(
                &head.headers,
                body,
                checkout,
                load_guard,
                send_watch,
                upstream,
            );
            Ok(stream::relay(
                node,
                ctx,
                std::mem::take(attempts),
                &head,
                source,
            ))
        }
        UpstreamBody::Large(body) => {
            let answer = large::relay(node, ctx, &head, body, load_guard, upstream);
            Ok(answer)
        }
        UpstreamBody::Buffered(body) => Ok(answer_with_body(&head, AnswerBody::whole(body))),
    }
}

/// Headers of a response without hop-by-hop headers and those of messages between instances.
pub(super) fn caller_headers(from: &HeaderMap) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        if !is_hop_header(name) && !is_peer_header(name) {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Response to the caller with the upstream's status and headers and the given body.
fn answer_with_body(head: &Parts, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = caller_headers(&head.headers);
    answer
}
