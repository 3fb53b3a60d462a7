//! Dialling of links.

use super::{
    accept::serve,
    gossip::send_gossip,
    holds::fetch_holds,
    links::{LinkUse, WantedLink},
    tls::open_windows,
    OpenLink, PeerError, LINK_SILENCE,
};
use crate::{log::Event, member::MemberEntry, node::Node};
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
                let link = node.links.open(name, connection);
                use_link(node, wanted, link, stop).await;
            }
            Err(err) if is_first => node.log.event(Event::LinkLost {
                member: name,
                reason: &err.0,
            }),
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
            link.log_loss(node, name, &reason.0, up_at);
            // Another link may have taken the place of one that is not wanted any more.
            if !stop.is_cancelled() {
                node.links.set_connection(name, None);
            }
        }
        () = stop.cancelled() => link.log_loss(node, name, "not wanted any more", up_at),
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

/// Uses a link until it is lost.
async fn run_link(node: &Rc<Node>, wanted: &WantedLink, link: &OpenLink) -> PeerError {
    let name = &wanted.entry.name;
    let has_gossip = CancellationToken::new();
    let gossip = async {
        if wanted.link_use == LinkUse::Gossip {
            tokio::join!(
                send_gossip(node, &wanted.entry, &link.connection, || true),
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
    let connection = connected
        .map_err(|err| peer_error(&err))?
        .map_err(|err| peer_error(&err))?;
    open_windows(&connection, &node.memory);
    Ok(connection)
}
