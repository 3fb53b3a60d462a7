//! What the store tells, in the project's words.

use super::{Changes, Listing, StoreError};
use crate::{
    member::MemberEntry,
    model::ConfigParts,
    rollout::{RolloutOrder, Verdict},
    upstream::UpstreamEntry,
};
use std::sync::Arc;

/// A change of the members' entries.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// An entry was written.
    Written(MemberEntry),
    /// The entry of this name is gone.
    Removed(Arc<str>),
}

/// One piece of news.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// A version of the configuration.
    Config(Box<ConfigParts>),
    /// The configuration's entry cannot be used.
    ConfigInvalid(String),
    /// A data centre is evacuated, or no longer.
    Evacuated(Arc<str>, bool),
    /// A move to a new version was ordered.
    Ordered(RolloutOrder),
    /// The order for this service was taken back.
    OrderRemoved(Arc<str>),
    /// A verdict on a move: service, target, verdict.
    Verdict(Arc<str>, Arc<str>, Verdict),
    /// An entry of an upstream.
    Upstream(UpstreamEntry),
    /// The entry of this upstream is gone.
    UpstreamRemoved(Arc<str>),
    /// A change of the members.
    Member(MemberChange),
    /// An entry that names nothing to use: key and reason.
    Ignored(String, String),
}

/// What the thread of the store tells.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// All items below a prefix were read.
    Listed(String, Listing),
    /// Changes below a prefix, perhaps none.
    Changed(String, Changes),
    /// The store does not answer any more.
    Lost(String),
    /// The store answers again.
    Recovered,
    /// This instance's lease has lapsed.
    LeaseLost(String),
    /// A verdict on a move stands.
    Recorded(StoreUpdate),
    /// A verdict could not be recorded: service and reason.
    NotRecorded(Arc<str>, StoreError),
}

/// How the adapter turns items into news.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    /// News of a written item.
    pub written: fn(&str, &[u8]) -> StoreUpdate,
    /// News of a removed key.
    pub removed: fn(&str) -> Option<StoreUpdate>,
    /// The stored form of a verdict on a target.
    pub encode_verdict: fn(&str, Verdict) -> Vec<u8>,
}
