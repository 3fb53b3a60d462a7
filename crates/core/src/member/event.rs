//! Events that the membership table reports to the rest of the program.

use super::{Incarnation, MemberState};
use crate::id::{InstanceId, RegionId};

/// A membership change for logs and metrics. The `Debug` output is logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// An incarnation was first confirmed by a packet or by gossip.
    Joined {
        /// Name of the member.
        instance: InstanceId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// The state of a member changed.
    Changed {
        /// Name of the member.
        instance: InstanceId,
        /// Previous state.
        from: MemberState,
        /// New state.
        to: MemberState,
    },
    /// A member was removed from the table: it is not on the live list, and it has been gone for
    /// longer than the retention or was never confirmed.
    Forgotten {
        /// Name of the member.
        instance: InstanceId,
    },
    /// Another incarnation under this instance's own name is at least as new: two processes share a
    /// name, or the clock went backwards between two starts. This process has to stop.
    Superseded {
        /// The other incarnation.
        incarnation: Incarnation,
    },
    /// The live list or a peer reports that this instance is leaving.
    ToldToLeave,
    /// A region timed out: nothing from it has arrived, directly or by gossip, for
    /// [`REGION_TIMEOUT_MS`](super::REGION_TIMEOUT_MS).
    RegionSilent {
        /// The region.
        region: RegionId,
    },
    /// A region that had timed out is reachable again.
    RegionBack {
        /// The region.
        region: RegionId,
    },
}
