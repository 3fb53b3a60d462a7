//! What a request contributes to the knowledge of the upstreams in reach, and takes from it.

use super::RequestContext;
use crate::{
    dispatch::{Reply, SendError},
    node::Node,
};
use carobwheel_core::{
    reach::{ContactFailure, Sign},
    time::Millis,
};
use tokio::time::error::Elapsed;

/// Waits until the service is cut off, if the request `may_repeat` elsewhere. Never returns
/// otherwise.
pub(super) async fn cut_off_if(may_repeat: bool, node: &Node, ctx: &RequestContext) {
    if may_repeat {
        node.cut_off_begins(&ctx.meta.service).await;
    } else {
        std::future::pending::<()>().await;
    }
}

/// Records whether a send, begun at `begun_at`, has shown that the upstream is in reach.
pub(super) fn note_send(
    node: &Node,
    upstream: &str,
    reply: &Result<Result<Reply, SendError>, Elapsed>,
    begun_at: Millis,
) {
    match reply {
        Ok(Ok(_)) => node.note_heard(upstream, Sign::Response),
        Ok(Err(SendError::Unreachable(_))) => {
            node.note_contact_failed(upstream, ContactFailure::NoConnection, begun_at);
        }
        Ok(Err(SendError::Broken(_) | SendError::Lost(_))) => {
            node.note_contact_failed(upstream, ContactFailure::NoConnection, node.now());
        }
        Err(_) => node.note_contact_failed(upstream, ContactFailure::Silence, begun_at),
    }
}

/// Records what the next part of a response's body shows; `None` is its end.
pub(super) fn note_frame<T, E>(node: &Node, upstream: &str, frame: Option<&Result<T, E>>) {
    match frame {
        Some(Ok(_)) => node.note_heard(upstream, Sign::Response),
        Some(Err(_)) => {
            node.note_contact_failed(upstream, ContactFailure::NoConnection, node.now());
        }
        None => {}
    }
}
