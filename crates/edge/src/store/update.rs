//! Updates from the store as typed values.

use super::{Changes, Listing, StoreError};
use crate::{
    member::MemberEntry,
    model::ConfigParts,
    rollout::{RolloutOrder, Verdict},
    upstream::UpstreamEntry,
};
use std::sync::Arc;

/// A change of an instance's entry.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// An entry was written.
    Written(MemberEntry),
    /// The entry of the instance with this name was removed.
    Removed(Arc<str>),
}

/// One decoded update from the store.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// A new version of the configuration.
    Config(Box<ConfigParts>),
    /// The configuration's entry is invalid, for this reason.
    ConfigInvalid(String),
    /// A data centre is evacuated (true) or in use again (false).
    Evacuated(Arc<str>, bool),
    /// A rollout was ordered.
    Ordered(RolloutOrder),
    /// The rollout order for this service was removed.
    OrderRemoved(Arc<str>),
    /// The verdict on a rollout: service, target version, verdict.
    Verdict(Arc<str>, Arc<str>, Verdict),
    /// The entry of an upstream was written.
    Upstream(UpstreamEntry),
    /// The entry of this upstream was removed.
    UpstreamRemoved(Arc<str>),
    /// The entry of an instance was written or removed.
    Member(MemberChange),
    /// An entry that is ignored: key and reason.
    Ignored(String, String),
}

/// Event from the store thread.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// Listing of all items below a prefix.
    Listed(String, Listing),
    /// Changes below a prefix, possibly none.
    Changed(String, Changes),
    /// The items below a prefix could not be read.
    PrefixLost(String),
    /// The store has become unreachable, for this reason.
    Lost(String),
    /// The store is reachable again.
    Recovered,
    /// This instance's lease has expired or could not be ended.
    LeaseLost(String),
    /// The verdict on a rollout is recorded.
    Recorded(StoreUpdate),
    /// A verdict could not be recorded: service and reason.
    NotRecorded(Arc<str>, StoreError),
}

/// Functions of the adapter that convert between items and updates.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    /// Decodes a written item.
    pub written: fn(&str, &[u8]) -> StoreUpdate,
    /// Decodes the removal of a key.
    pub removed: fn(&str) -> Option<StoreUpdate>,
    /// Encodes the verdict on a target version for storage.
    pub encode_verdict: fn(&str, Verdict) -> Vec<u8>,
}
