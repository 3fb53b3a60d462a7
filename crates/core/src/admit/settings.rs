//! Bounds of the queues, and refusals.

use std::fmt;

/// Bounds of the queues of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Requests waiting in one queue at most.
    pub max_queue_requests: usize,
    /// Requests waiting in all queues at most.
    pub max_requests: usize,
    /// Tokens that an account of weight 1 may have placed in one round.
    pub quantum_tokens: u64,
    /// One in so many dequeue_count begins with the least urgent class.
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

/// Why a request was not queued. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnqueueError {
    /// The queue of the account and class is full.
    QueueFull {
        /// Predicted time until it has room, in milliseconds.
        wait_ms: u64,
    },
    /// The predicted wait is longer than the time left.
    WouldExpire {
        /// Predicted wait, in milliseconds.
        wait_ms: u64,
    },
}

impl EnqueueError {
    /// Time after which another try may succeed, in milliseconds.
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
