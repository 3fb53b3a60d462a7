//! How fast an engine makes the tokens of answers.

use super::InferenceJob;
use crate::upstream::Upstream;
use carobwheel_core::time::Millis;

/// Time of a step with one request, in milliseconds.
const STEP_MS: f64 = 3.5;
/// Time that each further request adds to a step, in milliseconds.
const STEP_REQUEST_MS: f64 = 0.2;
/// Largest part of an engine's time that counts as spent on reading prompts.
const MOST_READING_PART: f64 = 0.85;
/// Part of the time for an answer that counts as much as waiting for its first token.
const ANSWER_PART: f64 = 0.02;

/// Time of a step that makes one token of each of `running` answers, in milliseconds.
pub(super) fn step_ms(running: f64) -> f64 {
    STEP_MS + STEP_REQUEST_MS * running
}

/// Time for one token of each running answer, in milliseconds.
pub(super) fn time_per_token_ms(up: &Upstream, now: Millis) -> f64 {
    let running = f64::from(up.load(now).requests);
    let reading = up.prefill_share(now).min(MOST_READING_PART);
    step_ms(running) / (1.0 - reading)
}

/// What a job costs its caller where it waits `wait_ms` and a token takes `pace_ms`, in
/// milliseconds.
pub fn cost_ms(job: &InferenceJob, wait_ms: f64, time_per_token_ms: f64) -> f64 {
    wait_ms + ANSWER_PART * f64::from(job.max_output_tokens) * time_per_token_ms
}
