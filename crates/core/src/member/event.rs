//! What the table reports to the rest of the program.

use super::{Incarnation, MemberState};
use crate::id::{InstanceId, RegionId};

/// A change that logs and metrics report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// An incarnation became known by a packet or by gossip.
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
        /// State before.
        from: MemberState,
        /// State now.
        to: MemberState,
    },
    /// A member that is gone for long has been forgotten.
    Forgotten {
        /// Name of the member.
        instance: InstanceId,
    },
    /// Another incarnation under this instance's own name is at least as new. Two processes share
    /// a name, or the clock went back between two starts; this process has to stop.
    Superseded {
        /// The other incarnation.
        incarnation: Incarnation,
    },
    /// The live list or a peer says that this instance is leaving.
    ToldToLeave,
    /// No news from a region has arrived for some time.
    RegionSilent {
        /// The region.
        region: RegionId,
    },
    /// News from a silent region arrives again.
    RegionBack {
        /// The region.
        region: RegionId,
    },
}
