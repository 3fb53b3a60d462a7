//! Where the deciding thread's decisions go.

use crate::{
    in_force::SharedDocument, intake::Entries, peers, platform, report::StatusBoard, ring::Sender,
};
use carobwheel_core::{id::InstanceId, member};
use carobwheel_wire::peer::Message;
use std::{
    net::SocketAddr,
    sync::{atomic::AtomicBool, Arc},
};

/// The other threads, as far as the deciding thread tells them something.
pub struct Outputs {
    /// The document in force.
    pub current: SharedDocument,
    /// Instances that callers may use.
    pub entries: Entries,
    /// The status page.
    pub board: StatusBoard,
    /// The instance can serve requests.
    pub is_ready: Arc<AtomicBool>,
    /// The instance is leaving and owns no slots any more.
    pub has_handed_over: Arc<AtomicBool>,
    /// Links to other instances; none for an instance that stands alone.
    pub peers: Option<peers::Handle>,
    /// The platform thread.
    pub platform: Sender<platform::Command>,
}

impl Outputs {
    /// Sends a message to a peer. Like a datagram it may get lost, also when the queue is full.
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

    /// Gives the platform thread a command; every command is given again later if it gets lost.
    pub(super) fn command(&self, command: platform::Command) {
        if self.platform.try_send(command).is_err() {
            log::warn!("the platform thread is behind");
        }
    }
}
