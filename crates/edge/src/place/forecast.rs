//! Latency forecast of a region, which instances report to other regions.

use super::{
    choose::{has_prefill_capacity, limit_outlook, unlimited, usable, wait_ms, LimitOutlook},
    engines_for_other_kind,
    pace::time_per_token_ms,
    InferenceJob, JobKind, PlacementRules,
};
use crate::upstream::Upstreams;
use carobwheel_core::time::Millis;

/// Wait that is reported while all engines are saturated, in milliseconds.
const SATURATED_WAIT_MS: f64 = 3_000.0;
/// Divisor for the number of best engines that are averaged: many instances may send requests to
/// the region before they receive its next forecast.
const BEST_ENGINES_DIVISOR: usize = 3;
/// Milliseconds of waiting that are worth one millisecond of time per token.
const TIME_PER_TOKEN_WEIGHT: f64 = 20.0;

/// Predicted latency for jobs of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyForecast {
    /// Wait for the first token of a job without a prompt, in milliseconds.
    pub wait_ms: f64,
    /// Time per output token, in milliseconds.
    pub time_per_token_ms: f64,
}

/// Mean forecast of the best engines of the region; `None` without upstreams.
pub fn forecast_region(
    upstreams: &Upstreams,
    kind: JobKind,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Option<LatencyForecast> {
    let usable = usable(upstreams, rules, false, now);
    let unlimited = unlimited(&usable, now);
    if unlimited.is_empty() {
        return limit_outlook(upstreams, rules, now).map(limited_forecast);
    }
    // A request that a limited engine takes now says little about the next one.
    let usable = unlimited;
    let reserved_engines = engines_for_other_kind(&usable, kind, rules.decode_share);
    let job = InferenceJob {
        is_yielding: true,
        ..InferenceJob::default()
    };
    let own = usable
        .iter()
        .filter(|up| !reserved_engines.contains(&up.entry.id))
        .collect::<Vec<_>>();
    let with_capacity = own
        .iter()
        .filter(|up| has_prefill_capacity(up, &job, false, rules, now));
    let is_engine = rules.kv_cache_tokens > 0;
    let mut forecasts: Vec<LatencyForecast> = with_capacity
        .map(|up| LatencyForecast {
            wait_ms: wait_ms(up, &InferenceJob::default(), 0.0, rules, now),
            time_per_token_ms: if is_engine {
                time_per_token_ms(up, now)
            } else {
                0.0
            },
        })
        .collect();
    if forecasts.is_empty() {
        return (!own.is_empty()).then_some(LatencyForecast {
            wait_ms: SATURATED_WAIT_MS,
            time_per_token_ms: 0.0,
        });
    }
    let weight = |forecast: &LatencyForecast| {
        forecast.wait_ms + TIME_PER_TOKEN_WEIGHT * forecast.time_per_token_ms
    };
    forecasts.sort_by(|a, b| weight(a).total_cmp(&weight(b)));
    forecasts.truncate(forecasts.len().div_ceil(BEST_ENGINES_DIVISOR));
    Some(mean(&forecasts))
}

/// Forecast of a region in which all upstreams are limited.
fn limited_forecast(outlook: LimitOutlook) -> LatencyForecast {
    #[allow(clippy::cast_precision_loss)]
    let wait_ms = (outlook.wait_ms as f64).max(outlook.interval_ms);
    LatencyForecast {
        wait_ms: wait_ms.min(SATURATED_WAIT_MS),
        time_per_token_ms: 0.0,
    }
}

fn mean(forecasts: &[LatencyForecast]) -> LatencyForecast {
    #[allow(clippy::cast_precision_loss)]
    let count = forecasts.len() as f64;
    let sum = |field: fn(&LatencyForecast) -> f64| forecasts.iter().map(field).sum::<f64>() / count;
    LatencyForecast {
        wait_ms: sum(|forecast| forecast.wait_ms),
        time_per_token_ms: sum(|forecast| forecast.time_per_token_ms),
    }
}
