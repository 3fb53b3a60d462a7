//! Evidence as sent to other instances.

use super::{Kind, OriginTag, RolloutTag, RouteTag, Sides};
use crate::id::RegionId;
use crate::rollout::Verdict;
use serde::{Deserialize, Serialize};

/// Counters of one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCell {
    /// Rollout that the counters belong to.
    pub rollout: RolloutTag,
    /// Route that the counters belong to.
    pub route: RouteTag,
    /// Counters since the process started.
    pub sides: Sides,
}

/// Counters of one process, gossiped inside its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginCells {
    /// Process that counted.
    pub origin: OriginTag,
    /// Its counters.
    pub cells: Vec<RouteCell>,
}

/// Sums over one region, gossiped between regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionCells {
    /// Region that was summed over.
    pub region: RegionId,
    /// The sums.
    pub cells: Vec<RouteCell>,
}

/// A new version is suspected of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Suspicion {
    /// Rollout of the new version.
    pub rollout: RolloutTag,
    /// Route on which the fault showed.
    pub route: RouteTag,
    /// Kind of the fault.
    pub kind: Kind,
    /// Process that found it.
    pub origin: OriginTag,
}

/// What one instance tells another about rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Suspicions; every message repeats them all.
    pub suspicions: Vec<Suspicion>,
    /// Verdicts read from the store; every message repeats them all.
    pub verdicts: Vec<(RolloutTag, Verdict)>,
    /// Counters of processes of the region.
    pub origins: Vec<OriginCells>,
    /// Sums over regions.
    pub regions: Vec<RegionCells>,
}
