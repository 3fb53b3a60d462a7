//! Evidence about the versions of a rollout, gathered by all instances.
//!
//! Each instance counts what becomes of its requests, apart for the old and the new version and
//! for each route. Counters only grow, one writer owns each, and merging takes the larger value,
//! so that lost, doubled, reordered and late messages do no harm. Inside a region the counters of
//! each instance are gossiped; between regions only sums are. A suspicion, once raised by anyone,
//! spreads the same way and is never taken back.

mod counts;
mod digest;
mod pending;
mod reference;
mod state;

pub use counts::{Counts, RegressionKind, Sample, Side, VersionCounts, REGRESSION_KINDS};
pub use digest::{EvidenceDigest, OriginCounts, RegionCounts, RouteCounts, Suspicion};
pub use pending::RequestTicket;
pub use reference::REFERENCE_QUANTILE;
pub use state::{Evidence, EvidenceChange, Stratum, SENDS_PER_CHANGE};

use crate::id::{InstanceId, RolloutId};
use serde::{Deserialize, Serialize};

/// A route as far as versions are compared, such as one endpoint and one latency class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteTag(pub u16);

impl RouteTag {
    /// All routes together; the tag of no single route.
    pub const ALL: Self = Self(u16::MAX);

    /// The tag of a route by its names. Routes whose tags collide are judged together.
    pub fn new(endpoint: &str, class: &str) -> Self {
        let hash = fnv1a(endpoint.bytes().chain([0]).chain(class.bytes()));
        Self((hash % u64::from(u16::MAX)) as u16)
    }
}

/// A process that counts, short enough to be gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OriginTag(pub u32);

impl OriginTag {
    /// The tag of one incarnation of an instance; a restarted instance counts anew.
    pub fn new(instance: &InstanceId, incarnation: u64) -> Self {
        let bytes = instance.as_str().bytes().chain([0]);
        Self(fold(fnv1a(bytes.chain(incarnation.to_le_bytes()))))
    }
}

/// A rollout, short enough to be gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RolloutTag(pub u32);

impl RolloutTag {
    /// The tag of a rollout.
    pub fn new(rollout: &RolloutId) -> Self {
        Self(fold(fnv1a(rollout.as_str().bytes())))
    }
}

/// FNV-1a over `bytes`.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

fn fold(hash: u64) -> u32 {
    (hash >> 32) as u32 ^ hash as u32
}
