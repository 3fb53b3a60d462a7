//! Classification of an upstream's response by its head.

use super::{identify::header_text, RequestContext};
use crate::{
    dispatch::Reply,
    log::Event,
    node::{Node, SendIds},
    upstream::Outcome,
};
use carobwheel_core::{
    brittle::{parse_max_rejections, Brittleness, InvalidMaxRejections},
    status::is_final,
    upstream_limit::{parse_rate, InvalidRate, News},
};
use hyper::{HeaderMap, StatusCode};

/// Largest part of an invalid limit that is logged, in bytes.
const MAX_LOGGED_LIMIT_BYTES: usize = 32;

/// Classification of a response by its head.
pub(super) enum HeadCheck {
    /// A response for the caller.
    Pass,
    /// The upstream ran the request and failed.
    Failed,
    /// The upstream has not run the request.
    NotRun,
    /// Not a valid response to this request.
    Invalid(&'static str),
}

/// Classifies a response by its head and updates the health of the upstream.
pub(super) fn check_head(
    node: &Node,
    ctx: &RequestContext,
    sent: SendIds<'_>,
    reply: &Reply,
) -> HeadCheck {
    let names = &node.names;
    let (status, headers) = (reply.head().status(), reply.head().headers());
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let is_refusal = is_misdirected || headers.contains_key(&names.not_run);
    let is_sealed = headers.contains_key(&names.seal);
    if !is_final(status.as_u16()) {
        node.note_outcome(sent, Outcome::Failed);
        return HeadCheck::Invalid("the status is out of range");
    }
    if let Err(reason) = check_identity(node, ctx, reply, is_sealed) {
        node.note_outcome(sent, Outcome::Failed);
        return HeadCheck::Invalid(reason);
    }
    if is_misdirected {
        let mut state = node.state.borrow_mut();
        state
            .upstreams
            .entry_removed(sent.upstream, false, node.now());
        return HeadCheck::NotRun;
    }
    if is_refusal {
        node.note_leaving(reply.target(), sent.request, headers);
        record_limit(node, sent, headers);
        record_brittleness(node, sent, headers);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            node.note_rejection(sent);
        }
        node.note_outcome(sent, Outcome::Refused);
        return HeadCheck::NotRun;
    }
    if !is_sealed && (status.is_success() || status.is_server_error()) {
        node.note_outcome(sent, Outcome::Failed);
        return HeadCheck::Invalid("the response has no seal header");
    }
    node.note_leaving(reply.target(), sent.request, headers);
    let cold_ms = header_text(headers, &names.cold_ms).and_then(|text| text.parse::<u64>().ok());
    if let Some(cold_ms) = cold_ms.filter(|ms| is_sealed && *ms > 0) {
        node.note_cold(sent.upstream, cold_ms);
    }
    if is_sealed {
        record_limit(node, sent, headers);
        record_brittleness(node, sent, headers);
    }
    if status.is_server_error() {
        node.note_outcome(sent, Outcome::Failed);
        return HeadCheck::Failed;
    }
    HeadCheck::Pass
}

/// Checks that a response belongs to the request. With neither the request's id nor a seal, one on a
/// kept connection may be an earlier one that the upstream has written once more, or a statement about
/// the idle connection.
fn check_identity(
    node: &Node,
    ctx: &RequestContext,
    reply: &Reply,
    is_sealed: bool,
) -> Result<(), &'static str> {
    match header_text(reply.head().headers(), &node.names.request_id) {
        Some(echoed) if echoed != ctx.meta.request => Err("the answer belongs to another request"),
        None if !is_sealed && !reply.is_first() => {
            Err("neither the request's id nor a seal on a kept connection")
        }
        Some(_) | None => Ok(()),
    }
}

/// Records the limit that a response of the upstream states. Only a sealed response without one
/// removes it: a refusal need not repeat the limit.
fn record_limit(node: &Node, sent: SendIds<'_>, headers: &HeaderMap) {
    let names = &node.names;
    let news = match headers.get(&names.rate_limit) {
        Some(value) => {
            let text = value.to_str().unwrap_or("not text");
            match parse_rate(text) {
                Ok(rate) => News::Limited(rate),
                Err(InvalidRate) => {
                    let (upstream, request) = (sent.upstream, sent.request);
                    node.log.event(Event::UpstreamLimitIgnored {
                        upstream,
                        request,
                        text: text.get(..MAX_LOGGED_LIMIT_BYTES).unwrap_or(text),
                    });
                    return;
                }
            }
        }
        None if headers.contains_key(&names.seal) => News::Unlimited,
        None => return,
    };
    node.note_limit(sent.upstream, news);
}

/// Records whether a response states that the upstream fails if it rejects too many requests. Only a
/// sealed response without the statement ends it.
fn record_brittleness(node: &Node, sent: SendIds<'_>, headers: &HeaderMap) {
    let names = &node.names;
    let statement = match headers.get(&names.brittle) {
        Some(value) => {
            let text = value.to_str().unwrap_or("not text").trim();
            match parse_max_rejections(text) {
                Ok(max_rejections_per_s) => Brittleness::Brittle {
                    max_rejections_per_s,
                },
                Err(InvalidMaxRejections) => {
                    let (upstream, request) = (sent.upstream, sent.request);
                    node.log.event(Event::UpstreamBrittleIgnored {
                        upstream,
                        request,
                        text: text.get(..MAX_LOGGED_LIMIT_BYTES).unwrap_or(text),
                    });
                    return;
                }
            }
        }
        None if headers.contains_key(&names.seal) => Brittleness::Robust,
        None => return,
    };
    node.note_brittle(sent.upstream, statement);
}
