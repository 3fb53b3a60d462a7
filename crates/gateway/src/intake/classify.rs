//! Classification of requests: a model and its class, or a service route.

use super::{
    head::BodyLength,
    parts::{prompt_parts, whole_request},
};
use crate::{
    decide::PlacementTarget,
    refusal::{Cause, Refusal},
};
use carobwheel_core::{
    crash::PartId,
    document::{Account, Document, Model, Route, Serves},
    id::{RegionId, MAX_ID_BYTES},
    route::prefix_hashes,
};
use carobwheel_wire::openai::{RequestView, CHAT_PATH, COMPLETIONS_PATH};
use rocket::http::Method;
use std::{ops::RangeInclusive, sync::Arc};

/// Prompt bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;
const MS_PER_S: u64 = 1_000;
/// Numbers of answers that one request may ask for (`n`).
const ANSWERS_PER_REQUEST: RangeInclusive<u64> = 1..=16;
/// Size of the parsed form of a message or a part beyond that of an element, in bytes.
const BYTES_PER_OBJECT: usize = 32;
/// Size of the parsed form of an element of a list, in bytes.
const BYTES_PER_ELEMENT: usize = 24;
/// Bytes of the parsed form for each byte of a body at most: a text of one character takes 4 bytes
/// of the body and 24 of the parsed form.
const MAX_VIEW_BYTES_PER_BYTE: usize = 6;
const MODEL_PATHS: [&str; 2] = [CHAT_PATH, COMPLETIONS_PATH];

/// Endpoint that a request addresses.
#[derive(Clone, Copy, Debug)]
pub(super) enum Endpoint<'a> {
    /// A model call; the body names the model.
    Model,
    /// A route to a service.
    Route(&'a Route),
}

/// Target, limits and maximum cost of a request.
#[derive(Clone, Debug)]
pub(super) struct Classification {
    pub(super) target: PlacementTarget,
    pub(super) prompt_tokens: u64,
    pub(super) max_output_tokens: u64,
    pub(super) prefix: Vec<u64>,
    /// Parts that crashes of upstreams are traced to; the last is the whole prompt or request.
    pub(super) parts: Arc<[PartId]>,
    pub(super) bound_region: Option<RegionId>,
    pub(super) idempotent: bool,
    pub(super) deadline_ms: u64,
    /// Retention of an action's outcome, in milliseconds.
    pub(super) outcome_kept_ms: u64,
    /// Whether every upstream of the service ignores a second action with the same idempotency key.
    pub(super) deduplicates: bool,
}

/// Estimates the memory that a model call takes while it is classified, in bytes: the parsed view,
/// by the number of its elements, and a copy of its texts.
pub(super) fn parsed_bytes(body: &[u8]) -> usize {
    let objects = memchr::memchr_iter(b'{', body).count();
    let elements = memchr::memchr_iter(b',', body).count();
    let view_bytes = objects * BYTES_PER_OBJECT + elements * BYTES_PER_ELEMENT;
    body.len() + view_bytes.min(body.len() * MAX_VIEW_BYTES_PER_BYTE)
}

/// Finds the endpoint that the head of a request addresses.
pub(super) fn endpoint<'a>(
    document: &'a Document,
    path: &str,
    method: &str,
    length: BodyLength,
) -> Result<Endpoint<'a>, Refusal> {
    if MODEL_PATHS.contains(&path) {
        if method != Method::Post.as_str() {
            return Err(method_not_allowed());
        }
        return Ok(Endpoint::Model);
    }
    let route = document
        .routes
        .iter()
        .filter(|route| matches_prefix(path, &route.path))
        .max_by_key(|route| route.path.len())
        .ok_or_else(|| Refusal::not_run(Cause::NotFound, "no route has this path"))?;
    if !route.methods.iter().any(|allowed| allowed == method) {
        return Err(method_not_allowed());
    }
    if !route.idempotent && length == BodyLength::Unknown {
        let message = "this route needs a content-length, since a cut body cannot be told apart";
        return Err(Refusal::not_run(Cause::LengthRequired, message));
    }
    Ok(Endpoint::Route(route))
}

/// Request whose body has been read.
pub(super) struct ReadRequest<'a> {
    pub(super) method: &'a str,
    pub(super) path_and_query: &'a str,
    pub(super) body: &'a [u8],
}

