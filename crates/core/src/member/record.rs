//! Record of one member and the merge of its status.

use crate::id::{DataCentreId, InstanceId, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Incarnation number of an instance; has to increase with each restart, for example the start time
/// in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Immutable part of a record; constant for one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Region of the instance.
    pub region: RegionId,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address for other instances (UDP).
    pub peer_addr: SocketAddr,
    /// Address for callers (TCP), as returned by `/v1/entry`.
    pub caller_addr: SocketAddr,
}

/// Liveness of an incarnation. The higher value wins within one sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// The incarnation responds.
    Alive,
    /// The incarnation did not respond; it can refute by a higher sequence.
    Suspect,
    /// The incarnation did not refute in time. A higher sequence still refutes.
    Gone,
}

/// Mutable part of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Sequence number; only the member itself increments it.
    pub sequence: u32,
    /// Health at this sequence.
    pub health: Health,
    /// Whether the incarnation is leaving. Never reset within an incarnation.
    pub is_leaving: bool,
    /// Highest document revision that the incarnation has reported as in force.
    pub revision: u64,
}

impl Status {
    /// Returns the status of an incarnation that has just started.
    pub const fn new(revision: u64) -> Self {
        Self {
            sequence: 0,
            health: Health::Alive,
            is_leaving: false,
            revision,
        }
    }

    /// Merges `other` into `self`; both have to belong to the same incarnation.
    pub(super) fn join(&mut self, other: &Self) {
        let before = *self;
        if (other.sequence, other.health) > (self.sequence, self.health) {
            self.sequence = other.sequence;
            self.health = other.health;
        }
        self.is_leaving |= other.is_leaving;
        self.revision = self.revision.max(other.revision);
        assert!(
            self.revision >= before.revision,
            "a revision never decreases"
        );
        assert!(
            self.is_leaving || !before.is_leaving,
            "leaving never reverts"
        );
    }
}

/// Full state of one member, as exchanged between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Immutable part.
    pub identity: Identity,
    /// Mutable part.
    pub status: Status,
    /// Fleet-wide entries of the member, as topic, version and content.
    pub entries: Vec<(u8, u64, Vec<u8>)>,
}

/// State of a member, derived from its [`Status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Responds and accepts work.
    Alive,
    /// Did not respond to recent probes.
    Suspect,
    /// Finishes its work in progress and accepts no new work.
    Leaving,
    /// Does not respond.
    Gone,
}

impl MemberState {
    /// Derives the state from `status`.
    pub const fn of(status: &Status) -> Self {
        match status.health {
            Health::Gone => Self::Gone,
            _ if status.is_leaving => Self::Leaving,
            Health::Suspect => Self::Suspect,
            Health::Alive => Self::Alive,
        }
    }
}
