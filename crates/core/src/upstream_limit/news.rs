//! What an upstream states about its limit.

use std::fmt;

/// Highest rate that counts as a limit, in requests a second.
const MAX_RATE_PER_S: f64 = 1_000_000.0;

/// Statement about the limit by one response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// The upstream takes this many requests a second.
    Limited(f64),
    /// The upstream states no limit.
    Unlimited,
}

/// Text that states no usable rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRate;

impl fmt::Display for InvalidRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the limit is not a positive number of requests a second")
    }
}

impl std::error::Error for InvalidRate {}

/// Parses a rate in requests a second.
///
/// # Errors
///
/// Fails for text that is no decimal number, and for rates that are not positive or too large.
pub fn parse_rate(text: &str) -> Result<f64, InvalidRate> {
    let is_decimal = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate: f64 = text.parse().map_err(|_| InvalidRate)?;
    if is_decimal && rate > 0.0 && rate <= MAX_RATE_PER_S {
        Ok(rate)
    } else {
        Err(InvalidRate)
    }
}
