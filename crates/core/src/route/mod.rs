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
mod choice;
mod digest;
mod flight;
mod hops;
mod knobs;
mod life;
mod load;
mod news;
mod request;
mod router;
mod speed;
mod upstream;

#[cfg(test)]
mod tests;

pub use affinity::{prefix_hashes, PREFIX_BLOCK_TOKENS};
pub use choice::Prediction;
pub use digest::{DigestEntry, LeavingNotice, LoadDigest, DIGEST_LIFETIME_MS};
pub use flight::FlightId;
pub use hops::{Hop, HopFault, Hops};
pub use load::{Load, Report};
pub use request::{Placement, Refusal, Request, Target, Wanted};
pub use router::{Delays, Router, Settings};
pub use upstream::{LeavingSource, RAMP_MS};
