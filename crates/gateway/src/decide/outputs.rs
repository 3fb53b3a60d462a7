//! Channels and shared state through which the decision thread's results leave it.

use crate::{
    in_force::SharedDocument, intake::SharedEntryPoints, peers, platform, report::StatusBoard,
    ring::Sender,
};
use carobwheel_core::{id::InstanceId, member};
use carobwheel_wire::peer::Message;
use std::{
    net::SocketAddr,
    sync::{atomic::AtomicBool, Arc},
};

/// Channels to other threads and state shared with them.
pub struct Outputs {
    /// Document in force.
    pub current: SharedDocument,
    /// Instances that callers may use.
    pub entries: SharedEntryPoints,
    /// Data of the status page.
    pub board: StatusBoard,
    /// Whether the instance can serve requests.
    pub is_ready: Arc<AtomicBool>,
    /// Whether the instance is leaving and owns no more slots.
    pub has_handed_over: Arc<AtomicBool>,
    /// Links to other instances; none for a stand-alone instance.
    pub peers: Option<peers::Handle>,
    /// Ring to the platform thread.
    pub platform: Sender<platform::Command>,
}

impl Outputs {
    /// Sends a message to a peer without guarantee of delivery; it is dropped if the queue is full.
    pub(super) fn send(&self, to: InstanceId, addr: Option<SocketAddr>, message: Message) {
        if let Some(peers) = &self.peers {
            let _ = peers.send(to, addr, message);
        }
    }

    /// Sends packets of the membership table.
    pub(super) fn send_packets(&self, packets: Vec<member::Outgoing>) {
        for outgoing in packets {
            let message = Message::Member(outgoing.packet);
            self.send(outgoing.to, outgoing.addr, message);
        }
    }

    /// Sends a command to the platform thread. A lost command is sent again later.
    pub(super) fn command(&self, command: platform::Command) {
        if self.platform.try_send(command).is_err() {
            log::warn!("command to the platform thread dropped");
        }
    }
}
