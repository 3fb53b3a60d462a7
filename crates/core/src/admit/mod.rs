//! Admission: bounded queues, fairness and deadlines.
//!
//! [`AdmissionQueues`] holds the requests that are not placed at an upstream yet, in one bounded
//! queue for each account and class. More urgent classes are served first. Within a class, deficit
//! round robin in tokens gives each account its share by weight, regardless of the load of other
//! accounts. A request that is predicted to miss its deadline is refused on arrival instead of
//! expiring in the queue.

mod queue;
mod queues;
mod round_robin;
mod settings;

#[cfg(test)]
mod tests;

pub use queue::QueuedRequest;
pub use queues::{AdmissionQueues, Dequeued};
pub use settings::{AdmissionSettings, EnqueueError};
