//! Small opaque values of other modules, distributed by membership gossip.

use crate::id::InstanceId;
use std::fmt;

/// Maximum number of entries per member.
pub const MAX_ENTRIES: usize = 16;
/// Maximum content of one entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 512;
/// Highest topic that is gossiped to the whole fleet. Higher topics stay inside the region, are not
/// repaired by digests and are meant for values that change every second.
pub const MAX_FLEET_TOPIC: u8 = 127;

/// Error of [`Members::set_entry`](super::Members::set_entry).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryError {
    /// The content has this many bytes, more than [`MAX_ENTRY_BYTES`].
    TooLarge(usize),
    /// The member has [`MAX_ENTRIES`] entries already.
    TooMany,
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(bytes) => {
                write!(
                    f,
                    "entry of {bytes} bytes, at most {MAX_ENTRY_BYTES} are allowed"
                )
            }
            Self::TooMany => write!(f, "more than {MAX_ENTRIES} entries"),
        }
    }
}

impl std::error::Error for EntryError {}

/// Stored entry of one member and topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) version: u64,
    pub(super) bytes: Vec<u8>,
}

/// Read-only view of an entry for other modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryView<'a> {
    /// Member that published the entry.
    pub origin: &'a InstanceId,
    /// Version assigned by the origin; increases with each change within an incarnation.
    pub version: u64,
    /// Content.
    pub bytes: &'a [u8],
}

/// Returns whether entries of `topic` are gossiped to the whole fleet.
pub(super) const fn is_fleet_topic(topic: u8) -> bool {
    topic <= MAX_FLEET_TOPIC
}
