//! Retries, hedges, retry budget, outlier ejection and the resumption of broken streams.
//!
//! - [`Retrier`] decides whether a failed attempt is tried again, and when: only if the request is
//!   idempotent or has truly not run, on another upstream and a new connection, and within a
//!   [`RetryBudget`] that is a share of the requests.
//! - [`OutlierDetector`] takes failing upstreams out for a time that grows, but never more than a share of
//!   those that serve the same in a region.
//! - [`ResumePoint`] relays a stream so that it can go on from another engine with no token doubled
//!   or lost.

mod budget;
mod outlier;
mod policy;
mod resume;

#[cfg(test)]
mod tests;

pub use budget::{RetryBudget, MAX_SAVED_RETRIES};
pub use outlier::{EjectionChange, OutlierDetector, UpstreamGroup, MAX_EJECTED_SHARE};
pub use policy::{Decision, Failure, GiveUpReason, Retrier, RetrySettings};
pub use resume::{BrokenStream, Continuation, RelayAction, ResumePoint, StreamError};
