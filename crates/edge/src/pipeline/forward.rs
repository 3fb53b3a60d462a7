//! Forwarding of requests to instances of other regions, and of the own one.

use super::{answer::Answer, refusal::Refusal, run::caller_headers, RequestContext};
use crate::{
    hash::short_hash,
    log::Event,
    node::Node,
    peers::{exchange, ExchangeError, REFUSED_HEADER, TICKET_HEADER},
    place::{cost_ms, Placement},
    relay::AnswerBody,
};
use bytes::Bytes;
use carobwheel_core::{memory::Use, status::is_final};
use http_body_util::Full;
use hyper::{header::HeaderValue, Request, Response, StatusCode};
use std::{rc::Rc, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Time that forwarding to another region adds to a request, in milliseconds: the way there and the
/// way of the response back.
const CROSS_REGION_MS: f64 = 170.0;
/// Share of the first-byte target that the wait in another region may take while the own region is
/// crowded.
const REMOTE_WAIT_TARGET_SHARE: f64 = 0.8;
/// Share of the first-byte target that the cost in the own region has to exceed before a request is
/// forwarded.
const LOCAL_COST_TARGET_SHARE: f64 = 0.4;
/// Ratio to the cost in the own region that the cost in the other region has to stay below.
const MAX_REMOTE_COST_RATIO: f64 = 0.8;
/// `Retry-After` of a forwarded request that was refused without stating one, in milliseconds.
const REFUSED_RETRY_AFTER_MS: u64 = 700;

/// Instance of another region that a request may be forwarded to.
#[derive(Clone, Debug)]
pub(super) struct RemoteCandidate {
    pub(super) member: Arc<str>,
    region: Arc<str>,
    wait_ms: f64,
    cost_ms: f64,
    /// Why the request is forwarded, for the log.
    pub(super) cause: &'static str,
}

impl RemoteCandidate {
    /// Whether the request would meet its first-byte target there.
    pub(super) fn can_meet_target(&self, ctx: &RequestContext) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let aim_ms = ctx.meta.aim_ms as f64;
        self.wait_ms + CROSS_REGION_MS < aim_ms * REMOTE_WAIT_TARGET_SHARE
    }

    /// Whether forwarding is preferable to the placement in the own region.
    pub(super) fn is_preferable_to(&self, ctx: &RequestContext, local: &Placement) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let aim_ms = ctx.meta.aim_ms as f64;
        local.cost_ms > aim_ms * LOCAL_COST_TARGET_SHARE
            && self.cost_ms + CROSS_REGION_MS < local.cost_ms * MAX_REMOTE_COST_RATIO
    }
}

/// Instance of an allowed region other than the own one, chosen by the lowest reported cost. Skips
/// the instances in `tried`, which have refused the request.
pub(super) fn best_remote(
    node: &Node,
    ctx: &RequestContext,
    regions: &[String],
    tried: &[Arc<str>],
) -> Option<RemoteCandidate> {
    let now = node.now();
    let service = short_hash(&ctx.meta.service);
    let state = node.state.borrow();
    let kind = state.kind_of(&ctx.meta.service, &ctx.job);
    let mut best: Option<(f64, RemoteCandidate)> = None;
    for region in regions.iter().filter(|region| ***region != *node.region) {
        for member in state.members.up_in(region, now) {
            let Some(forecast) = state.forecast_of(member, service, kind, now) else {
                continue;
            };
            let is_linked = node.links.connection(&member.entry.name).is_some();
            if !is_linked || tried.contains(&member.entry.name) {
                continue;
            }
            let cost_ms = cost_ms(&ctx.job, forecast.wait_ms, forecast.time_per_token_ms);
            // Instances of a region report similar costs; the random term spreads requests over
            // them.
            let rank = cost_ms + rand::random::<f64>() * (10.0 + cost_ms / 4.0);
            if best.as_ref().is_none_or(|(known, _)| rank < *known) {
                let remote = RemoteCandidate {
                    member: Arc::clone(&member.entry.name),
                    region: Arc::clone(&member.entry.region),
                    wait_ms: forecast.wait_ms,
                    cost_ms,
                    cause: "region",
                };
                best = Some((rank, remote));
            }
        }
    }
    best.map(|(_, remote)| remote)
}

/// Instance of the own region that uses a limited upstream of the request's service.
pub(super) fn limit_user_nearby(node: &Node, ctx: &RequestContext) -> Option<RemoteCandidate> {
    let state = node.state.borrow();
    let member = state.limit_user_nearby(node, &ctx.meta.service, node.now())?;
    Some(RemoteCandidate {
        member,
        region: Arc::clone(&node.region),
        wait_ms: 0.0,
        cost_ms: 0.0,
        cause: "limit",
    })
}

