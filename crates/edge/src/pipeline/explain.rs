//! Explanation of where a request would be sent now, without sending it.
//!
//! The placement and its reasons come from the same decision as for a request. The region is chosen
//! with the same rules, but nothing waits: a request that would first wait for capacity is reported
//! with the refusal that follows if there is none.

use super::{
    attempts::placement_request, forward, run::NO_UPSTREAM_RETRY_AFTER_MS, Admission, Refusal,
    RequestContext,
};
use crate::{
    crash::{held_reason, suspected_reason, HoldDecision},
    memory::RequestMemory,
    model::{Account, Config, Route, RouteMatch},
    node::Node,
    place::{Candidate, Choice, Decision, Placement, NOT_A_USER},
};
use carobwheel_core::memory::Owner;
use hyper::{header::HeaderValue, http::request::Parts, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, sync::Arc};

/// `Retry-After` of a request that has waited for crowded upstreams, in milliseconds; the same as
/// that of the retry loop.
const CROWDED_RETRY_AFTER_MS: u64 = 1_200;
/// Bounds of the `Retry-After` of a request that would come too late, in milliseconds; the same as
/// those of the retry loop.
const LATE_RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 300..=3_000;

/// Description of a request.
#[derive(Clone, Debug, Deserialize)]
pub struct PlaceQuery {
    /// Host that the request names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Account of its key; not needed on open routes.
    #[serde(default)]
    pub account: Option<String>,
    /// Length of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Upper bound on the output, in tokens.
    #[serde(default)]
    pub max_output_tokens: u32,
    /// Parts of the prompt as `ID:TOKENS`, with the identifiers in hexadecimal.
    #[serde(default)]
    pub parts: Vec<String>,
}

/// Where a request would be sent now, and why.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlaceExplanation {
    /// Name of the instance that explains.
    pub instance: Arc<str>,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Version of the configuration in force.
    pub config: u64,
    /// Matching route.
    pub route: Option<Arc<str>>,
    /// Service that serves the request.
    pub service: Option<Arc<str>>,
    /// Capacity of the account.
    pub account: Option<AccountCapacity>,
    /// Regions that may serve the request.
    pub allowed_regions: Vec<String>,
    /// Number of home engines of the prompt's subject; 0 if it has none.
    pub homes: usize,
    /// Part in use of the time that the region's engines may spend on prefill.
    pub used_prefill_share: f64,
    /// Upstreams of the service in the region, the cheapest first.
    pub candidates: Vec<CandidateView>,
    /// What would happen to the request.
    pub outcome: PlaceOutcome,
}

/// Capacity of an account at one instance.
#[derive(Clone, Debug, Serialize)]
pub struct AccountCapacity {
    /// Name.
    pub name: Arc<str>,
    /// Tokens that the request costs.
    pub request_tokens: u64,
    /// Tokens that this instance may spend now; absent if the account has no limit.
    pub available_tokens: Option<u64>,
}

/// An upstream as the placement sees it.
#[derive(Clone, Debug, Serialize)]
pub struct CandidateView {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Reason why it does not get the request.
    pub excluded: Option<&'static str>,
    /// Rank among the engines for the prompt's subject, from 0.
    pub rank: Option<usize>,
    /// Whether it is reserved for the other kind of jobs.
    pub is_reserved: bool,
    /// Requests in flight.
    pub requests: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Share of its time that it spends on prefill.
    pub prefill_share: f64,
    /// Prefill speed, in tokens a millisecond.
    pub tokens_per_ms: f64,
    /// Predictions; absent if it is excluded.
    #[serde(flatten)]
    pub prediction: Option<PredictionView>,
}

/// Predictions for the request at an upstream.
#[derive(Clone, Debug, Serialize)]
pub struct PredictionView {
    /// Prompt tokens that are probably cached.
    pub cached_tokens: f64,
    /// Time for which it keeps unused parts, in milliseconds.
    pub retention_ms: f64,
    /// Wait without the prefill of the request's own prompt, in milliseconds.
    pub queue_ms: f64,
    /// Time to the first byte, in milliseconds.
    pub wait_ms: f64,
    /// Cost by which upstreams are compared, in milliseconds.
    pub cost_ms: f64,
}

/// What would happen to a request.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PlaceOutcome {
    /// It goes to an upstream of the own region.
    Upstream {
        /// Identifier of the upstream.
        upstream: Arc<str>,
        /// Predicted time to the first byte, in milliseconds.
        wait_ms: f64,
        /// Use of a home engine, or why it goes elsewhere.
        home: &'static str,
    },
    /// It is forwarded to another instance.
    Forwarded {
        /// Name of the instance.
        instance: Arc<str>,
        /// Why it does not run here.
        reason: &'static str,
    },
    /// It is refused.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason.
        reason: &'static str,
        /// `Retry-After`, in milliseconds.
        retry_after_ms: Option<u64>,
        /// Longest wait for capacity before the refusal, in milliseconds.
        after_ms: u64,
    },
}

