//! Dialling of links.

use super::{
    accept::serve,
    gossip::send_gossip,
    holds::fetch_holds,
    links::{LinkUse, WantedLink},
    PeerError, LINK_IDLE_TIMEOUT,
};
use crate::{log::Event, member::MemberEntry, node::Node};
use carobwheel_core::time::Millis;
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// First and longest pause between attempts to dial.
const REDIAL_PAUSES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1_500)];
/// Server name in all certificates.
const SERVER_NAME: &str = "carobwheel";

/// Dials an instance, uses the link while it is up, and dials again when it is lost.
pub(super) async fn maintain_link(node: &Rc<Node>, wanted: &WantedLink) {
    let entry = &wanted.entry;
    let [mut pause, longest] = REDIAL_PAUSES;
    let mut is_first = true;
    loop {
        match connect(node, entry, is_first).await {
            Ok(connection) => {
                pause = REDIAL_PAUSES[0];
                node.log.event(Event::LinkUp {
                    member: &entry.name,
                });
                node.links
                    .set_connection(&entry.name, Some(connection.clone()));
                let up_at = node.now();
                let reason = run_link(node, wanted, &connection).await;
                log_packets(node, &entry.name, &connection, up_at);
                node.links.set_connection(&entry.name, None);
                node.log.event(Event::LinkLost {
                    member: &entry.name,
                    reason: &reason.0,
                });
            }
            Err(err) if is_first => {
                node.log.event(Event::LinkLost {
                    member: &entry.name,
                    reason: &err.0,
                });
            }
            // The loss of the link was already logged.
            Err(_) => {}
        }
        is_first = false;
        sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
        pause = (pause * 2).min(longest);
    }
}

/// Uses a link until it is lost.
async fn run_link(
    node: &Rc<Node>,
    wanted: &WantedLink,
    connection: &quinn::Connection,
) -> PeerError {
    let name = &wanted.entry.name;
    let has_gossip = CancellationToken::new();
    let served = serve(node, name, connection, &has_gossip);
    if wanted.link_use == LinkUse::Forward {
        served.await;
        return closed(connection).await;
    }
    let (reason, (), ()) = tokio::join!(
        send_gossip(node, &wanted.entry, connection),
        fetch_holds(node, name),
        served
    );
    reason
}

/// Logs what a link has carried that was up since `up_at`.
fn log_packets(node: &Node, member: &str, connection: &quinn::Connection, up_at: Millis) {
    let stats = connection.stats();
    let round_trip_ms = u64::try_from(stats.path.rtt.as_millis()).unwrap_or(u64::MAX);
    node.log.event(Event::LinkPackets {
        member,
        up_ms: node.now().since(up_at),
        round_trip_ms,
        sent_packets: stats.path.sent_packets,
        lost_packets: stats.path.lost_packets,
        sent_bytes: stats.udp_tx.bytes,
        received_bytes: stats.udp_rx.bytes,
    });
}

async fn closed(connection: &quinn::Connection) -> PeerError {
    PeerError(connection.closed().await.to_string())
}

/// Opens a link. Further attempts use a new local port, since a device on the path may drop the
/// packets of the old flow.
async fn connect(
    node: &Node,
    entry: &MemberEntry,
    is_first: bool,
) -> Result<quinn::Connection, PeerError> {
    let peer_error = |err: &dyn std::fmt::Display| PeerError(err.to_string());
    let endpoint = if is_first {
        node.links.endpoint.clone()
    } else {
        let local = SocketAddr::new(node.settings.listen.peers.ip(), 0);
        quinn::Endpoint::client(local).map_err(|err| peer_error(&err))?
    };
    let config = node.links.identity.client(entry.certificate_digest)?;
    let connecting = endpoint
        .connect_with(config, entry.peers, SERVER_NAME)
        .map_err(|err| peer_error(&err))?;
    let connected = timeout(LINK_IDLE_TIMEOUT, connecting).await;
    connected
        .map_err(|err| peer_error(&err))?
        .map_err(|err| peer_error(&err))
}
