//! Small opaque state of other modules that travels with the heartbeats.

use crate::id::InstanceId;
use std::fmt;

/// Entries that one member may have at a time.
pub const MAX_ENTRIES: usize = 16;
/// Largest content of one entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 512;
/// Highest topic that travels to the whole fleet. Higher topics stay inside the region, are not
/// repaired by digests and suit values that change every second.
pub const MAX_FLEET_TOPIC: u8 = 127;

/// Why an entry was refused.
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

/// An entry as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) version: u64,
    pub(super) bytes: Vec<u8>,
}

/// An entry as read by other modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryView<'a> {
    /// Member that the entry comes from.
    pub origin: &'a InstanceId,
    /// Version that the origin gave it; rises with each change inside an incarnation.
    pub version: u64,
    /// Content.
    pub bytes: &'a [u8],
}

/// Whether entries of `topic` travel to the whole fleet.
pub(super) const fn is_fleet_topic(topic: u8) -> bool {
    topic <= MAX_FLEET_TOPIC
}
