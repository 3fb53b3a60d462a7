//! Retries, hedging, retry budget, outlier ejection and resumption of broken streams.
//!
//! - [`Retrier`] decides whether and when a failed attempt is retried: only if the request is
//!   idempotent or has certainly not run, on another upstream over a new connection, and within a
//!   [`RetryBudget`] that is a share of the requests.
//! - [`OutlierDetector`] ejects failing upstreams for increasing periods, but never more than a
//!   share of the [`UpstreamGroup`] that serves the same model version or service in a region.
//! - [`ResumePoint`] tracks a relayed stream so that another engine can continue it without
//!   duplicated or lost tokens.

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
