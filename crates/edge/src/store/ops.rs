//! Operations of the store, as an adapter provides them.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Position in the history of the store. A restored store begins a new era, in which revisions may
/// be given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Number of restores, as far as the store counts them.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

/// One key-value pair of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
}

/// All items below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Items in order of their keys.
    pub items: Vec<Item>,
    /// Position that no page is older than: all changes up to it are included.
    pub at: Position,
}

/// Change of one item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Written(Item),
    /// An item was removed.
    Removed {
        /// Its key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Changes below a prefix, in order of their revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes.
    pub changes: Vec<Change>,
    /// Position to continue the watch from.
    pub at: Position,
}

/// Condition of a commit on the revision of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Key.
    pub key: String,
    /// Expected revision of its last change; 0 if the key must not exist.
    pub revision: u64,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease that the key is attached to; 0 for none.
    pub lease: u64,
}

/// Atomic change of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions.
    pub expected: Vec<Expected>,
    /// Writes.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not respond; a write may have been applied, or may still be applied.
    NoAnswer(String),
    /// The store refused the call, which had no effect.
    Refused(String),
    /// The requested history is no longer available.
    HistoryGone,
    /// A condition of a commit was not met.
    Conflict,
    /// The lease or the key does not exist.
    NotFound,
    /// The response could not be decoded.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::HistoryGone => f.write_str("the requested history is no longer available"),
            Self::Conflict => f.write_str("a condition of the commit was not met"),
            Self::NotFound => f.write_str("not found"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Result of a call.
pub type StoreResult<T> = Result<T, StoreError>;
/// Future of a call.
pub type StoreCall<T> = BoxFuture<'static, StoreResult<T>>;

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Reflects all writes confirmed before the call.
    Latest,
    /// May be seconds old, at a lower cost for the store.
    Stale,
}

/// Call that reads all items below a prefix.
pub type List = Box<dyn Fn(&str, Freshness) -> StoreCall<Listing> + Send + Sync>;
/// Call whose argument is a key.
pub type KeyCall<T> = Box<dyn Fn(&str) -> StoreCall<T> + Send + Sync>;
/// Call whose argument is a lease, or a time in milliseconds.
pub type NumberCall<T> = Box<dyn Fn(u64) -> StoreCall<T> + Send + Sync>;
/// Call that waits for changes; its arguments are prefix, revision and timeout in milliseconds.
pub type Watch = Box<dyn Fn(&str, u64, u64) -> StoreCall<Changes> + Send + Sync>;

/// The operations of the store, each of which has its own deadline.
pub struct StoreOps {
    /// Reads all items below a prefix.
    pub list: List,
    /// Waits for changes below a prefix after a revision, up to a timeout.
    pub watch: Watch,
    /// Reads one item.
    pub get: KeyCall<Item>,
    /// Applies a commit atomically; returns its revision.
    pub commit: Box<dyn Fn(Commit) -> StoreCall<u64> + Send + Sync>,
    /// Grants a lease with a time to live in milliseconds.
    pub grant: NumberCall<u64>,
    /// Latest era that any response has named.
    pub era: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Renews a lease.
    pub renew: NumberCall<()>,
    /// Revokes a lease.
    pub revoke: NumberCall<()>,
}

impl fmt::Debug for StoreOps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreOps")
    }
}
