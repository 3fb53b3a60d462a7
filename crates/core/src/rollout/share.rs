//! Shares of traffic by the clock.

use crate::document::{Rollout, WHOLE_PPM};
use crate::evidence::{fnv1a, Side};
use crate::time::UnixMillis;

/// Share of requests that the steps of `rollout` give to the new version, out of 1,000,000.
///
/// It is 0 before the first step. After the last step it stays, past the deadline too.
pub fn scheduled_share_ppm(rollout: &Rollout, unix_now: UnixMillis) -> u32 {
    let begun = rollout
        .steps
        .iter()
        .filter(|step| step.at_unix_ms <= unix_now);
    begun.map(|step| step.share_ppm).max().unwrap_or(0)
}

/// The version that a request goes to when the new version gets `share_ppm`.
///
/// The choice depends on the ids alone: every instance chooses alike, and a request that went to
/// the new version at some share still goes there at a higher one.
pub fn side_of_request(rollout: &Rollout, request_id: &str, share_ppm: u32) -> Side {
    let rollout_id = rollout.id.as_str().bytes();
    let hash = spread(fnv1a(rollout_id.chain([0]).chain(request_id.bytes())));
    if hash % u64::from(WHOLE_PPM) < u64::from(share_ppm) {
        Side::New
    } else {
        Side::Old
    }
}

// Spreads the entropy of a hash over all its bits.
fn spread(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
