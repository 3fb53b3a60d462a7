//! The links by peer, and the dials on their way.

use super::link::Link;
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::Message;
use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Messages that wait for one dial.
const MAX_WAITING_MESSAGES: usize = 8;
/// Time after a failed dial within which the peer is not dialled again.
const DIAL_GAP: Duration = Duration::from_millis(200);

/// What waits for one dial.
#[derive(Default)]
pub(super) struct Dialling {
    pub(super) messages: Vec<Message>,
    pub(super) waiters: Vec<oneshot::Sender<Rc<Link>>>,
}

/// The links by peer, and the dials on their way.
#[derive(Default)]
pub(super) struct Links {
    by_peer: HashMap<InstanceId, Vec<Rc<Link>>>,
    dialling: HashMap<InstanceId, Dialling>,
    failed_at: HashMap<InstanceId, Instant>,
    /// Generation of local port that a peer's next dial has to exceed.
    lost_generation: HashMap<InstanceId, u64>,
    last_number: u64,
}

impl Links {
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The newest usable link to a peer.
    pub(super) fn usable(&self, peer: &InstanceId) -> Option<Rc<Link>> {
        let links = self.by_peer.get(peer)?;
        links.iter().rev().find(|link| link.is_usable()).cloned()
    }

    pub(super) fn add(&mut self, link: &Rc<Link>) {
        let links = self.by_peer.entry(link.peer.clone()).or_default();
        links.push(Rc::clone(link));
        self.failed_at.remove(&link.peer);
    }

    /// Takes a link out; tells whether it was there.
    pub(super) fn remove(&mut self, link: &Link) -> bool {
        let Some(links) = self.by_peer.get_mut(&link.peer) else {
            return false;
        };
        let before = links.len();
        links.retain(|other| other.number != link.number);
        let was_there = links.len() < before;
        if links.is_empty() {
            self.by_peer.remove(&link.peer);
        }
        was_there
    }

    pub(super) fn all(&self) -> Vec<Rc<Link>> {
        self.by_peer.values().flatten().cloned().collect()
    }

    pub(super) fn is_dialling(&self, peer: &InstanceId) -> bool {
        self.dialling.contains_key(peer)
    }

    /// Whether a dial to the peer failed just now.
    pub(super) fn has_just_failed(&self, peer: &InstanceId) -> bool {
        self.failed_at
            .get(peer)
            .is_some_and(|at| at.elapsed() < DIAL_GAP)
    }

    /// What waits for the dial to a peer; the entry itself says that a dial is on its way.
    pub(super) fn dialling(&mut self, peer: &InstanceId) -> &mut Dialling {
        self.dialling.entry(peer.clone()).or_default()
    }

    /// Ends a dial and returns what waited for it.
    pub(super) fn end_dial(&mut self, peer: &InstanceId, is_connected: bool) -> Dialling {
        if is_connected {
            self.lost_generation.remove(peer);
        } else {
            self.failed_at.insert(peer.clone(), Instant::now());
        }
        self.failed_at.retain(|_, at| at.elapsed() < DIAL_GAP);
        self.dialling.remove(peer).unwrap_or_default()
    }

    /// Notes that a flow from a local port of `generation` to the peer may be lost.
    pub(super) fn note_lost(&mut self, peer: &InstanceId, generation: u64) {
        let known = self.lost_generation.entry(peer.clone()).or_default();
        *known = generation.max(*known);
    }

    /// Lowest generation of local port that may dial the peer.
    pub(super) fn least_generation(&self, peer: &InstanceId) -> u64 {
        self.lost_generation.get(peer).map_or(0, |lost| lost + 1)
    }
}

impl Dialling {
    /// Lets a message wait for the dial; the oldest gives way. Tells whether one was dropped.
    pub(super) fn push(&mut self, message: Message) -> bool {
        let is_full = self.messages.len() >= MAX_WAITING_MESSAGES;
        if is_full {
            self.messages.remove(0);
        }
        self.messages.push(message);
        is_full
    }
}
