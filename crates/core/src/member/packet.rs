//! Packets between the membership tables of two instances.

use super::{Incarnation, MemberRecord, Status};
use crate::id::InstanceId;
use serde::{Deserialize, Serialize};

/// One packet. The sender's name comes from its authenticated connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Status of the sender.
    pub status: Status,
    /// Salt of `table_hash`.
    pub salt: u16,
    /// Hash of the sender's whole table under `salt`.
    pub table_hash: u32,
    /// What the packet is for.
    pub body: PacketBody,
    /// Counters of some regions.
    pub heartbeats: Vec<RegionHeartbeat>,
    /// Piggybacked changes of members.
    pub updates: Vec<Update>,
    /// Piggybacked revisions of members.
    pub revisions: Vec<RevisionUpdate>,
    /// Piggybacked state of other modules.
    pub entries: Vec<KeyedEntry>,
}

/// What a packet is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Asks for an acknowledgement.
    Ping {
        /// Number that the acknowledgement repeats.
        probe: u32,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        probe: u32,
    },
    /// Asks the receiver to ping `target` on the sender's behalf.
    Relay {
        /// Number that the answer repeats.
        probe: u32,
        /// Member to ping.
        target: InstanceId,
    },
    /// Tells that `target` answered a relayed ping.
    RelayedAck {
        /// Number of the relay request.
        probe: u32,
        /// Member that answered.
        target: InstanceId,
    },
    /// Hashes of the sender's table by bucket, sent when two tables differ.
    Digest {
        /// One hash for each bucket, under the packet's salt.
        buckets: Vec<u16>,
    },
    /// Records of the buckets that differ.
    Records {
        /// Bit set of the buckets that differ.
        differing: u64,
        /// The sender's records in these buckets.
        records: Vec<MemberRecord>,
        /// The receiver should answer with its own records.
        wants_reply: bool,
    },
}

impl PacketBody {
    /// Whether the receiver answers a packet of this kind in every case.
    pub const fn expects_reply(&self) -> bool {
        matches!(self, Self::Ping { .. })
    }
}

/// Counter of a region that rises as long as any of its instances runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionHeartbeat {
    /// Hash of the region's name.
    pub region_key: [u8; 4],
    /// Highest counter known.
    pub counter: u64,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// Everything about a member.
    Record(MemberRecord),
    /// The status of a member that the receiver most likely knows.
    Status {
        /// Name of the member.
        instance: InstanceId,
        /// Incarnation that the status belongs to.
        incarnation: Incarnation,
        /// The status.
        status: Status,
    },
}

/// Members that have one revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionUpdate {
    /// Revision in force.
    pub revision: u64,
    /// Hashes of the members' names and incarnations.
    pub member_keys: Vec<[u8; 4]>,
}

/// One entry of another module, addressed by the hash of its origin.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedEntry {
    /// Hash of the origin's name and incarnation.
    pub member_key: [u8; 4],
    /// Topic of the entry.
    pub topic: u8,
    /// Version; the newest wins.
    pub version: u64,
    /// Content.
    pub bytes: Vec<u8>,
}
