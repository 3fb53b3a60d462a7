//! Placement of a request on an upstream.
//!
//! A [`Router`] holds one instance's view of every upstream: the load that the instance itself has
//! in flight, the load that peers report in a [`LoadDigest`], the upstream's own lagging
//! [`UpstreamReport`], and measured speeds. [`Router::place`] predicts the time to first token on
//! each candidate and selects one. The caller then reports the lifecycle of the request through
//! [`Router::start`], [`Router::first_token`], [`Router::progress`], [`Router::finish`] and
//! [`Router::cancel`].
//!
//! The following invariants are asserted at run time: a bound request is placed only in its region,
//! a request crosses regions at most once and visits no instance twice, and an upstream that is
//! leaving gets no new requests.

mod affinity;
mod attempt;
mod choice;
mod digest;
mod hops;
mod lifecycle;
mod load;
mod objective;
mod request;
mod restart;
mod router;
mod speed;
mod updates;
mod upstream;

#[cfg(test)]
mod tests;

pub use affinity::{prefix_hashes, PREFIX_BLOCK_TOKENS};
pub use attempt::AttemptId;
pub use choice::Prediction;
pub use digest::{LeavingNotice, LoadDigest, LoadDigestEntry, DIGEST_LIFETIME_MS};
pub use hops::{Hop, HopError, Hops};
pub use load::{Load, UpstreamReport};
pub use request::{LatencyTarget, Placement, Refusal, Request, Requirement};
pub use router::{NetworkDelays, Router, RouterSettings};
pub use upstream::{LeavingSource, SLOW_START_MS};
