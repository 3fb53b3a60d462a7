//! What an upstream states about the rejections that it endures.

use std::fmt;

/// Highest number that counts as a statement, in rejections a second.
const MAX_REJECTIONS_PER_S: u32 = 1_000_000;

/// Statement of an upstream in one of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Brittleness {
    /// It fails if it rejects more requests than this for want of room.
    Brittle {
        /// Rejections that it endures, per second.
        max_rejections_per_s: u32,
    },
    /// It states nothing, and endures any number.
    Robust,
}

/// Text that states no usable number of rejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidMaxRejections;

impl fmt::Display for InvalidMaxRejections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the statement is not a positive whole number of rejections a second")
    }
}

impl std::error::Error for InvalidMaxRejections {}

/// Parses a number of rejections a second.
///
/// # Errors
///
/// Fails for text that is not a whole number, for 0 and for numbers that are too large.
pub fn parse_max_rejections(text: &str) -> Result<u32, InvalidMaxRejections> {
    let is_whole = text.bytes().all(|byte| byte.is_ascii_digit());
    let max: u32 = text.parse().map_err(|_| InvalidMaxRejections)?;
    if is_whole && (1..=MAX_REJECTIONS_PER_S).contains(&max) {
        Ok(max)
    } else {
        Err(InvalidMaxRejections)
    }
}