/// Classifies a request.
pub(super) fn classify(
    document: &Document,
    endpoint: Endpoint<'_>,
    account: Option<&Account>,
    request: &ReadRequest<'_>,
) -> Result<Classification, Refusal> {
    match endpoint {
        Endpoint::Model => classify_model_call(document, account, request.body),
        Endpoint::Route(route) => {
            let account_region = account.and_then(|account| account.bound_region.clone());
            let mut classification = classify_route_call(document, route, account_region)?;
            let account_id = account.map_or("", |account| account.id.as_str());
            let part = whole_request(
                account_id,
                request.method,
                request.path_and_query,
                request.body,
            );
            classification.parts = Arc::new([part]);
            Ok(classification)
        }
    }
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

fn method_not_allowed() -> Refusal {
    Refusal::not_run(
        Cause::MethodNotAllowed,
        "the path does not take this method",
    )
}

fn invalid(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, message)
}

fn classify_model_call(
    document: &Document,
    account: Option<&Account>,
    body: &[u8],
) -> Result<Classification, Refusal> {
    let view = RequestView::parse(body)
        .map_err(|err| invalid(format!("the body is not a model call: {err}")))?;
    if view.messages.is_empty() && view.prompt.is_none() {
        return Err(invalid("`messages` or `prompt` is needed"));
    }
    let model = document.model(&view.model).ok_or_else(|| {
        let name: String = view.model.chars().take(MAX_ID_BYTES).collect();
        Refusal::not_run(Cause::NotFound, format!("no model `{name}`"))
    })?;
    let max_output_tokens = max_output_tokens(&view, model)?;
    let prompt_tokens = view.prompt_bytes().div_ceil(BYTES_PER_TOKEN);
    let class = document.class_of_prompt(prompt_tokens).ok_or_else(|| {
        Refusal::not_run(
            Cause::TooLarge,
            "the prompt is longer than any class allows",
        )
    })?;
    let prefix = prefix(&view, account);
    let account_id = account.map_or("", |account| account.id.as_str());
    Ok(Classification {
        parts: prompt_parts(&view, account_id, &prefix).into(),
        target: PlacementTarget::Model {
            model: model.id.clone(),
            class: class.id.clone(),
        },
        prompt_tokens,
        max_output_tokens,
        prefix,
        bound_region: account.and_then(|account| account.bound_region.clone()),
        idempotent: true,
        deadline_ms: class.deadline_ms,
        outcome_kept_ms: 0,
        deduplicates: false,
    })
}

/// Maximum output tokens of all answers that the request asks for together.
fn max_output_tokens(view: &RequestView<'_>, model: &Model) -> Result<u64, Refusal> {
    let per_answer = view
        .max_output_tokens()
        .unwrap_or(model.default_max_output_tokens);
    if !(1..=model.max_output_tokens).contains(&per_answer) {
        let message = format!("max_tokens has to be 1 to {}", model.max_output_tokens);
        return Err(invalid(message));
    }
    let answers = view.n.unwrap_or(1);
    if !ANSWERS_PER_REQUEST.contains(&answers) {
        return Err(invalid("n has to be 1 to 16"));
    }
    Ok(per_answer * answers)
}

fn prefix(view: &RequestView<'_>, account: Option<&Account>) -> Vec<u64> {
    let account = account.map_or("", |account| account.id.as_str());
    let mut prompt = Vec::new();
    view.for_each_text(|text| prompt.extend_from_slice(text.as_bytes()));
    prefix_hashes(account, &prompt, BYTES_PER_TOKEN)
}

fn classify_route_call(
    document: &Document,
    route: &Route,
    account_region: Option<RegionId>,
) -> Result<Classification, Refusal> {
    let bound_region = match (&route.bound_region, account_region) {
        (Some(route_region), Some(account_region)) if *route_region != account_region => {
            let message = format!(
                "the route is bound to region `{route_region}`, the account to `{account_region}`"
            );
            return Err(Refusal::not_run(Cause::WrongRegion, message));
        }
        (Some(region), _) => Some(region.clone()),
        (None, region) => region,
    };
    Ok(Classification {
        target: PlacementTarget::Service {
            service: route.service.clone(),
            route: route.path.clone(),
        },
        prompt_tokens: route.charge_tokens,
        max_output_tokens: 0,
        prefix: Vec::new(),
        parts: Arc::default(),
        bound_region,
        idempotent: route.idempotent,
        deadline_ms: route.deadline_ms,
        outcome_kept_ms: route.outcome_kept_s * MS_PER_S,
        deduplicates: deduplicates(document, route),
    })
}

fn deduplicates(document: &Document, route: &Route) -> bool {
    document
        .upstreams
        .iter()
        .all(|upstream| match &upstream.serves {
            Serves::Service {
                service,
                deduplicates,
                ..
            } => *service != route.service || *deduplicates,
            Serves::Engine { .. } => true,
        })
}
