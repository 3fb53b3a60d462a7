//! Retries, hedges, retry budget, outlier ejection and the resumption of broken streams.
//!
//! - [`Retrier`] decides whether a failed attempt is tried again, and when: only if the request is
//!   idempotent or has truly not run, on another upstream and a new connection, and within a
//!   [`Budget`] that is a share of the requests.
//! - [`Outliers`] takes failing upstreams out for a time that grows, but never more than a share of
//!   those that serve the same in a region.
//! - [`ResumePoint`] relays a stream so that it can go on from another engine with no token doubled
//!   or lost.

mod budget;
mod outlier;
mod policy;
mod resume;

#[cfg(test)]
mod tests;

pub use budget::{Budget, BUDGET_CAP};
pub use outlier::{Ejection, Group, Outliers, EJECTED_SHARE_MAX};
pub use policy::{Decision, Failure, GiveUp, Retrier, RetrySettings};
pub use resume::{BrokenStream, Continuation, Relay, ResumePoint, StreamFault};
