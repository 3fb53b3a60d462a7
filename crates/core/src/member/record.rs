//! What is known about one member, and how two records of it merge.

use crate::id::{DataCentreId, InstanceId, RegionId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number that separates a restarted instance from its past; the start time in milliseconds since
/// the Unix epoch is a good one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The part of a record that stays the same for one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Region that the instance stands in.
    pub region: RegionId,
    /// Data centre that the instance stands in.
    pub data_centre: DataCentreId,
    /// Address for other instances (UDP).
    pub peer_addr: SocketAddr,
    /// Address for callers (TCP), as given out by `/v1/entry`.
    pub caller_addr: SocketAddr,
}

/// Whether an incarnation answers. A higher value wins inside one sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// The incarnation answers.
    Alive,
    /// The incarnation did not answer and may refute by a higher sequence.
    Suspect,
    /// The incarnation did not refute in time. A higher sequence still refutes.
    Gone,
}

/// The part of a record that changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Sequence that only the member itself raises.
    pub sequence: u32,
    /// Health at this sequence.
    pub health: Health,
    /// The incarnation is leaving. It never returns from that.
    pub is_leaving: bool,
    /// Highest document revision that the incarnation has reported as in force.
    pub revision: u64,
}

impl Status {
    /// The status of an incarnation that has just started.
    pub const fn new(revision: u64) -> Self {
        Self {
            sequence: 0,
            health: Health::Alive,
            is_leaving: false,
            revision,
        }
    }

    /// Joins `other` into `self`; both belong to the same incarnation.
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
            "a revision never goes back"
        );
        assert!(
            self.is_leaving || !before.is_leaving,
            "leaving never reverts"
        );
    }
}

/// All that travels about one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The constant part.
    pub identity: Identity,
    /// The changing part.
    pub status: Status,
    /// Fleet-wide entries of the member, as topic, version and content.
    pub entries: Vec<(u8, u64, Vec<u8>)>,
}

/// State of a member as the rest of the program sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers and takes work.
    Alive,
    /// Did not answer lately.
    Suspect,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// Does not answer.
    Gone,
}

impl MemberState {
    /// The state that `status` amounts to.
    pub const fn of(status: &Status) -> Self {
        match status.health {
            Health::Gone => Self::Gone,
            _ if status.is_leaving => Self::Leaving,
            Health::Suspect => Self::Suspect,
            Health::Alive => Self::Alive,
        }
    }
}
