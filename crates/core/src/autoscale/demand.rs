//! Demand in engines, over the last seconds and as it is expected.

use crate::time::Millis;
use std::collections::VecDeque;

/// Share of their time that the engines should spend on prefill. Requests of low priority are held back from
/// 0.5 and all from 0.75; the rest is for decoding, and for uneven division over the engines.
pub const TARGET_PREFILL_SHARE: f64 = 0.4;
/// Share of their slots that should be occupied. Above 0.7 requests often find no free slot at the engine
/// that has their prompt's prefix.
pub const TARGET_SLOT_SHARE: f64 = 0.6;
/// Time in which queued prompt tokens should be processed, in milliseconds. About the time to the first
/// token that callers of long prompts accept.
const QUEUE_DRAIN_MS: f64 = 4_000.0;
/// Time over which the trend is fitted, in milliseconds. The offered load varies from second to second; over a
/// shorter time that noise would count as a trend.
const TREND_MS: u64 = 8_000;
/// Number of standard errors that are subtracted from the fitted slope, so that noise is no trend.
const SLOPE_ERRORS: f64 = 1.25;
/// Number of samples from which a trend is fitted.
const MIN_TREND_SAMPLES: usize = 4;
/// Time over which the present demand is averaged, in milliseconds.
const LEVEL_MS: u64 = 2_500;
/// Largest ratio of the expected demand to the present one, if that is well above the earlier peak. A
/// step is otherwise extrapolated as a ramp.
const MAX_GROWTH: f64 = 2.0;
/// Ratio of the present demand to the earlier peak above which [`MAX_GROWTH`] applies. Up to it, the expected
/// demand is at most that peak, or this multiple of the present demand if that is more: demand that varies as
/// a wave mostly returns to its earlier peak.
const MAX_KNOWN_GROWTH: f64 = 1.15;
/// Time for which the highest demand is remembered, in milliseconds.
const PEAK_MS: u64 = 150_000;
/// Age from which demand counts towards the earlier peak, in milliseconds. Above the time of the trend, so
/// that a rise is not compared with itself.
const EARLIER_AGE_MS: u64 = 12_000;
/// Share of the highest recent demand that is kept ready. Demand may come back faster than engines start.
const READY_SHARE: f64 = 0.5;
/// Time without a sample after which the earlier ones say nothing about the trend, in milliseconds.
pub(super) const MAX_AGE_MS: u64 = 3_000;

/// Load that callers offer in the region, whether or not it was served there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// Prompt tokens a second that need prefill.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens that wait for prefill.
    pub queued_tokens: f64,
    /// Requests in progress or waiting.
    pub requests: f64,
}

/// What one warm engine can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineRate {
    /// Prompt tokens a second if it did nothing else; 0 if the service has no prefill.
    pub prefill_tokens_per_s: f64,
    /// Requests at a time.
    pub slots: f64,
}

impl EngineRate {
    /// Number of engines, with a fraction, that the load needs at the target shares.
    pub fn engines_for(&self, load: &OfferedLoad) -> f64 {
        let per_s = load.prefill_tokens_per_s + load.queued_tokens * 1_000.0 / QUEUE_DRAIN_MS;
        let for_prefill = share(per_s, self.prefill_tokens_per_s * TARGET_PREFILL_SHARE);
        let for_slots = share(load.requests, self.slots * TARGET_SLOT_SHARE);
        for_prefill.max(for_slots)
    }
}

/// Ratio of a load to a capacity; 0 if the capacity is not known.
fn share(load: f64, capacity: f64) -> f64 {
    if capacity > 0.0 {
        load.max(0.0) / capacity
    } else {
        0.0
    }
}

/// Demand of the last seconds, in engines.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    samples: VecDeque<(Millis, f64)>,
    /// Highest expected demand at the time of each sample.
    expected: VecDeque<(Millis, f64)>,
    /// Present demand at the time of each sample.
    levels: VecDeque<(Millis, f64)>,
    /// Time of the first sample after the last gap.
    since: Option<Millis>,
}

impl DemandHistory {
    /// Adds a sample, and keeps those of the last `kept_ms` milliseconds. `horizon_ms` is the time for which
    /// demand is to be expected.
    pub fn add(&mut self, engines: f64, horizon_ms: u64, kept_ms: u64, now: Millis) {
        let last_at = self.samples.back().map(|(at, _)| *at);
        if last_at.is_none_or(|at| now.since(at) > MAX_AGE_MS) {
            *self = Self {
                since: Some(now),
                ..Self::default()
            };
        }
        self.samples.push_back((now, engines));
        self.levels.push_back((now, self.level(now)));
        let expected = self.expected_in(horizon_ms, now);
        self.expected.push_back((now, expected));
        let max_age_ms = kept_ms.max(TREND_MS);
        drop_older(&mut self.samples, max_age_ms, now);
        drop_older(&mut self.expected, max_age_ms, now);
        drop_older(&mut self.levels, PEAK_MS, now);
    }

