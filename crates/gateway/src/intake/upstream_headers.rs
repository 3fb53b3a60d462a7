//! Parts of a request that are sent to upstreams.
//!
//! Only headers on an allow-list are sent. Callers also put their key in other parts of a request
//! by mistake: query parameters that contain it are removed, and a request that contains it
//! anywhere else is refused.

use super::head::RequestHead;
use crate::refusal::{Cause, Refusal};
use carobwheel_core::id::RequestId;
use memchr::memmem;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION};
use rocket::Request;

/// Headers that are sent on to upstreams.
const ALLOWED_HEADERS: [&str; 8] = [
    "accept",
    "accept-language",
    "content-type",
    "content-language",
    "idempotency-key",
    "if-match",
    "if-none-match",
    "traceparent",
];
/// Query parameters in which callers put keys.
const KEY_PARAMETERS: [&str; 6] = [
    "access_token",
    "api-key",
    "api_key",
    "apikey",
    "key",
    "token",
];
/// Header with the identifier of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the priority of the request; 0 is the most urgent.
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Returns the headers of the request that are sent to every upstream.
pub(super) fn allowed(request: &Request<'_>, request_id: &RequestId) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in ALLOWED_HEADERS {
        for value in request.headers().get(name) {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.append(HeaderName::from_static(name), value);
            }
        }
    }
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        headers.insert(REQUEST_ID, value);
    }
    headers
}

/// Returns the headers for one upstream: the allowed ones, its own credential and the priority.
pub(super) fn for_upstream(
    allowed: &HeaderMap,
    priority: u8,
    credential: Option<&String>,
) -> HeaderMap {
    let mut headers = allowed.clone();
    let bearer = credential.and_then(|it| HeaderValue::from_str(&format!("Bearer {it}")).ok());
    if let Some(bearer) = bearer {
        headers.insert(AUTHORIZATION, bearer);
    }
    headers.insert(PRIORITY, HeaderValue::from(u16::from(priority)));
    headers
}

/// Returns the path and query for the upstream, without parameters that hold a key.
pub(super) fn path_and_query(head: &RequestHead) -> String {
    let Some(query) = &head.query else {
        return head.path.clone();
    };
    let kept_pairs: Vec<&str> = query
        .split('&')
        .filter(|pair| !is_key_parameter(pair, head.key.as_deref()))
        .collect();
    if kept_pairs.is_empty() {
        return head.path.clone();
    }
    format!("{}?{}", head.path, kept_pairs.join("&"))
}

/// Refuses a request whose key occurs in a part that is sent to upstreams.
pub(super) fn refuse_exposed_key(
    request: &Request<'_>,
    head: &RequestHead,
    body: &[u8],
) -> Result<(), Refusal> {
    let Some(key) = head.key.as_deref().filter(|key| !key.is_empty()) else {
        return Ok(());
    };
    let is_in_headers = ALLOWED_HEADERS
        .iter()
        .flat_map(|name| request.headers().get(name))
        .any(|value| value.contains(key));
    let is_in_path = percent_decoded(&head.path).contains(key);
    let is_in_body = memmem::find(body, key.as_bytes()).is_some();
    if is_in_headers || is_in_path || is_in_body {
        let message = "the key stands in a part of the request that upstreams see";
        return Err(Refusal::not_run(Cause::InvalidRequest, message));
    }
    Ok(())
}

fn is_key_parameter(pair: &str, key: Option<&str>) -> bool {
    let name = pair.split('=').next().unwrap_or(pair);
    let name = percent_decoded(name).to_ascii_lowercase();
    let holds_key = key.is_some_and(|key| !key.is_empty() && percent_decoded(pair).contains(key));
    holds_key || KEY_PARAMETERS.contains(&name.as_str())
}

// Invalid UTF-8 is replaced, since the result is only searched.
fn percent_decoded(text: &str) -> String {
    rocket::http::RawStr::new(text)
        .percent_decode_lossy()
        .into_owned()
}