/// Instance of the own region that reaches the upstreams of the request's service, while this one does not.
/// Skips the instances in `tried`, which have refused the request.
pub(super) fn nearby_target(
    node: &Node,
    ctx: &RequestContext,
    tried: &[Arc<str>],
) -> Option<RemoteCandidate> {
    let state = node.state.borrow();
    let member = state.nearby_target(node, &ctx.meta.service, tried, node.now())?;
    Some(RemoteCandidate {
        member,
        region: Arc::clone(&node.region),
        wait_ms: 0.0,
        cost_ms: 0.0,
        cause: "cut_off",
    })
}

/// Forwards a request and passes the response through.
pub(super) async fn forward(
    node: &Rc<Node>,
    ctx: &RequestContext,
    remote: &RemoteCandidate,
    local_wait_ms: Option<f64>,
) -> Result<Answer, Refusal> {
    // The copy that is sent; refused, since the own region may still run the request.
    let Ok(_copy) = ctx.memory.reserve(Use::Forwards, ctx.body.len()) else {
        node.metrics.count_dropped("forward");
        return Err(Refusal::out_of_memory());
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole_ms = |ms: f64| ms.max(0.0) as u64;
    node.log.event(Event::Forwarded {
        request: &ctx.meta.request,
        member: &remote.member,
        region: &remote.region,
        wait_ms: whole_ms(remote.wait_ms),
        local_wait_ms: local_wait_ms
            .map_or(-1, |ms| i64::try_from(whole_ms(ms)).unwrap_or(i64::MAX)),
        cause: remote.cause,
    });
    node.metrics.forwarded.add(1);
    let link_lost = Refusal::not_run("the link to another region is lost", REFUSED_RETRY_AFTER_MS);
    let Some(request) = forwarded_request(node, ctx) else {
        return Err(link_lost);
    };
    let left = Duration::from_millis(ctx.left_ms(node).max(1));
    let exchange = exchange(node, &remote.member, request);
    let response = match timeout(left, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(ExchangeError::NotSent)) => return Err(link_lost),
        Ok(Err(ExchangeError::Broken(reason))) => {
            log_failure(node, ctx, &remote.member, &reason);
            return Err(Refusal::may_have_run("the link to another region broke"));
        }
        Err(_) => {
            log_failure(node, ctx, &remote.member, "no answer in time");
            return Err(Refusal::timed_out("no answer from another region in time"));
        }
    };
    let (head, body) = response.into_parts();
    if head.headers.contains_key(REFUSED_HEADER) {
        return Err(refusal_of(&head));
    }
    if !is_final(head.status.as_u16()) {
        // Builds of before pass on whatever the upstream has answered.
        log_failure(node, ctx, &remote.member, "the status is out of range");
        return Err(Refusal::may_have_run("another region failed"));
    }
    let deadline = Box::pin(sleep(Duration::from_millis(ctx.left_ms(node))));
    let mut answer = Response::new(AnswerBody::Passthrough(body, deadline));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = caller_headers(&head.headers);
    Ok(answer)
}

/// Builds the request to the other instance, with the metadata in a header.
fn forwarded_request(node: &Node, ctx: &RequestContext) -> Option<Request<Full<Bytes>>> {
    let mut meta = ctx.meta.clone();
    meta.left_ms = ctx.left_ms(node);
    meta.is_counted = ctx.is_counted.get();
    let meta = serde_json::to_string(&meta).ok()?;
    let mut request = Request::new(Full::new(ctx.body.clone()));
    *request.method_mut() = ctx.method.clone();
    *request.uri_mut() = ctx.uri.clone();
    *request.headers_mut() = ctx.headers.clone();
    request
        .headers_mut()
        .insert(TICKET_HEADER, HeaderValue::from_str(&meta).ok()?);
    Some(request)
}

/// Converts the refusal of another instance to the refusal for the caller.
fn refusal_of(head: &hyper::http::response::Parts) -> Refusal {
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE => {
            let stated = head.headers.get(hyper::header::RETRY_AFTER);
            let seconds = stated.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let retry_after_ms =
                seconds.map_or(REFUSED_RETRY_AFTER_MS, |s| (s.max(0.0) * 1_000.0) as u64);
            Refusal::not_run("another region refused", retry_after_ms)
        }
        StatusCode::GATEWAY_TIMEOUT => Refusal::timed_out("another region did not answer in time"),
        _ => Refusal::may_have_run("another region failed"),
    }
}

/// Logs a failed forward.
fn log_failure(node: &Node, ctx: &RequestContext, member: &str, reason: &str) {
    node.log.event(Event::SendFailed {
        request: &ctx.meta.request,
        upstream: member,
        attempt: 1,
        reason,
        may_have_run: true,
        will_retry: false,
        after_ms: node.now().since(ctx.started_at),
    });
}
