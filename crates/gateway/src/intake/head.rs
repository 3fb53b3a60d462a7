//! Parsing of a request's head: method, path, framing and the caller's key.

use crate::refusal::{Cause, Refusal};
use rocket::{http::Method, Request};

/// Maximum length of a path with its query, in bytes.
const MAX_PATH_BYTES: usize = 8_192;
const KEY_HEADERS: [&str; 2] = ["x-api-key", "api-key"];

/// Length of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    /// Length from `content-length`, or 0 without a body.
    Bytes(u64),
    /// Unknown, because the body is chunked; a truncated body cannot be told from a complete one.
    Unknown,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    pub(super) method: Method,
    /// Path as received, without the query.
    pub(super) path: String,
    /// Query as received.
    pub(super) query: Option<String>,
    /// API key that the caller presented.
    pub(super) key: Option<String>,
    pub(super) length: BodyLength,
    pub(super) idempotency_key: Option<String>,
}

/// Parses the head of `request`.
pub(super) fn read(request: &Request<'_>) -> Result<RequestHead, Refusal> {
    let uri = request.uri();
    let path = uri.path().raw().as_str().to_owned();
    let query = uri.query().map(|query| query.raw().as_str().to_owned());
    if path.len() + query.as_ref().map_or(0, String::len) > MAX_PATH_BYTES {
        return Err(invalid("the path is longer than 8,192 bytes"));
    }
    Ok(RequestHead {
        method: request.method(),
        path,
        query,
        key: presented_key(request)?,
        length: body_length(request)?,
        idempotency_key: single_header(request, "idempotency-key")?.map(str::to_owned),
    })
}

fn invalid(message: &str) -> Refusal {
    Refusal::not_run(Cause::InvalidRequest, message)
}

fn single_header<'r>(request: &'r Request<'_>, name: &str) -> Result<Option<&'r str>, Refusal> {
    let mut values = request.headers().get(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(invalid(&format!("the header `{name}` stands twice")));
    }
    Ok(first)
}

// Two different keys are refused: it would be ambiguous which account the request runs for.
fn presented_key(request: &Request<'_>) -> Result<Option<String>, Refusal> {
    let mut keys = Vec::new();
    if let Some(authorization) = single_header(request, "authorization")? {
        let (scheme, key) = authorization.split_once(' ').unwrap_or(("", authorization));
        if !scheme.is_empty() && !scheme.eq_ignore_ascii_case("bearer") {
            return Err(Refusal::not_run(
                Cause::InvalidKey,
                "the authorization scheme has to be Bearer",
            ));
        }
        keys.push(key.trim());
    }
    for name in KEY_HEADERS {
        keys.extend(single_header(request, name)?);
    }
    keys.dedup();
    match keys.as_slice() {
        [] => Ok(None),
        [key] => Ok(Some((*key).to_owned())),
        _ => Err(invalid("the request carries different keys")),
    }
}

fn body_length(request: &Request<'_>) -> Result<BodyLength, Refusal> {
    let length = single_header(request, "content-length")?;
    let is_chunked = request.headers().contains("transfer-encoding");
    match (length, is_chunked) {
        // Conflicting framing headers allow request smuggling.
        (Some(_), true) => Err(invalid("content-length stands with transfer-encoding")),
        (None, true) => Ok(BodyLength::Unknown),
        (None, false) => Ok(BodyLength::Bytes(0)),
        (Some(length), false) => length
            .parse()
            .map(BodyLength::Bytes)
            .map_err(|_| invalid("content-length is not a number")),
    }
}
