//! Packets exchanged between the membership tables of two instances.

use super::{Incarnation, MemberRecord, Status};
use crate::id::InstanceId;
use serde::{Deserialize, Serialize};

/// A membership packet. The sender's name is known from its authenticated connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Status of the sender.
    pub status: Status,
    /// Salt of `table_hash`.
    pub salt: u16,
    /// Hash of the sender's whole table, computed with `salt`.
    pub table_hash: u32,
    /// Request or response that the packet carries.
    pub body: PacketBody,
    /// Heartbeat counters of some regions.
    pub heartbeats: Vec<RegionHeartbeat>,
    /// Piggybacked records and statuses of members.
    pub updates: Vec<Update>,
    /// Piggybacked revisions of members.
    pub revisions: Vec<RevisionUpdate>,
    /// Piggybacked entries of other modules.
    pub entries: Vec<KeyedEntry>,
}

/// Request or response of a [`Packet`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Asks for an acknowledgement.
    Ping {
        /// Probe number that the acknowledgement repeats.
        probe: u32,
    },
    /// Acknowledges a ping.
    Ack {
        /// Probe number of the ping.
        probe: u32,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    Relay {
        /// Probe number that [`RelayedAck`](Self::RelayedAck) repeats.
        probe: u32,
        /// Member to ping.
        target: InstanceId,
    },
    /// Reports that `target` acknowledged a relayed ping.
    RelayedAck {
        /// Probe number of the relay request.
        probe: u32,
        /// Member that acknowledged.
        target: InstanceId,
    },
    /// Hashes of the sender's table per bucket, sent when two tables differ.
    Digest {
        /// One hash per bucket, computed with the packet's salt.
        buckets: Vec<u16>,
    },
    /// Records of the buckets that differ.
    Records {
        /// Bit set of the buckets that differ.
        differing: u64,
        /// The sender's records in these buckets.
        records: Vec<MemberRecord>,
        /// Whether the receiver should reply with the records that the sender lacks.
        wants_reply: bool,
    },
}

impl PacketBody {
    /// Returns whether the receiver always replies to a packet of this kind.
    pub const fn expects_reply(&self) -> bool {
        matches!(self, Self::Ping { .. })
    }
}

/// Heartbeat counter of a region; increases as long as any of its instances runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionHeartbeat {
    /// Hash of the region's name.
    pub region_key: [u8; 4],
    /// Highest counter value that the sender knows.
    pub counter: u64,
}

/// A piggybacked change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole record of a member.
    Record(MemberRecord),
    /// The status only, of a member that the receiver most likely knows.
    Status {
        /// Name of the member.
        instance: InstanceId,
        /// Incarnation that the status belongs to.
        incarnation: Incarnation,
        /// The status.
        status: Status,
    },
}

/// Members that have the given revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionUpdate {
    /// Revision in force.
    pub revision: u64,
    /// Hashes of the members' names and incarnations.
    pub member_keys: Vec<[u8; 4]>,
}

/// Entry of another module, with a hash in place of the origin's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedEntry {
    /// Hash of the origin's name and incarnation.
    pub member_key: [u8; 4],
    /// Topic of the entry.
    pub topic: u8,
    /// Version; the highest wins.
    pub version: u64,
    /// Content.
    pub bytes: Vec<u8>,
}
