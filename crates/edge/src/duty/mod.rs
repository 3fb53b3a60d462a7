//! Duties: calls to the platform's control address that one instance at a time makes.
//!
//! `core::duty` decides who holds a duty. The leases are kept on the store's thread, and the calls are
//! made on the event loop. What is called is decided by a [`DutySource`] for each duty.

mod autoscale;
mod call;
mod control;
mod election;
mod host;
mod interface;
mod kind;
mod metrics;
mod pace;
mod runner;
mod shared;
mod state;
mod usage;

pub use autoscale::autoscale_source;
pub use call::{Answered, DutyCall, DutyOutcome, DutySource, DutyStep, StoredState};
pub use host::{start, DutyHost, CALL_TIMEOUT_MS};
pub use interface::{DutyInterface, DutyRequest};
pub use kind::DutyKind;
pub use metrics::{DutyMetrics, DutyStatus};
pub use pace::Pace;
pub use usage::usage_source;