impl Default for PlaceOutcome {
    fn default() -> Self {
        Self::refused(&Refusal::stopping(), 0)
    }
}

impl PlaceOutcome {
    fn refused(refusal: &Refusal, after_ms: u64) -> Self {
        Self::Refused {
            status: refusal.status.as_u16(),
            reason: refusal.reason,
            retry_after_ms: refusal.retry_after_ms,
            after_ms,
        }
    }
}

/// Explains where a request would be sent now.
pub fn explain(node: &Rc<Node>, query: &PlaceQuery) -> PlaceExplanation {
    let mut explanation = PlaceExplanation {
        instance: Arc::clone(&node.name),
        region: Arc::clone(&node.region),
        ..PlaceExplanation::default()
    };
    explanation.outcome = match outcome(node, query, &mut explanation) {
        Ok(outcome) => outcome,
        Err(refusal) => PlaceOutcome::refused(&refusal, 0),
    };
    explanation
}

/// Determines the outcome and fills in what it is based on.
fn outcome(
    node: &Rc<Node>,
    query: &PlaceQuery,
    explanation: &mut PlaceExplanation,
) -> Result<PlaceOutcome, Refusal> {
    if node.is_refusing_requests() {
        return Err(Refusal::stopping());
    }
    let config = node.config().ok_or_else(Refusal::no_config)?;
    explanation.config = config.version;
    let (route, account) = find(&config, query)?;
    explanation.route = Some(Arc::clone(&route.name));
    let head = request_head(node, query)?;
    let admission = Admission::unchecked(node, &head, route, account);
    explanation.allowed_regions.clone_from(&admission.regions);
    if let Some(account) = &admission.account {
        let (available_tokens, charged) = node.peek_charge(account, admission.tokens);
        explanation.account = Some(AccountCapacity {
            name: Arc::clone(&account.name),
            request_tokens: admission.tokens,
            available_tokens,
        });
        charged.map_err(Refusal::over_limit)?;
    }
    let body = bytes::Bytes::new();
    let memory = RequestMemory::new(&node.memory, Owner::default(), None);
    let ctx = admission.new_context(node, &config, head, body, node.now(), memory)?;
    explanation.service = Some(Arc::clone(&ctx.meta.service));
    let held = match node.hold_decision(&ctx) {
        HoldDecision::Send => None,
        HoldDecision::Wait(subject) => {
            Some((suspected_reason(subject), NO_UPSTREAM_RETRY_AFTER_MS))
        }
        HoldDecision::Refuse {
            subject,
            retry_after_ms,
        } => Some((held_reason(subject), retry_after_ms)),
    };
    let request = placement_request(&ctx, &[]);
    let local = node.with_decision(&request, |decision| {
        describe(&decision, explanation, node);
        decision.choice
    });
    if let Some((reason, retry_after_ms)) = held {
        return Err(Refusal::not_run(reason, retry_after_ms));
    }
    let local = local.reject_long_queue(&ctx.job, ctx.meta.aim_ms);
    Ok(destination(node, &ctx, &admission, local))
}

/// Route and account of the described request.
fn find(config: &Config, query: &PlaceQuery) -> Result<(Rc<Route>, Option<Rc<Account>>), Refusal> {
    match config.find_for_account(&query.host, &query.path, query.account.as_deref()) {
        RouteMatch::Found(route, account) => Ok((route, account)),
        RouteMatch::NoRoute => Err(Refusal::new(StatusCode::NOT_FOUND, "no such route")),
        RouteMatch::NoAccount => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown account")),
    }
}

/// Head with which a caller would send the request.
fn request_head(node: &Node, query: &PlaceQuery) -> Result<Parts, Refusal> {
    let names = &node.names;
    let malformed = |_| Refusal::new(StatusCode::BAD_REQUEST, "the description is malformed");
    let value = |text: &str| {
        HeaderValue::from_str(text)
            .map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "the description is malformed"))
    };
    let mut request = Request::builder()
        .method("POST")
        .uri(&query.path)
        .body(())
        .map_err(malformed)?;
    let headers = request.headers_mut();
    headers.insert(hyper::header::HOST, value(&query.host)?);
    if query.prompt_tokens > 0 {
        let tokens = format!("{},{}", query.prompt_tokens, query.max_output_tokens);
        headers.insert(names.token_use.clone(), value(&tokens)?);
        headers.insert(names.prompt_parts.clone(), value(&query.parts.join(","))?);
    }
    Ok(request.into_parts().0)
}

