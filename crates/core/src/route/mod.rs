//! Placement of a request on an upstream.
//!
//! A [`Router`] holds one instance's view of every upstream: the work the instance itself has in
//! flight, the work that peers report in a [`LoadDigest`], the upstream's own lagging report and
//! measured speeds. [`Router::place`] predicts the time to the first token on each candidate and
//! picks one. The caller then reports the life of the request by [`Router::start`],
//! [`Router::first_token`], [`Router::progress`] and [`Router::finish`].
//!
//! These promises are asserted inside the program: a bound request is placed in its region only, a
//! request crosses regions at most once and visits no instance twice, and an upstream that leaves
//! gets no new work.

mod affinity;
mod attempt;
mod choice;
mod digest;
mod hops;
mod lifecycle;
mod load;
mod objective;
mod request;
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
