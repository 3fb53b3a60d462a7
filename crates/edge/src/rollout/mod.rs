//! Trials of a service's new version, in which traffic is shifted to it, and the verdict.
//!
//! A trial has two phases. In the first, the new version gets a small share of the traffic while
//! all instances collect evidence. In the second, shortly before the verdict `complete`, it gets
//! more and then all traffic, so that a fault under load shows while the old upstreams run, and these
//! have few requests in flight when they are stopped.
//!
//! `complete` cannot be taken back: the old upstreams are stopped at once. So it takes evidence for the
//! new version. A trial that ends without enough of it is reverted.

mod assessment;
mod evidence;
mod trial;

pub use evidence::{Evidence, RouteEvidence, VersionCounts};
pub use trial::{OtherVersions, RolloutOrder, Trial, TrialBounds, TrialConditions, Verdict};
