//! Evidence as sent to other instances.

use super::{OriginTag, RegressionKind, RolloutTag, RouteTag, VersionCounts};
use crate::id::RegionId;
use crate::rollout::Verdict;
use serde::{Deserialize, Serialize};

/// Counters of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Rollout that the counters belong to.
    pub rollout: RolloutTag,
    /// Route that the counters belong to.
    pub route: RouteTag,
    /// Counters since the process started.
    pub counts: VersionCounts,
}

/// Counters of one process, gossiped inside its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCounts {
    /// Process that counted.
    pub origin: OriginTag,
    /// Its counters.
    pub routes: Vec<RouteCounts>,
}

/// Sums over one region, gossiped between regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionCounts {
    /// Region that was summed over.
    pub region: RegionId,
    /// The sums.
    pub routes: Vec<RouteCounts>,
}

/// A new version is suspected of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Rollout of the new version.
    pub rollout: RolloutTag,
    /// Route on which the fault showed.
    pub route: RouteTag,
    /// Kind of the fault.
    pub kind: RegressionKind,
    /// Process that found it.
    pub origin: OriginTag,
}

/// What one instance tells another about rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceDigest {
    /// Suspicions; every message repeats them all.
    pub suspicions: Vec<Suspicion>,
    /// Verdicts read from the store; every message repeats them all.
    pub verdicts: Vec<(RolloutTag, Verdict)>,
    /// Counters of processes of the region.
    pub origins: Vec<OriginCounts>,
    /// Sums over regions.
    pub regions: Vec<RegionCounts>,
}
