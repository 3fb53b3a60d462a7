//! The head of a request: method, path, framing and the caller's key.

use crate::refusal::{Cause, Refusal};
use rocket::{http::Method, Request};

/// Longest path with query, in bytes.
const MAX_PATH_BYTES: usize = 8_192;
const KEY_HEADERS: [&str; 2] = ["x-api-key", "api-key"];

/// How the length of a request's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyLength {
    /// By `content-length`, or no body at all.
    Bytes(u64),
    /// Chunked: unknown, and a cut body looks like a whole one.
    Unknown,
}

/// The head of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    pub(super) method: Method,
    /// Path as sent, without the query.
    pub(super) path: String,
    /// Query as sent.
    pub(super) query: Option<String>,
    /// The key that the caller presented.
    pub(super) key: Option<String>,
    pub(super) length: BodyLength,
    pub(super) idempotency_key: Option<String>,
}

/// Reads the head of `request`.
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

// Two different keys would leave it open which account the request runs for.
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
        // Two lengths are an old way of smuggling a second request.
        (Some(_), true) => Err(invalid("content-length stands with transfer-encoding")),
        (None, true) => Ok(BodyLength::Unknown),
        (None, false) => Ok(BodyLength::Bytes(0)),
        (Some(length), false) => length
            .parse()
            .map(BodyLength::Bytes)
            .map_err(|_| invalid("content-length is not a number")),
    }
}
