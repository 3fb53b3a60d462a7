//! What the store tells, in the project's words.

use super::{Item, StoreError};
use crate::{
    member::MemberEntry,
    model::ConfigParts,
    rollout::{Order, Verdict},
    upstream::Sighting,
};
use std::{collections::HashSet, sync::Arc};

/// A change of the members' entries.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberChange {
    /// An entry was written.
    Seen(MemberEntry),
    /// The entry of this name is gone.
    Gone(Arc<str>),
}

/// One piece of news.
#[derive(Clone, Debug)]
pub enum News {
    /// A version of the configuration.
    Config(Box<ConfigParts>),
    /// The configuration's entry cannot be used.
    ConfigUnusable(String),
    /// A data centre is evacuated, or no longer.
    Evacuated(Arc<str>, bool),
    /// A move to a new version was ordered.
    Ordered(Order),
    /// The order for this service was taken back.
    OrderGone(Arc<str>),
    /// A verdict on a move: service, target, verdict.
    Verdict(Arc<str>, Arc<str>, Verdict),
    /// An entry of an upstream.
    Upstream(Sighting),
    /// The entry of this upstream is gone.
    UpstreamGone(Arc<str>),
    /// A whole listing of upstreams was read: all others are gone.
    UpstreamsAre(HashSet<Arc<str>>),
    /// A whole listing of the operators' orders was read: services with an order, evacuated data
    /// centres.
    OrdersAre(HashSet<Arc<str>>, HashSet<Arc<str>>),
    /// A change of the members.
    Member(MemberChange),
    /// A whole listing of members was read: all others are gone.
    MembersAre(HashSet<Arc<str>>),
    /// An entry that names nothing to use: key and reason.
    Ignored(String, String),
    /// The store does not answer any more.
    StoreLost(String),
    /// The store answers again.
    StoreBack,
    /// This instance's lease has lapsed.
    LeaseLost(String),
    /// A verdict could not be recorded: service and reason.
    VerdictFailed(Arc<str>, StoreError),
}

/// How the adapter turns items into news.
#[derive(Clone, Copy, Debug)]
pub struct Decoder {
    /// News of a written item.
    pub written: fn(&Item) -> News,
    /// News of a removed key.
    pub removed: fn(&str) -> Option<News>,
    /// Names of a whole listing of a prefix.
    pub listed: fn(&str, &[Item]) -> Option<News>,
    /// The stored form of a verdict on a target.
    pub encode_verdict: fn(&str, Verdict) -> Vec<u8>,
}
