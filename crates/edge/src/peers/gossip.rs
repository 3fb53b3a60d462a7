//! Sending of gossip on a link.

use super::{encode, PeerError};
use crate::{
    member::MemberEntry,
    node::{LinkCursor, Node},
};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Minimum interval of messages on a link, also while there are urgent news.
const MIN_GOSSIP_PERIOD: Duration = Duration::from_millis(50);

/// Sends gossip until the link is lost, and leaves out the messages that `is_wanted` rejects.
pub(super) async fn send_gossip(
    node: &Node,
    entry: &MemberEntry,
    connection: &quinn::Connection,
    is_wanted: impl Fn() -> bool,
) {
    let is_same_region = entry.region == node.region;
    let mut announced = node.links.announced.subscribe();
    let mut cursor = LinkCursor::default();
    loop {
        announced.mark_unchanged();
        if is_wanted() {
            let sent = send_message(node, entry, connection, &mut cursor).await;
            if sent.is_err() {
                return;
            }
        }
        let period = Duration::from_millis(node.gossip_period_ms(is_same_region));
        let next_message = async {
            sleep(period.min(MIN_GOSSIP_PERIOD)).await;
            let left = period.saturating_sub(MIN_GOSSIP_PERIOD);
            // The sender of the channel lives as long as the links.
            if timeout(left, announced.changed()).await.is_ok() {
                node.metrics.gossip_announced.add(1);
            }
        };
        tokio::select! {
            () = next_message => {}
            _ = connection.closed() => return,
        }
    }
}

/// Builds and sends the next message.
async fn send_message(
    node: &Node,
    entry: &MemberEntry,
    connection: &quinn::Connection,
    cursor: &mut LinkCursor,
) -> Result<(), PeerError> {
    let build = || encode(&node.gossip_for(entry, cursor));
    let message = Bytes::from(node.metrics.work.gossip_built.measure(build)?);
    node.metrics.gossip_sent.add(message.len());
    let is_small = connection
        .max_datagram_size()
        .is_some_and(|max_bytes| message.len() <= max_bytes);
    if !is_small {
        return send_stream(connection, &message).await;
    }
    connection
        .send_datagram(message)
        .map_err(|err| PeerError(err.to_string()))
}

/// Sends a message that is too large for a datagram.
async fn send_stream(connection: &quinn::Connection, message: &[u8]) -> Result<(), PeerError> {
    let mut stream = connection
        .open_uni()
        .await
        .map_err(|err| PeerError(err.to_string()))?;
    stream
        .write_all(message)
        .await
        .map_err(|err| PeerError(err.to_string()))?;
    stream.finish().map_err(|err| PeerError(err.to_string()))
}
