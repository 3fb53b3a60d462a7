//! Traffic shares by the schedule of a rollout, and the choice of a version for each request.

use crate::document::{Rollout, WHOLE_PPM};
use crate::evidence::{fnv1a, Side};
use crate::time::UnixMillis;

/// Returns the share of requests that the steps of `rollout` assign to the new version, in parts
/// per million.
///
/// The share is 0 before the first step. The share of the last step applies without end, including
/// after the deadline.
pub fn scheduled_share_ppm(rollout: &Rollout, unix_now: UnixMillis) -> u32 {
    let begun = rollout
        .steps
        .iter()
        .filter(|step| step.at_unix_ms <= unix_now);
    begun.map(|step| step.share_ppm).max().unwrap_or(0)
}

/// Chooses the version for a request when the new version gets `share_ppm`.
///
/// The choice depends only on the identifiers and the share: all instances make the same choice,
/// and a request that goes to the new version at some share also does at any higher share.
pub fn side_of_request(rollout: &Rollout, request_id: &str, share_ppm: u32) -> Side {
    let rollout_id = rollout.id.as_str().bytes();
    let hash = mix(fnv1a(rollout_id.chain([0]).chain(request_id.bytes())));
    if hash % u64::from(WHOLE_PPM) < u64::from(share_ppm) {
        Side::New
    } else {
        Side::Old
    }
}

// Mixes the bits of a hash so that each input bit affects the whole word.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
