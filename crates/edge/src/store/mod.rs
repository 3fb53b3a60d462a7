//! Client of the store: updates from it, this instance's entry, and verdicts written to it.
//!
//! The five operations are closures from the adapter that implements the store's protocol.
//! Backoff, watching of prefixes and the handling of writes without a response are implemented
//! here for all adapters.

mod backoff;
mod follow;
mod ops;
mod own_entry;
mod replica;
mod task;
mod update;
mod verdict;

pub use ops::{
    Change, Changes, Commit, Expected, Freshness, Item, KeyCall, List, Listing, NumberCall,
    StoreCall, StoreError, StoreOps, StoreResult, Watch, Write,
};
pub use replica::{Fact, Facts, Replica};
pub use task::{start, StoreHandle, StoreKeys, StoreSettings, WatchedPrefix};
pub use update::{Decoder, MemberChange, StoreEvent, StoreUpdate};
pub use verdict::VerdictRecord;