    /// Time for which there are samples without a gap, in milliseconds.
    pub fn observed_ms(&self, now: Millis) -> u64 {
        self.since.map_or(0, |since| now.since(since))
    }

    /// Present demand, averaged over a short time.
    pub fn level(&self, now: Millis) -> f64 {
        let recent = self.recent(LEVEL_MS, now);
        mean(recent.map(|(_, engines)| engines))
    }

    /// Highest expected demand of the last `ms` milliseconds.
    pub fn peak_expected(&self, ms: u64, now: Millis) -> f64 {
        let recent = self
            .expected
            .iter()
            .filter(|(at, _)| now.since(*at) <= ms)
            .map(|(_, engines)| *engines);
        recent.fold(0.0, f64::max)
    }

    /// Highest demand that is expected between now and `horizon_ms` milliseconds later: the present one, or
    /// more if it has been rising.
    pub fn expected_in(&self, horizon_ms: u64, now: Millis) -> f64 {
        let level = self.level(now);
        #[allow(clippy::cast_precision_loss)]
        let rise = self.rise_per_ms(now) * horizon_ms as f64;
        let before = self.peak_before(now);
        let most = if level > before * MAX_KNOWN_GROWTH {
            level * MAX_GROWTH
        } else {
            before.max(level * MAX_KNOWN_GROWTH)
        };
        (level + rise).min(most).max(level)
    }

    /// Highest demand of the last minutes before the present rise.
    fn peak_before(&self, now: Millis) -> f64 {
        let before = self
            .levels
            .iter()
            .filter(|(at, _)| now.since(*at) > EARLIER_AGE_MS);
        before.map(|(_, level)| *level).fold(0.0, f64::max)
    }

    /// Highest demand of the last minutes.
    fn peak(&self, now: Millis) -> f64 {
        self.peak_level(PEAK_MS, now)
    }

    /// Highest demand of the last `ms` milliseconds, as far as it is remembered.
    pub fn peak_level(&self, ms: u64, now: Millis) -> f64 {
        let recent = self.levels.iter().filter(|(at, _)| now.since(*at) <= ms);
        recent.map(|(_, level)| *level).fold(0.0, f64::max)
    }

    /// Demand for which engines are kept ready whatever the present one is.
    pub fn kept_ready(&self, now: Millis) -> f64 {
        self.peak(now) * READY_SHARE
    }

    /// Rise of the demand by a least-squares fit, less its error; 0 if it does not rise.
    fn rise_per_ms(&self, now: Millis) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let points: Vec<(f64, f64)> = self
            .recent(TREND_MS, now)
            .map(|(at, engines)| (-(now.since(at) as f64), engines))
            .collect();
        if points.len() < MIN_TREND_SAMPLES {
            return 0.0;
        }
        let mean_x = mean(points.iter().map(|(x, _)| *x));
        let mean_y = mean(points.iter().map(|(_, y)| *y));
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if sum_xx <= 0.0 {
            return 0.0;
        }
        let sum_xy = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
        let slope = sum_xy.sum::<f64>() / sum_xx;
        let residuals = points
            .iter()
            .map(|(x, y)| (y - mean_y - slope * (x - mean_x)).powi(2));
        #[allow(clippy::cast_precision_loss)]
        let degrees_of_freedom = (points.len() - 2) as f64;
        let error = (residuals.sum::<f64>() / degrees_of_freedom / sum_xx).sqrt();
        (slope - SLOPE_ERRORS * error).max(0.0)
    }

    fn recent(&self, ms: u64, now: Millis) -> impl Iterator<Item = (Millis, f64)> + '_ {
        let samples = self.samples.iter().copied();
        samples.filter(move |(at, _)| now.since(*at) <= ms)
    }
}

fn drop_older(samples: &mut VecDeque<(Millis, f64)>, max_age_ms: u64, now: Millis) {
    while samples
        .front()
        .is_some_and(|(at, _)| now.since(*at) > max_age_ms)
    {
        samples.pop_front();
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (mut sum, mut count) = (0.0, 0.0);
    for value in values {
        sum += value;
        count += 1.0;
    }
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}
