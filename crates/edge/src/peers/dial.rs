//! Dialling of links.

use super::{
    accept::serve,
    gossip::send_gossip,
    holds::fetch_holds,
    links::{LinkUse, WantedLink},
    OpenLink, PeerError, LINK_SILENCE,
};
use crate::{log::Event, member::MemberEntry, node::Node};
use carobwheel_core::time::Millis;
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// First and longest pause between attempts to dial.
const REDIAL_PAUSES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1_500)];
/// Server name in all certificates.
const SERVER_NAME: &str = "carobwheel";

/// Dials an instance, uses the link while it is heard, and dials again when it is lost, until `stop`.
pub(super) async fn maintain_link(node: &Rc<Node>, wanted: &WantedLink, stop: &CancellationToken) {
    let name = &wanted.entry.name;
    let [mut pause, longest] = REDIAL_PAUSES;
    let mut is_first = true;
    while !stop.is_cancelled() {
        let connected = tokio::select! {
            connected = connect(node, &wanted.entry, is_first) => connected,
            () = stop.cancelled() => return,
        };
        match connected {
            Ok(connection) => {
                pause = REDIAL_PAUSES[0];
                use_link(node, wanted, OpenLink::new(connection), stop).await;
            }
            Err(err) if is_first => log_loss(node, name, &err),
            // The loss of the link was already logged.
            Err(_) => {}
        }
        is_first = false;
        let paused = sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0));
        tokio::select! {
            () = paused => {}
            () = stop.cancelled() => {}
        }
        pause = (pause * 2).min(longest);
    }
}

/// Uses a link until it is lost or `stop`. Then its connection serves the exchanges that are under way.
async fn use_link(
    node: &Rc<Node>,
    wanted: &WantedLink,
    link: Rc<OpenLink>,
    stop: &CancellationToken,
) {
    let name = &wanted.entry.name;
    let up_at = node.now();
    node.log.event(Event::LinkUp { member: name });
    node.links.set_connection(name, Some(Rc::clone(&link)));
    tokio::select! {
        reason = run_link(node, wanted, &link) => {
            log_packets(node, name, &link.connection, up_at);
            // Another link may have taken the place of one that is not wanted any more.
            if !stop.is_cancelled() {
                node.links.set_connection(name, None);
            }
            log_loss(node, name, &reason);
        }
        () = stop.cancelled() => {}
    }
    let (node, name) = (Rc::clone(node), Arc::clone(name));
    tokio::task::spawn_local(async move {
        let has_gossip = CancellationToken::new();
        tokio::select! {
            () = serve(&node, &name, &link, &has_gossip) => {}
            () = link.close_unused() => {}
        }
    });
}

fn log_loss(node: &Node, member: &str, reason: &PeerError) {
    let reason = &reason.0;
    node.log.event(Event::LinkLost { member, reason });
}

/// Uses a link until it is lost.
async fn run_link(node: &Rc<Node>, wanted: &WantedLink, link: &OpenLink) -> PeerError {
    let name = &wanted.entry.name;
    let has_gossip = CancellationToken::new();
    let gossip = async {
        if wanted.link_use == LinkUse::Gossip {
            tokio::join!(
                send_gossip(node, &wanted.entry, &link.connection),
                fetch_holds(node, name)
            );
        }
    };
    let used = async { tokio::join!(gossip, serve(node, name, link, &has_gossip), link.observe()) };
    tokio::select! {
        _ = used => PeerError(link.connection.closed().await.to_string()),
        () = link.silent() => PeerError("no packet has arrived in time".to_owned()),
    }
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
    let connected = timeout(LINK_SILENCE, connecting).await;
    connected
        .map_err(|err| peer_error(&err))?
        .map_err(|err| peer_error(&err))
}
