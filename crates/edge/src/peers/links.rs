//! Links that this instance keeps to other instances.

use super::{dial, tls::Identity, OpenLink, PeerError};
use crate::{member::MemberEntry, node::Node};
use carobwheel_core::time::Millis;
use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::{
        mpsc::{self, Receiver, Sender},
        watch,
    },
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Time allowed for closing all links.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Capacity of the queue of members to dial.
const DIAL_QUEUE_ENTRIES: usize = 1_024;
/// Time for which a link that is no longer wanted stays open, in milliseconds: the choice of links may
/// swing back.
const LINGER_MS: u64 = 10_000;
/// Time for which the instance with the higher name waits for the other one to dial, in milliseconds.
const DIAL_TURN_MS: u64 = 700;

/// What a link is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkUse {
    /// Gossip in both directions, and requests.
    Gossip,
    /// Only requests.
    Forward,
}

/// Link that this instance wants.
#[derive(Clone, Debug)]
pub struct WantedLink {
    /// Instance to dial.
    pub entry: MemberEntry,
    /// What the link is for.
    pub link_use: LinkUse,
    /// Time since which it is wanted for gossip.
    pub since: Option<Millis>,
}

/// Link that this instance dials.
struct Link {
    connection: Option<Rc<OpenLink>>,
    link_use: LinkUse,
    wanted_at: Millis,
    stop: CancellationToken,
}

