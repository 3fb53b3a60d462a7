//! Why a call failed.

use std::fmt;

/// Why a call to the store gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The HTTP client cannot be set up.
    Setup(String),
    /// No connection came about, so nothing was sent.
    Connect(String),
    /// The answer did not come within the deadline, in milliseconds.
    Timeout(u64),
    /// The connection broke before the answer was complete.
    Broken(String),
    /// The store answered that it cannot serve now.
    Unavailable {
        /// HTTP status.
        status: u16,
        /// Message of the store.
        message: String,
    },
    /// The store refused the call, which had no effect.
    Refused {
        /// HTTP status.
        status: u16,
        /// Message of the store.
        message: String,
    },
    /// The answer does not have the published form.
    Malformed(String),
    /// The instance's share of the store's rates is used up; nothing was sent.
    OverBudget {
        /// Time after which a call has a place, in milliseconds.
        retry_after_ms: u64,
    },
    /// The store has not been answering; nothing was sent.
    BackingOff {
        /// Time after which the next attempt is due, in milliseconds.
        retry_after_ms: u64,
    },
}

impl StoreError {
    /// The call surely had no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            Self::Setup(_)
                | Self::Connect(_)
                | Self::Refused { .. }
                | Self::OverBudget { .. }
                | Self::BackingOff { .. }
        )
    }

    /// Another attempt may have another result.
    pub(super) fn is_worth_another_attempt(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::Timeout(_) | Self::Broken(_) | Self::Unavailable { .. }
        )
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setup(cause) => write!(f, "HTTP client cannot be set up: {cause}"),
            Self::Connect(cause) => write!(f, "no connection to the store: {cause}"),
            Self::Timeout(ms) => write!(f, "no answer from the store for {ms} ms"),
            Self::Broken(cause) => write!(f, "connection to the store broke: {cause}"),
            Self::Unavailable { status, message } => {
                write!(f, "store unavailable ({status}): {message}")
            }
            Self::Refused { status, message } => {
                write!(f, "store refused the call ({status}): {message}")
            }
            Self::Malformed(cause) => write!(f, "unexpected answer from the store: {cause}"),
            Self::OverBudget { retry_after_ms } => {
                write!(f, "store budget used up for {retry_after_ms} ms")
            }
            Self::BackingOff { retry_after_ms } => {
                write!(
                    f,
                    "store not answering, next attempt in {retry_after_ms} ms"
                )
            }
        }
    }
}

impl std::error::Error for StoreError {}
