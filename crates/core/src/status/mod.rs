//! Status codes of upstreams' responses.

use std::ops::RangeInclusive;

/// Codes of final responses.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Whether a response with this status is an answer to its request. Interim responses, one that switches
/// protocols unasked, and codes that the protocol does not define are none.
pub fn is_final(status: u16) -> bool {
    FINAL.contains(&status)
}
