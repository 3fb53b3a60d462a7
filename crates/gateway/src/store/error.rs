//! Errors of calls to the store.

use std::fmt;

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The HTTP client cannot be set up.
    Setup(String),
    /// No connection could be established, so nothing was sent.
    Connect(String),
    /// No complete answer arrived within this timeout, in milliseconds.
    Timeout(u64),
    /// The connection failed before the answer was complete.
    Broken(String),
    /// The store answered that it cannot serve the call at present.
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
    /// The answer does not follow the store's published format.
    Malformed(String),
    /// The call budget of this instance is exhausted; nothing was sent.
    OverBudget {
        /// Time until the budget admits a call, in milliseconds.
        retry_after_ms: u64,
    },
    /// Calls back off because the store has not been answering; nothing was sent.
    BackingOff {
        /// Time until the next attempt is admitted, in milliseconds.
        retry_after_ms: u64,
    },
}

impl StoreError {
    /// Whether the call certainly had no effect.
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

    /// Whether a retry may succeed.
    pub(super) fn is_retryable(&self) -> bool {
        matches!(
            self,
            Self::Connect(_) | Self::Timeout(_) | Self::Broken(_) | Self::Unavailable { .. }
        )
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Setup(cause) => write!(f, "cannot set up the HTTP client of the store: {cause}"),
            Self::Connect(cause) => write!(f, "cannot connect to the store: {cause}"),
            Self::Timeout(ms) => write!(f, "no answer from the store within {ms} ms"),
            Self::Broken(cause) => write!(f, "connection to the store failed: {cause}"),
            Self::Unavailable { status, message } => {
                write!(f, "store unavailable ({status}): {message}")
            }
            Self::Refused { status, message } => {
                write!(f, "store refused the call ({status}): {message}")
            }
            Self::Malformed(cause) => write!(f, "unexpected answer from the store: {cause}"),
            Self::OverBudget { retry_after_ms } => {
                write!(
                    f,
                    "store call budget exhausted, next call in {retry_after_ms} ms"
                )
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
