//! Establishes links: dials peers and accepts their connections.

use super::counters::count;
use super::link::Link;
use super::shared::Shared;
use super::{serve, tls};
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::{encode_head, Hello, Message};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{timeout, Instant},
};

/// Timeout for establishing and authenticating a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum age of the dialling port for a dial timeout to have it replaced.
const MIN_SUSPECT_PORT_AGE: Duration = Duration::from_secs(30);

/// Sends a message to a peer over an open link, or dials the peer first.
pub(super) fn send(
    shared: &Rc<Shared>,
    to: &InstanceId,
    addr: Option<SocketAddr>,
    message: Message,
) {
    let link = shared.links.borrow().usable(to);
    if let Some(link) = link {
        shared.send_over(&link, &message);
        return;
    }
    let Some(addr) = dial_address(shared, to, addr) else {
        count(&shared.counters.unsent_messages);
        return;
    };
    let is_dialling = shared.links.borrow().is_dialling(to);
    if shared.links.borrow_mut().pending_dial(to).push(message) {
        count(&shared.counters.unsent_messages);
    }
    if !is_dialling {
        spawn_local(dial(Rc::clone(shared), to.clone(), addr));
    }
}

/// Returns an open link to a peer, dialling it if there is none.
pub(super) async fn link_to(
    shared: &Rc<Shared>,
    to: &InstanceId,
    addr: SocketAddr,
) -> Option<Rc<Link>> {
    let link = shared.links.borrow().usable(to);
    if link.is_some() {
        return link;
    }
    let addr = dial_address(shared, to, Some(addr))?;
    let (waiter, dialled) = oneshot::channel();
    let is_dialling = shared.links.borrow().is_dialling(to);
    shared
        .links
        .borrow_mut()
        .pending_dial(to)
        .waiters
        .push(waiter);
    if !is_dialling {
        spawn_local(dial(Rc::clone(shared), to.clone(), addr));
    }
    dialled.await.ok()
}

fn dial_address(shared: &Shared, to: &InstanceId, addr: Option<SocketAddr>) -> Option<SocketAddr> {
    let has_recent_failure = shared.links.borrow().has_recent_failure(to);
    addr.filter(|_| !has_recent_failure && !shared.is_self(to))
}

async fn dial(shared: Rc<Shared>, to: InstanceId, addr: SocketAddr) {
    count(&shared.counters.dials);
    let min_generation = shared.links.borrow().min_generation(&to);
    let (endpoint, generation) = shared.dialler(min_generation);
    let started = Instant::now();
    let connection = timeout(HANDSHAKE_TIMEOUT, connect(&shared, &endpoint, &to, addr)).await;
    let Some((connection, version)) = connection.unwrap_or_default() else {
        count(&shared.counters.failed_dials);
        let is_timeout = started.elapsed() >= HANDSHAKE_TIMEOUT;
        let mut links = shared.links.borrow_mut();
        if is_timeout && shared.dialler.borrow().opened_at.elapsed() >= MIN_SUSPECT_PORT_AGE {
            links.record_lost_flow(&to, generation);
        }
        links.end_dial(&to, false);
        return;
    };
    let link = add_link(&shared, to, connection, version, generation);
    let waiting = shared.links.borrow_mut().end_dial(&link.peer, true);
    for message in &waiting.messages {
        shared.send_over(&link, message);
    }
    for waiter in waiting.waiters {
        // A send error means that the waiter has timed out.
        let _ = waiter.send(Rc::clone(&link));
    }
    serve::run_link(shared, link).await;
}

async fn connect(
    shared: &Shared,
    endpoint: &quinn::Endpoint,
    to: &InstanceId,
    addr: SocketAddr,
) -> Option<(quinn::Connection, u8)> {
    let config = shared.tls.borrow().client.clone();
    let connecting = endpoint.connect_with(config, addr, to.as_str()).ok()?;
    let connection = match connecting.await {
        Ok(connection) => connection,
        Err(err) => {
            log::debug!(peer:% = to, err:%; "peer_dial_failed");
            return None;
        }
    };
    let cert = tls::peer_certificate(&connection)?;
    if !tls::is_certificate_of(&cert, to) {
        connection.close(0u32.into(), b"name");
        return None;
    }
    let version = tls::agreed_version(&connection)?;
    let hello = Hello {
        instance: shared.settings.instance.clone(),
    };
    let bytes = encode_head(&hello)?;
    let mut stream = connection.open_uni().await.ok()?;
    stream.write_all(&bytes).await.ok()?;
    stream.finish().ok()?;
    Some((connection, version))
}

/// Accepts one connection and serves it until it closes.
pub(super) async fn accept(shared: Rc<Shared>, incoming: quinn::Incoming) {
    let authenticated = timeout(HANDSHAKE_TIMEOUT, authenticate(incoming)).await;
    let Some((connection, peer, version)) = authenticated.unwrap_or_default() else {
        count(&shared.counters.refused_peers);
        return;
    };
    if shared.is_self(&peer) {
        log::warn!("peer_has_own_name");
    }
    let link = add_link(&shared, peer, connection, version, 0);
    serve::run_link(shared, link).await;
}

/// Completes the handshake and checks the peer's claimed name against its certificate.
async fn authenticate(incoming: quinn::Incoming) -> Option<(quinn::Connection, InstanceId, u8)> {
    let remote = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(err) => {
            log::warn!(remote:%, err:%; "peer_refused");
            return None;
        }
    };
    let version = tls::agreed_version(&connection)?;
    let cert = tls::peer_certificate(&connection)?;
    let mut stream = connection.accept_uni().await.ok()?;
    let hello: Hello = serve::read_head(&mut stream).await?;
    if !tls::is_certificate_of(&cert, &hello.instance) {
        log::warn!(remote:%, claimed:% = hello.instance; "peer_name_refused");
        connection.close(0u32.into(), b"name");
        return None;
    }
    Some((connection, hello.instance, version))
}

fn add_link(
    shared: &Shared,
    peer: InstanceId,
    connection: quinn::Connection,
    version: u8,
    generation: u64,
) -> Rc<Link> {
    let mut links = shared.links.borrow_mut();
    let number = links.next_number();
    let link = Rc::new(Link::new(number, peer, connection, version, generation));
    links.add(&link);
    link
}