/// Describes the candidates of a decision.
fn describe(decision: &Decision<'_>, explanation: &mut PlaceExplanation, node: &Node) {
    let candidates = &decision.candidates;
    explanation.homes = candidates.homes;
    explanation.used_prefill_share = candidates.region.used_share;
    let mut all: Vec<&Candidate<'_>> = candidates.all.iter().collect();
    all.sort_by(|a, b| {
        let cost = |candidate: &Candidate<'_>| {
            let prediction = candidate.prediction;
            prediction.map_or(f64::INFINITY, |prediction| prediction.total_cost_ms)
        };
        let order = cost(a).total_cmp(&cost(b));
        order.then_with(|| a.up.entry.id.cmp(&b.up.entry.id))
    });
    let now = node.now();
    explanation.candidates = all
        .into_iter()
        .map(|candidate| CandidateView {
            upstream: Arc::clone(&candidate.up.entry.id),
            data_centre: Arc::clone(&candidate.up.entry.data_centre),
            excluded: candidate.exclusion.map(|exclusion| exclusion.name()),
            rank: candidate.rank,
            is_reserved: candidate.is_reserved,
            requests: candidate.up.load(now).requests,
            slots: candidate.up.entry.slots,
            prefill_share: candidate.up.prefill_share(now),
            tokens_per_ms: candidate.up.prefill_tokens_per_ms,
            prediction: candidate.prediction.map(|prediction| PredictionView {
                cached_tokens: prediction.reuse.cached_tokens,
                retention_ms: prediction.reuse.retention_ms,
                queue_ms: prediction.queue_ms,
                wait_ms: prediction.wait_ms,
                cost_ms: prediction.total_cost_ms,
            }),
        })
        .collect();
}

/// Region and upstream of an admitted request, by the rules of the request path.
fn destination(
    node: &Node,
    ctx: &RequestContext,
    admission: &Admission,
    local: Choice,
) -> PlaceOutcome {
    let is_own = |region: &String| **region == *node.region;
    let is_own_region_allowed = admission.regions.iter().any(is_own);
    let is_cut_off = is_own_region_allowed && node.is_cut_off(&ctx.meta.service);
    if let Some(target) = is_cut_off
        .then(|| forward::nearby_target(node, ctx, &[]))
        .flatten()
    {
        return PlaceOutcome::Forwarded {
            instance: target.member,
            reason: "this instance reaches no upstream",
        };
    }
    let local = if is_cut_off {
        Choice::NoUpstream
    } else {
        local
    };
    let remote = forward::best_remote(node, ctx, &admission.regions, &[]);
    if let Some(remote) = remote {
        let reason = match &local {
            _ if !is_own_region_allowed => Some("the own region is no home region"),
            Choice::Placed(placed) => remote
                .is_preferable_to(ctx, placed)
                .then_some("it is answered sooner there"),
            Choice::Saturated => remote
                .can_meet_target(ctx)
                .then_some("all upstreams of the own region are crowded"),
            Choice::Limited(_) => remote
                .can_meet_target(ctx)
                .then_some("all upstreams of the own region are at their limit"),
            Choice::NoUpstream => Some("the own region has no usable upstream"),
        };
        if let Some(reason) = reason {
            return PlaceOutcome::Forwarded {
                instance: remote.member,
                reason,
            };
        }
    }
    if !is_own_region_allowed {
        let refusal = if admission.regions.is_empty() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Refusal::new(status, "no region may serve the request")
        } else {
            let reason = "no instance of a home region is in reach";
            Refusal::not_run(reason, NO_UPSTREAM_RETRY_AFTER_MS)
        };
        return PlaceOutcome::refused(&refusal, 0);
    }
    in_own_region(ctx, local)
}

/// Outcome in the own region.
fn in_own_region(ctx: &RequestContext, local: Choice) -> PlaceOutcome {
    let max_wait_ms = ctx.meta.aim_ms / 2;
    match local {
        Choice::Placed(placed) => placed_in_time(ctx, placed),
        Choice::Saturated => {
            let refusal = Refusal::not_run("all upstreams are crowded", CROWDED_RETRY_AFTER_MS);
            PlaceOutcome::refused(&refusal, max_wait_ms)
        }
        Choice::Limited(outlook) => {
            let retry_after_ms = match outlook.wait_ms {
                NOT_A_USER => NO_UPSTREAM_RETRY_AFTER_MS,
                wait_ms => wait_ms.clamp(300, 10_000),
            };
            let refusal = Refusal::not_run("all upstreams are at their limit", retry_after_ms);
            PlaceOutcome::refused(&refusal, max_wait_ms)
        }
        Choice::NoUpstream => {
            let refusal = Refusal::not_run("no upstream can be used", NO_UPSTREAM_RETRY_AFTER_MS);
            PlaceOutcome::refused(&refusal, 300)
        }
    }
}

/// A placement, unless the first byte would come too late.
fn placed_in_time(ctx: &RequestContext, placed: Placement) -> PlaceOutcome {
    #[allow(clippy::cast_precision_loss)]
    let late_ms = placed.wait_ms - ctx.max_first_byte_ms() as f64;
    if late_ms >= 0.0 {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let retry_after_ms =
            (late_ms as u64).clamp(*LATE_RETRY_AFTER_MS.start(), *LATE_RETRY_AFTER_MS.end());
        let refusal = Refusal::not_run("no upstream can answer in time", retry_after_ms);
        return PlaceOutcome::refused(&refusal, 0);
    }
    PlaceOutcome::Upstream {
        upstream: placed.id,
        wait_ms: placed.wait_ms,
        home: placed.home.name(),
    }
}
