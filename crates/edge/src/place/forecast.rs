//! What a region tells others of its engines.

use super::{
    choose::{has_room, usable, wait_ms},
    engines_for_other_kind,
    pace::time_per_token_ms,
    InferenceJob, JobKind, PlacementRules,
};
use crate::upstream::Upstreams;
use carobwheel_core::time::Millis;

/// Wait that a region reports while all of its engines are crowded, in milliseconds.
const CROWDED_MS: f64 = 3_000.0;
/// Part of the engines, as a divisor, over which the outlook is averaged: many instances may send
/// there before they hear of the next outlook.
const BEST_PARTS: usize = 3;
/// Milliseconds of waiting that outweigh a millisecond more for each token.
const PACE_WEIGHT: f64 = 20.0;

/// What a job of one kind has to expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyForecast {
    /// Wait for the first token of a job without a prompt, in milliseconds.
    pub wait_ms: f64,
    /// Time for each token, in milliseconds.
    pub time_per_token_ms: f64,
}

/// The outlook of the region at its better engines; `None` without upstreams.
pub fn forecast_region(
    upstreams: &Upstreams,
    kind: JobKind,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Option<LatencyForecast> {
    let usable = usable(upstreams, rules, false, now);
    let apart = engines_for_other_kind(&usable, kind, rules.decode_share);
    let job = InferenceJob {
        is_yielding: true,
        ..InferenceJob::default()
    };
    let own = usable
        .iter()
        .filter(|up| !apart.contains(&up.entry.id))
        .collect::<Vec<_>>();
    let roomy = own
        .iter()
        .filter(|up| has_room(up, &job, false, rules, now));
    let is_engine = rules.kv_cache_tokens > 0;
    let mut outlooks: Vec<LatencyForecast> = roomy
        .map(|up| LatencyForecast {
            wait_ms: wait_ms(up, &InferenceJob::default(), 0.0, rules, now),
            time_per_token_ms: if is_engine {
                time_per_token_ms(up, now)
            } else {
                0.0
            },
        })
        .collect();
    if outlooks.is_empty() {
        return (!own.is_empty()).then_some(LatencyForecast {
            wait_ms: CROWDED_MS,
            time_per_token_ms: 0.0,
        });
    }
    let weight =
        |outlook: &LatencyForecast| outlook.wait_ms + PACE_WEIGHT * outlook.time_per_token_ms;
    outlooks.sort_by(|a, b| weight(a).total_cmp(&weight(b)));
    outlooks.truncate(outlooks.len().div_ceil(BEST_PARTS));
    Some(mean(&outlooks))
}

fn mean(outlooks: &[LatencyForecast]) -> LatencyForecast {
    #[allow(clippy::cast_precision_loss)]
    let count = outlooks.len() as f64;
    let sum = |field: fn(&LatencyForecast) -> f64| outlooks.iter().map(field).sum::<f64>() / count;
    LatencyForecast {
        wait_ms: sum(|outlook| outlook.wait_ms),
        time_per_token_ms: sum(|outlook| outlook.time_per_token_ms),
    }
}
