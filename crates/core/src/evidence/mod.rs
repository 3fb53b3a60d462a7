//! Evidence about the versions of a rollout, collected by all instances.
//!
//! Each instance counts the outcomes of its requests, separately for each route and for the old and
//! the new version. The counters are grow-only, each has a single writer, and merging takes the
//! larger value, so lost, duplicated, reordered and late messages are harmless. Within a region the
//! counters of each instance are gossiped; between regions only sums are. A suspicion raised by any
//! instance is disseminated in the same way and never withdrawn.

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

/// Tag of a route on which versions are compared, such as an endpoint with a latency class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteTag(pub u16);

impl RouteTag {
    /// Tag of all routes combined, which no single route has.
    pub const ALL: Self = Self(u16::MAX);

    /// Computes the tag of a route from its names. Routes whose tags collide are judged together.
    pub fn new(endpoint: &str, class: &str) -> Self {
        let hash = fnv1a(endpoint.bytes().chain([0]).chain(class.bytes()));
        Self((hash % u64::from(u16::MAX)) as u16)
    }
}

/// Compact tag of a counting process, for gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OriginTag(pub u32);

impl OriginTag {
    /// Computes the tag of one incarnation of an instance. A restarted instance starts counting at
    /// zero under a new tag.
    pub fn new(instance: &InstanceId, incarnation: u64) -> Self {
        let bytes = instance.as_str().bytes().chain([0]);
        Self(fold_to_u32(fnv1a(bytes.chain(incarnation.to_le_bytes()))))
    }
}

/// Compact tag of a rollout, for gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RolloutTag(pub u32);

impl RolloutTag {
    /// Computes the tag of a rollout.
    pub fn new(rollout: &RolloutId) -> Self {
        Self(fold_to_u32(fnv1a(rollout.as_str().bytes())))
    }
}

/// Computes the 64-bit FNV-1a hash of `bytes`.
pub(crate) fn fnv1a(bytes: impl Iterator<Item = u8>) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

fn fold_to_u32(hash: u64) -> u32 {
    (hash >> 32) as u32 ^ hash as u32
}
