//! Query of another instance's evidence on what crashes upstreams.

use super::{exchange, HOLDS_HEADER, REFUSED_HEADER};
use crate::node::Node;
use bytes::Bytes;
use carobwheel_core::crash::{CrashReport, CrashSubject};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{header::HeaderValue, Request};
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for the response.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of the response, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Asks an instance to which a link was established for its evidence. Its own gossip begins only
/// after it has dialled back, when an instance that was just started already takes requests.
pub(super) async fn fetch_holds(node: &Node, member: &str) {
    // Gossip brings the evidence if the query fails.
    if let Ok(Some((parts, requests))) = timeout(ANSWER_TIMEOUT, ask(node, member)).await {
        node.receive_crash_report(CrashSubject::PromptPart, &parts);
        node.receive_crash_report(CrashSubject::Request, &requests);
    }
}

/// Sends the query and decodes the reports on prompt parts and on requests. Builds without this query
/// refuse it; earlier ones answer with the first report only.
async fn ask(node: &Node, member: &str) -> Option<(CrashReport, CrashReport)> {
    let mut request = Request::new(Full::<Bytes>::default());
    let value = HeaderValue::from_static("1");
    request.headers_mut().insert(HOLDS_HEADER, value);
    let response = exchange(node, member, request).await.ok()?;
    if !response.status().is_success() || response.headers().contains_key(REFUSED_HEADER) {
        return None;
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
    let bytes = body.await.ok()?.to_bytes();
    let (parts, rest) = postcard::take_from_bytes(&bytes).ok()?;
    Some((parts, postcard::from_bytes(rest).unwrap_or_default()))
}

/// Response to the query.
pub(super) fn answer(node: &Node) -> Option<Vec<u8>> {
    let (now, state) = (node.now(), node.state.borrow());
    let bytes = postcard::to_stdvec(&state.crashes.report(now)).ok()?;
    postcard::to_extend(&state.request_crashes.report(now), bytes).ok()
}
