//! Client of the store: updates from it, this instance's entry, and verdicts written to it.
//!
//! The five operations are closures from the adapter that implements the store's protocol.
//! Backoff, watching of prefixes and the handling of writes without a response are implemented
//! here for all adapters.

mod backoff;
mod coverage;
mod follow;
mod ops;
mod own_entry;
mod prefix_replica;
mod reach;
mod replica;
mod task;
mod update;
mod verdict;

pub(crate) use backoff::Backoff;
pub use coverage::Coverage;

/// Time after a restore of the store in which operators and upstreams write again what it has lost,
/// in milliseconds. Entries of upstreams that are gone lapse in it.
pub const RESTORE_SETTLE_MS: u64 = 5_000;

pub use ops::{
    Change, Changes, Commit, Expected, Freshness, Item, KeyCall, List, Listing, NumberCall,
    Position, StoreCall, StoreError, StoreOps, StoreResult, Watch, Write,
};
pub use prefix_replica::{Fact, Facts};
pub use replica::{Replica, RestoreRules};
pub use task::{
    client, start, StoreAccess, StoreHandle, StoreKeys, StoreSettings, StoreTask, WatchedPrefix,
};
pub use update::{Decoder, MemberChange, StoreEvent, StoreUpdate};
pub use verdict::VerdictRecord;
