//! Digests of evidence exchanged between instances.

use super::{OriginTag, RegressionKind, RolloutTag, RouteTag, VersionCounts};
use crate::id::RegionId;
use crate::rollout::Verdict;
use serde::{Deserialize, Serialize};

/// Counters of one route of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Rollout that the counters belong to.
    pub rollout: RolloutTag,
    /// Route that the counters belong to.
    pub route: RouteTag,
    /// Counters since the process started.
    pub counts: VersionCounts,
}

/// Counters of one process, gossiped within its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCounts {
    /// Process that counted the requests.
    pub origin: OriginTag,
    /// Counters per route.
    pub routes: Vec<RouteCounts>,
}

/// Counters summed over one region, gossiped between regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionCounts {
    /// Region whose counters are summed.
    pub region: RegionId,
    /// Sums per route.
    pub routes: Vec<RouteCounts>,
}

/// Suspicion of a regression of a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Rollout of the new version.
    pub rollout: RolloutTag,
    /// Route on which the regression was detected.
    pub route: RouteTag,
    /// Kind of regression.
    pub kind: RegressionKind,
    /// Process that detected the regression.
    pub origin: OriginTag,
}

/// Evidence about rollouts sent from one instance to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvidenceDigest {
    /// All known suspicions, repeated in every message.
    pub suspicions: Vec<Suspicion>,
    /// All known verdicts in the store, repeated in every message.
    pub verdicts: Vec<(RolloutTag, Verdict)>,
    /// Counters of the region's processes.
    pub origins: Vec<OriginCounts>,
    /// Counters summed per region.
    pub regions: Vec<RegionCounts>,
}
