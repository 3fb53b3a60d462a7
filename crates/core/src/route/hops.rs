//! Forwarding history of a request between instances.

use crate::id::InstanceId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of forwards within a region.
const MAX_FORWARDS_WITHIN_REGION: u8 = 1;
/// Maximum number of forwards across regions.
const MAX_FORWARDS_ACROSS_REGIONS: u8 = 1;

/// Kind of a forward between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// Forward to an instance in the same region.
    WithinRegion,
    /// Forward to another region.
    AcrossRegions,
}

/// Reason why a request may not be forwarded to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopError {
    /// The request has reached the limit of forwards of this kind.
    TooMany(Hop),
    /// The request has already visited the instance.
    Visited(InstanceId),
}

impl fmt::Display for HopError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooMany(Hop::WithinRegion) => f.write_str("no second forward inside a region"),
            Self::TooMany(Hop::AcrossRegions) => f.write_str("no second forward across regions"),
            Self::Visited(instance) => write!(f, "instance `{instance}` was visited before"),
        }
    }
}

impl std::error::Error for HopError {}

/// Forward counters and visited instances of a request, sent along with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hops {
    pub(super) within: u8,
    pub(super) across: u8,
    pub(super) visited: Vec<InstanceId>,
}

impl Hops {
    /// Returns the visited instances, in order.
    pub fn visited(&self) -> &[InstanceId] {
        &self.visited
    }

    /// Whether another forward of kind `hop` is allowed.
    pub fn is_allowed(&self, hop: Hop) -> bool {
        match hop {
            Hop::WithinRegion => self.within < MAX_FORWARDS_WITHIN_REGION,
            Hop::AcrossRegions => self.across < MAX_FORWARDS_ACROSS_REGIONS,
        }
    }

    /// Records the arrival of the request at `instance`. Has to be called first on arrival.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has already visited `instance`, or if a counter exceeds its
    /// limit, which a faulty peer may send.
    pub fn arrive(mut self, instance: &InstanceId) -> Result<Self, HopError> {
        if self.within > MAX_FORWARDS_WITHIN_REGION {
            return Err(HopError::TooMany(Hop::WithinRegion));
        }
        if self.across > MAX_FORWARDS_ACROSS_REGIONS {
            return Err(HopError::TooMany(Hop::AcrossRegions));
        }
        if self.visited.contains(instance) {
            return Err(HopError::Visited(instance.clone()));
        }
        self.visited.push(instance.clone());
        self.assert_bounded();
        Ok(self)
    }

    /// Returns the hops to send along when the request is forwarded to `next`.
    ///
    /// # Errors
    ///
    /// Returns an error if the forward would exceed its limit, or if the request has already
    /// visited `next`.
    pub fn forward(&self, hop: Hop, next: &InstanceId) -> Result<Self, HopError> {
        if self.visited.contains(next) {
            return Err(HopError::Visited(next.clone()));
        }
        self.used(hop)
    }

    /// Returns the hops after a forward of kind `hop`, for an instance that is yet to be chosen.
    ///
    /// # Errors
    ///
    /// Returns an error if the forward would exceed its limit.
    pub fn used(&self, hop: Hop) -> Result<Self, HopError> {
        if !self.is_allowed(hop) {
            return Err(HopError::TooMany(hop));
        }
        let mut hops = self.clone();
        match hop {
            Hop::WithinRegion => hops.within += 1,
            Hop::AcrossRegions => hops.across += 1,
        }
        hops.assert_bounded();
        Ok(hops)
    }

    pub(super) fn assert_bounded(&self) {
        assert!(
            self.within <= MAX_FORWARDS_WITHIN_REGION,
            "forwards inside a region"
        );
        assert!(
            self.across <= MAX_FORWARDS_ACROSS_REGIONS,
            "forwards across regions"
        );
        let max_visited = usize::from(MAX_FORWARDS_WITHIN_REGION + MAX_FORWARDS_ACROSS_REGIONS) + 1;
        assert!(self.visited.len() <= max_visited, "visited instances");
        let last = self.visited.last();
        let visits = self.visited.iter().filter(|id| Some(*id) == last).count();
        assert!(visits <= 1, "an instance was visited twice");
    }
}
