//! Admission: bounded queues, fairness and deadlines.
//!
//! [`AdmissionQueues`] holds the requests that have no place yet, in one bounded queue for each account and
//! class. Urgent classes go first; within a class, deficit round robin in tokens gives each account
//! its share by weight, however much the others send. A request that cannot meet its deadline is
//! refused when it arrives, not when it is too late.

mod queue;
mod queues;
mod round_robin;
mod settings;

#[cfg(test)]
mod tests;

pub use queue::QueuedRequest;
pub use queues::{AdmissionQueues, Dequeued};
pub use settings::{AdmissionSettings, EnqueueError};
