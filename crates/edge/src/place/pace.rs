//! Decode speed of an engine.

use super::InferenceJob;
use crate::upstream::Upstream;
use carobwheel_core::time::Millis;

/// Base time of a decode step, in milliseconds.
const DECODE_STEP_MS: f64 = 3.5;
/// Time that each running request adds to a decode step, in milliseconds.
const DECODE_STEP_REQUEST_MS: f64 = 0.2;
/// Upper bound on the share of an engine's time that counts as spent on prefill.
const MAX_COUNTED_PREFILL_SHARE: f64 = 0.85;
/// Weight of decode time against the wait for the first token.
const DECODE_TIME_WEIGHT: f64 = 0.02;

/// Time of a decode step with `running` requests in the batch, in milliseconds.
pub(super) fn decode_step_ms(running: f64) -> f64 {
    DECODE_STEP_MS + DECODE_STEP_REQUEST_MS * running
}

/// Time per output token of the running requests, in milliseconds.
pub(super) fn time_per_token_ms(up: &Upstream, now: Millis) -> f64 {
    let running = f64::from(up.load(now).requests);
    let prefill_share = up.prefill_share(now).min(MAX_COUNTED_PREFILL_SHARE);
    decode_step_ms(running) / (1.0 - prefill_share)
}

/// Cost of a job with this wait for the first token and this time per output token, in
/// milliseconds.
pub fn cost_ms(job: &InferenceJob, wait_ms: f64, time_per_token_ms: f64) -> f64 {
    wait_ms + DECODE_TIME_WEIGHT * f64::from(job.max_output_tokens) * time_per_token_ms
}
