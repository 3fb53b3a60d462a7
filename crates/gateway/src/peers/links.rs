//! Table of links by peer, and of dials in progress.

use super::link::Link;
use carobwheel_core::id::InstanceId;
use carobwheel_wire::peer::Message;
use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::oneshot;

/// Maximum number of messages queued for one dial.
const MAX_MESSAGES_PER_DIAL: usize = 8;
/// Delay after a failed dial before the peer may be dialled again.
const REDIAL_DELAY: Duration = Duration::from_millis(200);

/// Messages and tasks that wait for one dial.
#[derive(Default)]
pub(super) struct PendingDial {
    pub(super) messages: Vec<Message>,
    pub(super) waiters: Vec<oneshot::Sender<Rc<Link>>>,
}

/// Table of links by peer, and of dials in progress.
#[derive(Default)]
pub(super) struct Links {
    by_peer: HashMap<InstanceId, Vec<Rc<Link>>>,
    pending_dials: HashMap<InstanceId, PendingDial>,
    dial_failed_at: HashMap<InstanceId, Instant>,
    /// By peer, the generation of local port that its next dial has to exceed.
    lost_generation: HashMap<InstanceId, u64>,
    last_number: u64,
}

impl Links {
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the newest usable link to a peer.
    pub(super) fn usable(&self, peer: &InstanceId) -> Option<Rc<Link>> {
        let links = self.by_peer.get(peer)?;
        links.iter().rev().find(|link| link.is_usable()).cloned()
    }

    pub(super) fn add(&mut self, link: &Rc<Link>) {
        let links = self.by_peer.entry(link.peer.clone()).or_default();
        links.push(Rc::clone(link));
        self.dial_failed_at.remove(&link.peer);
    }

    /// Removes a link and returns whether it was present.
    pub(super) fn remove(&mut self, link: &Link) -> bool {
        let Some(links) = self.by_peer.get_mut(&link.peer) else {
            return false;
        };
        let before = links.len();
        links.retain(|other| other.number != link.number);
        let was_present = links.len() < before;
        if links.is_empty() {
            self.by_peer.remove(&link.peer);
        }
        was_present
    }

    pub(super) fn all(&self) -> Vec<Rc<Link>> {
        self.by_peer.values().flatten().cloned().collect()
    }

    pub(super) fn is_dialling(&self, peer: &InstanceId) -> bool {
        self.pending_dials.contains_key(peer)
    }

    /// Whether the last dial to the peer failed less than [`REDIAL_DELAY`] ago.
    pub(super) fn has_recent_failure(&self, peer: &InstanceId) -> bool {
        self.dial_failed_at
            .get(peer)
            .is_some_and(|at| at.elapsed() < REDIAL_DELAY)
    }

    /// Returns the pending dial to a peer, creating it if absent. Its presence marks the dial as in
    /// progress.
    pub(super) fn pending_dial(&mut self, peer: &InstanceId) -> &mut PendingDial {
        self.pending_dials.entry(peer.clone()).or_default()
    }

    /// Ends a dial and returns the messages and tasks that waited for it.
    pub(super) fn end_dial(&mut self, peer: &InstanceId, is_connected: bool) -> PendingDial {
        if is_connected {
            self.lost_generation.remove(peer);
        } else {
            self.dial_failed_at.insert(peer.clone(), Instant::now());
        }
        self.dial_failed_at
            .retain(|_, at| at.elapsed() < REDIAL_DELAY);
        self.pending_dials.remove(peer).unwrap_or_default()
    }

    /// Records that the flow to the peer from the local port of `generation` may be lost.
    pub(super) fn record_lost_flow(&mut self, peer: &InstanceId, generation: u64) {
        let known = self.lost_generation.entry(peer.clone()).or_default();
        *known = generation.max(*known);
    }

    /// Minimum generation of local port from which the peer may be dialled.
    pub(super) fn min_generation(&self, peer: &InstanceId) -> u64 {
        self.lost_generation.get(peer).map_or(0, |lost| lost + 1)
    }
}

impl PendingDial {
    /// Queues a message until the dial ends. Drops the oldest one if the queue is full, and returns
    /// whether it did.
    pub(super) fn push(&mut self, message: Message) -> bool {
        let is_full = self.messages.len() >= MAX_MESSAGES_PER_DIAL;
        if is_full {
            self.messages.remove(0);
        }
        self.messages.push(message);
        is_full
    }
}
