//! Moving a service's traffic to a new version, and the verdict on it.
//!
//! A trial has two phases. In the first the new version gets a small share while all instances
//! gather evidence. In the second, shortly before the verdict `complete`, it gets everything, so
//! that the old upstreams have little left to run when they are stopped.

mod evidence;
mod trial;

pub use evidence::{Evidence, RouteEvidence, VersionCounts};
pub use trial::{RolloutOrder, Trial, TrialBounds, Verdict};
