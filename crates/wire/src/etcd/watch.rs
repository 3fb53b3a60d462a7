//! Watch requests and responses.

use super::{is_false, is_zero, Header, KeyValue};
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as, DisplayFromStr, PickFirst};

/// Body of a watch request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Parameters of the watch to create.
    pub create_request: WatchCreateRequest,
}

/// Parameters of a watch on a key or a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCreateRequest {
    /// The key, or the first key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; empty for a single key.
    #[serde_as(as = "Base64")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub range_end: Vec<u8>,
    /// Revision to start from, inclusive; 0 for future changes only.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub start_revision: i64,
    /// Whether the store periodically sends a response without events while nothing changes.
    #[serde(default, skip_serializing_if = "is_false")]
    pub progress_notify: bool,
}

/// Type of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventKind {
    /// The key was written.
    #[default]
    Put,
    /// The key was deleted, or its lease expired.
    Delete,
}

impl EventKind {
    fn is_put(&self) -> bool {
        *self == Self::Put
    }
}

/// One change to a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Type of the change.
    #[serde(rename = "type", default, skip_serializing_if = "EventKind::is_put")]
    pub kind: EventKind,
    /// The key after the change; for a deletion, only the key and the deletion's revision are set.
    pub kv: KeyValue,
}

/// One response on a watch stream.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Response header.
    #[serde(default)]
    pub header: Header,
    /// Whether this response confirms the creation of the watch.
    #[serde(default, skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether the store has cancelled the watch.
    #[serde(default, skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest revision still available, if the watch asked for one that was compacted.
    #[serde_as(as = "PickFirst<(DisplayFromStr, _)>")]
    #[serde(default, skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    /// Changes, in order of revision.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}
