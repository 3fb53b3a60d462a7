//! The store: news from it, the instance's own entry in it, and verdicts written to it.
//!
//! The five operations come as closures from the adapter that speaks the store's protocol.
//! Pauses after failures, following a prefix and settling lost writes stand here once.

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
