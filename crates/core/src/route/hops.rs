//! The way a request has taken between instances.

use crate::id::InstanceId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Forwards allowed inside a region.
const MAX_WITHIN: u8 = 1;
/// Forwards allowed across regions.
const MAX_ACROSS: u8 = 1;

/// The kind of a forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// To an instance of the same region.
    WithinRegion,
    /// To another region.
    AcrossRegions,
}

/// Why a request may not go on to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HopError {
    /// The request has used up its forwards of this kind.
    TooMany(Hop),
    /// The request has been at the instance before.
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

/// Forwards and visited instances of a request; travels with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hops {
    pub(super) within: u8,
    pub(super) across: u8,
    pub(super) visited: Vec<InstanceId>,
}

impl Hops {
    /// The instances that the request has been at, in order.
    pub fn visited(&self) -> &[InstanceId] {
        &self.visited
    }

    /// Whether a forward of kind `hop` is left.
    pub fn is_allowed(&self, hop: Hop) -> bool {
        match hop {
            Hop::WithinRegion => self.within < MAX_WITHIN,
            Hop::AcrossRegions => self.across < MAX_ACROSS,
        }
    }

    /// Enters the request at `instance`, as the first step on arrival.
    ///
    /// # Errors
    ///
    /// Refuses a second visit, and counters beyond the limits, which a faulty peer may send.
    pub fn arrive(mut self, instance: &InstanceId) -> Result<Self, HopError> {
        if self.within > MAX_WITHIN {
            return Err(HopError::TooMany(Hop::WithinRegion));
        }
        if self.across > MAX_ACROSS {
            return Err(HopError::TooMany(Hop::AcrossRegions));
        }
        if self.visited.contains(instance) {
            return Err(HopError::Visited(instance.clone()));
        }
        self.visited.push(instance.clone());
        self.assert_bounded();
        Ok(self)
    }

    /// The hops to send along when the request is forwarded to `next`.
    ///
    /// # Errors
    ///
    /// Refuses a forward beyond the limits and a second visit.
    pub fn forward(&self, hop: Hop, next: &InstanceId) -> Result<Self, HopError> {
        if self.visited.contains(next) {
            return Err(HopError::Visited(next.clone()));
        }
        self.used(hop)
    }

    /// The hops after a forward of kind `hop` to an instance that is still to be chosen.
    ///
    /// # Errors
    ///
    /// Refuses a forward beyond the limits.
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
        assert!(self.within <= MAX_WITHIN, "forwards inside a region");
        assert!(self.across <= MAX_ACROSS, "forwards across regions");
        let most = usize::from(MAX_WITHIN + MAX_ACROSS) + 1;
        assert!(self.visited.len() <= most, "visited instances");
        let last = self.visited.last();
        let visits = self.visited.iter().filter(|id| Some(*id) == last).count();
        assert!(visits <= 1, "an instance was visited twice");
    }
}
