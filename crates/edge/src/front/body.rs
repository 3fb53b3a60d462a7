//! Reading of request bodies.

use crate::{node::Node, pipeline::Refusal};
use bytes::{Bytes, BytesMut};
use carobwheel_core::time::Millis;
use http_body::Body;
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

/// Reads a complete body, up to the configured size and until `deadline`.
///
/// # Errors
///
/// Returns a refusal if the body is too large, too slow or malformed.
pub async fn read_body(node: &Node, body: Incoming, deadline: Millis) -> Result<Bytes, Refusal> {
    let max_bytes = node.config().unwrap_or_default().limits.max_body_bytes;
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let left = Duration::from_millis(deadline.since(node.now()).max(1));
    match timeout(left, collect_body(body, max_bytes)).await {
        Ok(body) => body,
        Err(_) => Err(Refusal::new(
            StatusCode::REQUEST_TIMEOUT,
            "the body did not arrive in time",
        )),
    }
}

/// Collects the frames of a body of at most `max_bytes`.
async fn collect_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Refusal::new(StatusCode::BAD_REQUEST, "the body is broken"))?;
        // Trailers are dropped.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if first.len() + rest.len() + chunk.len() > max_bytes {
            return Err(too_large());
        }
        // Most bodies arrive in one chunk, which needs no copy.
        if first.is_empty() && rest.is_empty() {
            first = chunk;
        } else {
            if rest.is_empty() {
                rest.extend_from_slice(&first);
                first = Bytes::new();
            }
            rest.extend_from_slice(&chunk);
        }
    }
    Ok(if rest.is_empty() {
        first
    } else {
        rest.freeze()
    })
}

const fn too_large() -> Refusal {
    Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
}
