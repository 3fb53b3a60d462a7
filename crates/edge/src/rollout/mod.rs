//! Trials of a service's new version, in which traffic is shifted to it, and the verdict.
//!
//! A trial has two phases. In the first, the new version gets a small share of the traffic while
//! all instances collect evidence. In the second, shortly before the verdict `complete`, it gets
//! all traffic, so that the old upstreams have few requests in flight when they are stopped.

mod evidence;
mod trial;

pub use evidence::{Evidence, RouteEvidence, VersionCounts};
pub use trial::{RolloutOrder, Trial, TrialBounds, Verdict};
