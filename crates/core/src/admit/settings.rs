//! Settings of the admission queues, and refusals.

use std::fmt;

/// Settings of the admission queues of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests per account and class.
    pub max_queue_requests: usize,
    /// Maximum number of waiting requests in all queues.
    pub max_requests: usize,
    /// Tokens that an account of weight 1 may place per round.
    pub quantum_tokens: u64,
    /// Interval, in dequeued requests, at which the least urgent class is tried first, so that it
    /// is not starved.
    pub reverse_every: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_queue_requests: 256,
            max_requests: 4_096,
            quantum_tokens: 1_024,
            reverse_every: 8,
        }
    }
}

/// Reason why a request was not queued. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueError {
    /// The queue of the account and class is full.
    QueueFull {
        /// Predicted time until the queue has room, in milliseconds.
        wait_ms: u64,
    },
    /// The predicted wait exceeds the time left until the deadline.
    WouldExpire {
        /// Predicted wait, in milliseconds.
        wait_ms: u64,
    },
}

impl EnqueueError {
    /// Delay after which a retry may succeed, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        let (Self::QueueFull { wait_ms } | Self::WouldExpire { wait_ms }) = self;
        *wait_ms
    }
}

impl fmt::Display for EnqueueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QueueFull { wait_ms } => {
                write!(f, "the account's queue is full for about {wait_ms} ms")
            }
            Self::WouldExpire { wait_ms } => {
                write!(f, "the wait of about {wait_ms} ms is past the deadline")
            }
        }
    }
}

impl std::error::Error for EnqueueError {}
