//! The difference between two versions of a document, for peers that have the older one.
//!
//! Operators change a few lines of a large document at a time. Leaving out what both versions have
//! in common at the beginning and at the end is enough to send a small part of it.

use serde::{Deserialize, Serialize};

/// How much of the older version stands at both ends of the newer one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommonEnds {
    /// Bytes in common at the beginning.
    pub prefix_bytes: u32,
    /// Bytes in common at the end.
    pub suffix_bytes: u32,
}

/// What `newer` has in common with `older` at both ends, without overlap.
pub fn common_ends(older: &[u8], newer: &[u8]) -> CommonEnds {
    let same = |(a, b): &(&u8, &u8)| a == b;
    let prefix = older.iter().zip(newer).take_while(same).count();
    let (rest_of_older, rest_of_newer) = (&older[prefix..], &newer[prefix..]);
    let suffix = rest_of_older
        .iter()
        .rev()
        .zip(rest_of_newer.iter().rev())
        .take_while(same)
        .count();
    let bound = |bytes: usize| u32::try_from(bytes).unwrap_or(0);
    CommonEnds {
        prefix_bytes: bound(prefix),
        suffix_bytes: bound(suffix),
    }
}

/// The part of `newer` between what is in common.
pub fn changed_middle(newer: &[u8], common: CommonEnds) -> Option<&[u8]> {
    let end = newer.len().checked_sub(common.suffix_bytes as usize)?;
    newer.get(common.prefix_bytes as usize..end)
}

/// The newer version, put together from the older one; none if the older one is too short.
pub fn apply_delta(older: &[u8], common: CommonEnds, middle: &[u8]) -> Option<Vec<u8>> {
    let prefix = older.get(..common.prefix_bytes as usize)?;
    let start = older.len().checked_sub(common.suffix_bytes as usize)?;
    Some([prefix, middle, &older[start..]].concat())
}
