//! Operations of the store.

use futures::future::BoxFuture;
use std::fmt;

/// One item.
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
    /// Revision of the store before the first page was read.
    pub revision: u64,
}

/// One change.
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

/// Changes below a prefix, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changes.
    pub changes: Vec<Change>,
    /// Revision to go on from.
    pub revision: u64,
}

/// What a key must hold for a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Key.
    pub key: String,
    /// Revision of its last change; 0: it does not exist.
    pub revision: u64,
}

/// One write of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease under which it stands; 0: none.
    pub lease: u64,
}

/// A change of several keys, done whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Conditions.
    pub expected: Vec<Expected>,
    /// Writes.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store did not answer; a write may have been done, or may still be done.
    NoAnswer(String),
    /// The store refused the call, which had no effect.
    Refused(String),
    /// The history that was asked for is no longer there.
    HistoryGone,
    /// A condition of a commit was not met.
    Conflict,
    /// The lease or the key does not exist.
    NotFound,
    /// The answer could not be understood.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::HistoryGone => f.write_str("the history is gone"),
            Self::Conflict => f.write_str("a condition was not met"),
            Self::NotFound => f.write_str("not found"),
            Self::Malformed(reason) => write!(f, "malformed answer: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Result of a call.
pub type StoreResult<T> = Result<T, StoreError>;
/// A call under way.
pub type StoreCall<T> = BoxFuture<'static, StoreResult<T>>;

/// How fresh an answer has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As of the call.
    Latest,
    /// It may be seconds old, and costs the store less.
    Stale,
}

/// A call that reads all items below a prefix.
pub type List = Box<dyn Fn(&str, Freshness) -> StoreCall<Listing> + Send + Sync>;
/// A call about a key or a prefix.
pub type KeyCall<T> = Box<dyn Fn(&str) -> StoreCall<T> + Send + Sync>;
/// A call about a lease, or with a time in milliseconds.
pub type NumberCall<T> = Box<dyn Fn(u64) -> StoreCall<T> + Send + Sync>;
/// A wait for changes: prefix, revision, time in milliseconds.
pub type Watch = Box<dyn Fn(&str, u64, u64) -> StoreCall<Changes> + Send + Sync>;

/// The operations of the store, each with a deadline of its own.
pub struct StoreOps {
    /// Reads all items below a prefix.
    pub list: List,
    /// Waits up to a time in milliseconds for changes below a prefix after a revision.
    pub watch: Watch,
    /// Reads one item.
    pub get: KeyCall<Item>,
    /// Commits a change; returns its revision.
    pub commit: Box<dyn Fn(Commit) -> StoreCall<u64> + Send + Sync>,
    /// Grants a lease for a time in milliseconds.
    pub grant: NumberCall<u64>,
    /// Renews a lease.
    pub renew: NumberCall<()>,
    /// Ends a lease.
    pub revoke: NumberCall<()>,
}

impl fmt::Debug for StoreOps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StoreOps")
    }
}