/// Links to other instances.
pub struct Links {
    pub(super) identity: Identity,
    /// Endpoint that other instances dial. First attempts to dial use it as well.
    pub(super) endpoint: quinn::Endpoint,
    dialled: RefCell<HashMap<Arc<str>, Link>>,
    /// All connections that are open, also those that take no further requests.
    open: RefCell<Vec<(Arc<str>, Weak<OpenLink>)>>,
    /// Latest link that each other instance has dialled.
    accepted: RefCell<HashMap<Arc<str>, Rc<OpenLink>>>,
    /// Wakes the senders of gossip before their next message is due.
    pub(super) announced: watch::Sender<()>,
    to_dial: Sender<(WantedLink, CancellationToken)>,
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
    ) -> Result<(Self, Receiver<(WantedLink, CancellationToken)>), PeerError> {
        let endpoint = quinn::Endpoint::server(identity.server()?, address)
            .map_err(|err| PeerError(err.to_string()))?;
        let (to_dial, queue) = mpsc::channel(DIAL_QUEUE_ENTRIES);
        let links = Self {
            identity,
            endpoint,
            open: RefCell::default(),
            dialled: RefCell::default(),
            accepted: RefCell::default(),
            announced: watch::Sender::default(),
            to_dial,
        };
        Ok((links, queue))
    }

    /// Dials the wanted links that are missing, and closes those that have not been wanted for a while.
    /// Requests that use a closed link are not cut: it stays open until they have ended.
    pub fn keep(&self, own: &str, wanted: &[WantedLink], now: Millis) {
        for link in wanted {
            if !self.renew(link, now) && self.is_own_turn(own, link, now) {
                self.dial(link.clone(), now);
            }
        }
        let mut dialled = self.dialled.borrow_mut();
        dialled.retain(|_, link| {
            let is_wanted = now.since(link.wanted_at) <= LINGER_MS;
            if !is_wanted {
                link.stop.cancel();
            }
            is_wanted
        });
    }

    /// Records that a link is still wanted. Returns false if there is none of this kind.
    fn renew(&self, wanted: &WantedLink, now: Millis) -> bool {
        let mut dialled = self.dialled.borrow_mut();
        let Some(link) = dialled.get_mut(&wanted.entry.name) else {
            return false;
        };
        link.wanted_at = now;
        link.link_use == LinkUse::Gossip || wanted.link_use == LinkUse::Forward
    }

    /// Whether this instance should dial. One link serves both sides: the instance with the lower name
    /// dials first, and nobody dials while the other side's link is open.
    fn is_own_turn(&self, own: &str, wanted: &WantedLink, now: Millis) -> bool {
        if wanted.link_use == LinkUse::Forward {
            return true;
        }
        if self.accepted_connection(&wanted.entry.name).is_some() {
            return false;
        }
        let waited_ms = wanted.since.map_or(0, |since| now.since(since));
        own < &*wanted.entry.name || waited_ms >= DIAL_TURN_MS
    }

    fn dial(&self, wanted: WantedLink, now: Millis) {
        let stop = CancellationToken::new();
        let link = Link {
            connection: None,
            link_use: wanted.link_use,
            wanted_at: now,
            stop: stop.clone(),
        };
        let name = Arc::clone(&wanted.entry.name);
        // A full queue means that hundreds of links are new; the next choice tries again.
        if self.to_dial.try_send((wanted, stop)).is_err() {
            return;
        }
        if let Some(earlier) = self.dialled.borrow_mut().insert(name, link) {
            earlier.stop.cancel();
        }
    }

    /// Sends the next message on all links soon, since it carries urgent news.
    pub fn announce(&self) {
        self.announced.send_replace(());
    }

    /// Registers a new connection.
    pub(super) fn open(&self, name: &Arc<str>, connection: quinn::Connection) -> Rc<OpenLink> {
        let link = OpenLink::new(connection);
        let mut open = self.open.borrow_mut();
        open.retain(|(_, link)| link.strong_count() > 0);
        open.push((Arc::clone(name), Rc::downgrade(&link)));
        link
    }

    /// Closes the open connections to the instances whose names `is_included` accepts.
    fn close_connections(&self, is_included: impl Fn(&str) -> bool, reason: &[u8]) {
        for (name, link) in self.open.borrow().iter() {
            if let Some(link) = link.upgrade().filter(|_| is_included(name)) {
                link.connection.close(0u8.into(), reason);
            }
        }
    }

    /// Closes all links and notifies the other ends.
    pub async fn close(&self) {
        self.close_connections(|_| true, b"stopping");
        self.endpoint.close(0u8.into(), b"stopping");
        // Ends that do not acknowledge detect the loss by the idle timeout.
        drop(timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await);
    }

    /// Closes the links to an instance whose process has ended, and stops dialling it. What is under way
    /// on them fails.
    pub fn forget(&self, name: &str) {
        self.close_connections(|known| known == name, b"the process has ended");
        if let Some(link) = self.dialled.borrow_mut().remove(name) {
            link.stop.cancel();
        }
        self.accepted.borrow_mut().remove(name);
    }

    /// Whether a connection to an instance is open, also one that takes no further requests. It closes
    /// when the process ends, or when no packet has arrived for the idle timeout.
    pub fn has_connection(&self, name: &str) -> bool {
        self.open.borrow().iter().any(|(known, link)| {
            let link = link.upgrade().filter(|_| **known == *name);
            link.is_some_and(|link| link.connection.close_reason().is_none())
        })
    }

    /// Connection to an instance that takes requests, if there is one.
    pub fn connection(&self, name: &str) -> Option<Rc<OpenLink>> {
        self.dialled_connection(name)
            .or_else(|| self.accepted_connection(name))
    }

    /// Whether the only usable link to an instance is one that the other side has dialled.
    pub fn has_only_accepted(&self, name: &str) -> bool {
        !self.dialled.borrow().contains_key(name) && self.accepted_connection(name).is_some()
    }

    /// Connection that this instance has dialled.
    fn dialled_connection(&self, name: &str) -> Option<Rc<OpenLink>> {
        let dialled = self.dialled.borrow();
        let connection = dialled.get(name)?.connection.clone()?;
        connection.is_usable().then_some(connection)
    }

    fn accepted_connection(&self, name: &str) -> Option<Rc<OpenLink>> {
        let accepted = self.accepted.borrow();
        let connection = accepted.get(name)?.clone();
        connection.is_usable().then_some(connection)
    }

    /// Whether this instance sends its gossip to `name` over a link that it has dialled.
    fn has_dialled_gossip(&self, name: &str) -> bool {
        let dialled = self.dialled.borrow();
        let link = dialled.get(name);
        link.is_some_and(|link| link.link_use == LinkUse::Gossip && link.connection.is_some())
    }

    /// Number of links that this instance has dialled, and of those that others have.
    pub fn counts(&self) -> (usize, usize) {
        (self.dialled.borrow().len(), self.accepted.borrow().len())
    }

    /// Maintains each link that is queued.
    pub async fn dial_all(node: Rc<Node>, mut queue: Receiver<(WantedLink, CancellationToken)>) {
        while let Some((wanted, stop)) = queue.recv().await {
            let node = Rc::clone(&node);
            tokio::task::spawn_local(async move {
                dial::maintain_link(&node, &wanted, &stop).await;
            });
        }
    }

    pub(super) fn set_connection(&self, name: &str, connection: Option<Rc<OpenLink>>) {
        if let Some(link) = self.dialled.borrow_mut().get_mut(name) {
            link.connection = connection;
        }
    }

    /// Whether `link` is the latest link that the instance has dialled, and takes gossip because this
    /// instance has dialled none.
    pub(super) fn is_gossip_link(&self, name: &str, link: &OpenLink) -> bool {
        let accepted = self.accepted.borrow();
        let latest = accepted.get(name);
        latest.is_some_and(|latest| std::ptr::eq(Rc::as_ptr(latest), link))
            && link.is_usable()
            && !self.has_dialled_gossip(name)
    }

    pub(super) fn add_accepted(&self, name: &Arc<str>, link: &Rc<OpenLink>) {
        let mut accepted = self.accepted.borrow_mut();
        accepted.insert(Arc::clone(name), Rc::clone(link));
    }

    pub(super) fn remove_accepted(&self, name: &str, link: &Rc<OpenLink>) {
        let mut accepted = self.accepted.borrow_mut();
        if accepted
            .get(name)
            .is_some_and(|latest| Rc::ptr_eq(latest, link))
        {
            accepted.remove(name);
        }
    }
}
