//! `GET /v1/entry`: which instances callers should use, in order.

use carobwheel_core::id::{InstanceId, RegionId};
use serde::{Deserialize, Serialize};

/// Time for which callers may use an answer, in seconds.
pub const LIFETIME_S: u64 = 10;

/// One instance that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Base URL for callers.
    pub url: String,
}

/// Instances that callers may use, best first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// The instances.
    pub entries: Vec<Entry>,
    /// Time for which the list may be used, in seconds.
    pub lifetime_s: u64,
}
