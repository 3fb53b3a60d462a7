//! Links that this instance dials.

use super::{encode, holds::fetch_holds, tls::Identity, PeerError, LINK_IDLE_TIMEOUT};
use crate::{log::Event, member::MemberEntry, node::Node};
use bytes::Bytes;
use carobwheel_core::time::Millis;
use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};
use tokio::{
    sync::{
        mpsc::{self, Receiver, Sender},
        watch,
    },
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

/// Maximum age of a gossip message that is reused for further instances, in milliseconds.
const MESSAGE_REUSE_MS: u64 = 40;
/// Minimum interval of messages to an instance, also while there is new evidence of crashes.
const MIN_GOSSIP_PERIOD: Duration = Duration::from_millis(50);
/// First and longest pause between attempts to dial.
const REDIAL_PAUSES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(1_500)];
/// Time allowed for closing all links.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Capacity of the queue of members to dial.
const DIAL_QUEUE_ENTRIES: usize = 1_024;
/// Server name in all certificates.
const SERVER_NAME: &str = "carobwheel";

/// Link to one instance.
#[derive(Debug, Default)]
struct Link {
    connection: Option<quinn::Connection>,
    stop: CancellationToken,
}

/// Links to other instances.
pub struct Links {
    identity: Identity,
    /// Endpoint that other instances dial. First attempts to dial use it as well.
    pub(super) endpoint: quinn::Endpoint,
    by_name: RefCell<HashMap<Arc<str>, Link>>,
    /// Last gossip messages for other regions and for the own region, with the time of their
    /// encoding.
    cached_messages: [RefCell<Option<(Millis, Bytes)>>; 2],
    /// Wakes the senders of gossip before their next message is due.
    announced: watch::Sender<()>,
    to_dial: Sender<MemberEntry>,
}

impl Links {
    /// Binds the endpoint. The returned receiver has to be passed to [`Links::dial_all`].
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(
        identity: Identity,
        address: SocketAddr,
    ) -> Result<(Self, Receiver<MemberEntry>), PeerError> {
        let endpoint = quinn::Endpoint::server(identity.server()?, address)
            .map_err(|err| PeerError(err.to_string()))?;
        let (to_dial, dialled) = mpsc::channel(DIAL_QUEUE_ENTRIES);
        let links = Self {
            identity,
            endpoint,
            by_name: RefCell::default(),
            cached_messages: Default::default(),
            announced: watch::Sender::default(),
            to_dial,
        };
        Ok((links, dialled))
    }

    /// Queues an instance to be dialled. Replaces a link to an earlier lifetime of it.
    pub fn dial(&self, entry: MemberEntry) {
        self.forget(&entry.name);
        // A full queue means that hundreds of instances are new; they are dialled after a later
        // listing of the store.
        let _ = self.to_dial.try_send(entry);
    }

    /// Sends the next message to all instances soon, since it carries urgent evidence.
    pub fn announce(&self) {
        for cached in &self.cached_messages {
            cached.borrow_mut().take();
        }
        self.announced.send_replace(());
    }

    /// Closes all links and notifies the other ends.
    pub async fn close(&self) {
        self.endpoint.close(0u8.into(), b"stopping");
        // Ends that do not acknowledge detect the loss by the idle timeout.
        drop(timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await);
    }

    /// Closes the link to an instance and stops dialling it.
    pub fn forget(&self, name: &str) {
        if let Some(link) = self.by_name.borrow_mut().remove(name) {
            link.stop.cancel();
        }
    }

    /// Open connection to an instance, if there is one.
    pub fn connection(&self, name: &str) -> Option<quinn::Connection> {
        let links = self.by_name.borrow();
        let connection = links.get(name)?.connection.clone()?;
        connection.close_reason().is_none().then_some(connection)
    }

    /// Maintains a link to each instance that is queued.
    pub async fn dial_all(node: Rc<Node>, mut dialled: Receiver<MemberEntry>) {
        while let Some(entry) = dialled.recv().await {
            let stop = CancellationToken::new();
            let link = Link {
                connection: None,
                stop: stop.clone(),
            };
            let earlier = node
                .links
                .by_name
                .borrow_mut()
                .insert(Arc::clone(&entry.name), link);
            if let Some(earlier) = earlier {
                earlier.stop.cancel();
            }
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = maintain_link(&node, &entry) => {}
                }
            });
        }
    }

    fn set_connection(&self, name: &str, connection: Option<quinn::Connection>) {
        if let Some(link) = self.by_name.borrow_mut().get_mut(name) {
            link.connection = connection;
        }
    }
}

/// Dials an instance, sends gossip while the link is up, and dials again when it is lost.
async fn maintain_link(node: &Node, entry: &MemberEntry) {
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
                let (reason, ()) = tokio::join!(
                    send_gossip(node, entry, &connection),
                    fetch_holds(node, &entry.name)
                );
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

/// Sends gossip until the link is lost.
async fn send_gossip(
    node: &Node,
    entry: &MemberEntry,
    connection: &quinn::Connection,
) -> PeerError {
    let is_same_region = entry.region == node.region;
    let mut announced = node.links.announced.subscribe();
    loop {
        announced.mark_unchanged();
        let message = match gossip_message(node, is_same_region) {
            Ok(message) => message,
            Err(err) => return err,
        };
        let period = Duration::from_millis(node.gossip_period_ms(is_same_region));
        let is_small = connection
            .max_datagram_size()
            .is_some_and(|max_bytes| message.len() <= max_bytes);
        let sent = if is_small {
            connection
                .send_datagram(message)
                .map_err(|err| PeerError(err.to_string()))
        } else {
            send_stream(connection, &message).await
        };
        if let Err(err) = sent {
            return err;
        }
        let next_message = async {
            sleep(period.min(MIN_GOSSIP_PERIOD)).await;
            // The sender of the channel lives as long as the links.
            drop(
                timeout(
                    period.saturating_sub(MIN_GOSSIP_PERIOD),
                    announced.changed(),
                )
                .await,
            );
        };
        tokio::select! {
            () = next_message => {}
            reason = connection.closed() => return PeerError(reason.to_string()),
        }
    }
}

/// Encoded message for instances of the own region, or of other regions. It is shared by all
/// instances that are due at about the same time.
fn gossip_message(node: &Node, is_same_region: bool) -> Result<Bytes, PeerError> {
    let now = node.now();
    let cached_messages = &node.links.cached_messages[usize::from(is_same_region)];
    if let Some((at, message)) = &*cached_messages.borrow() {
        if now.since(*at) < MESSAGE_REUSE_MS {
            return Ok(message.clone());
        }
    }
    let message = Bytes::from(encode(&node.gossip(is_same_region))?);
    *cached_messages.borrow_mut() = Some((now, message.clone()));
    Ok(message)
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
