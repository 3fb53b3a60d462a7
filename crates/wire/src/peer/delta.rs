//! Deltas between two versions of a document, for peers that have the older version.
//!
//! Operators usually change a few lines of a large document at a time. Omitting the common prefix
//! and suffix of the two versions is therefore enough to send only a small part of the document.

use serde::{Deserialize, Serialize};

/// Lengths of the common prefix and suffix of two versions of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommonEnds {
    /// Length of the common prefix, in bytes.
    pub prefix_bytes: u32,
    /// Length of the common suffix, in bytes.
    pub suffix_bytes: u32,
}

/// Returns the lengths of the common prefix and suffix of `older` and `newer`, without overlap.
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
    let to_u32 = |bytes: usize| u32::try_from(bytes).unwrap_or(0);
    CommonEnds {
        prefix_bytes: to_u32(prefix),
        suffix_bytes: to_u32(suffix),
    }
}

/// Returns the part of `newer` between the common prefix and suffix, or `None` if `newer` is too
/// short for them.
pub fn changed_middle(newer: &[u8], common: CommonEnds) -> Option<&[u8]> {
    let end = newer.len().checked_sub(common.suffix_bytes as usize)?;
    newer.get(common.prefix_bytes as usize..end)
}

/// Reconstructs the newer version from the older one and the changed middle.
///
/// Returns `None` if the older version is shorter than the common prefix or suffix.
pub fn apply_delta(older: &[u8], common: CommonEnds, middle: &[u8]) -> Option<Vec<u8>> {
    let prefix = older.get(..common.prefix_bytes as usize)?;
    let start = older.len().checked_sub(common.suffix_bytes as usize)?;
    Some([prefix, middle, &older[start..]].concat())
}
