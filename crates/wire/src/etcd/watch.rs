//! Watches.

use super::{is_false, is_zero, Header, KeyValue};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as, DisplayFromStr, PickFirst};

/// Body of a watch request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreateRequest,
}

/// Watches a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreateRequest {
    /// The key, or the first key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// First key after the range; empty for a single key.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
    /// First revision to report; 0 for changes from now on.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub start_revision: i64,
    /// The store sends a message without events now and then while nothing changes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub progress_notify: bool,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted, or its lease has expired.
    Delete,
}

impl EventKind {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// One change of a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Kind of the change.
    #[serde(rename = "type", default, skip_serializing_if = "EventKind::is_put")]
    pub kind: EventKind,
    /// The key after the change; after a deletion only the key and the revision of the deletion.
    pub kv: KeyValue,
}

/// One message of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Head of the message.
    #[serde(default)]
    pub header: Header,
    /// The watch has been created.
    #[serde(default, skip_serializing_if = "is_false")]
    pub created: bool,
    /// The store has ended the watch.
    #[serde(default, skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest revision that the store still has, when the watch asked for an older one.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    /// Changes in the order of their revisions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}
