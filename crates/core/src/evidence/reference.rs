//! The latency of the old version, against which requests count as slow.

use super::pending::Turn;
use super::{Counts, Sample};

/// Quantile of the old version's latency above which a request counts as slow.
pub const REFERENCE_QUANTILE: f64 = 0.8;

const BUCKETS: usize = 128;
// Buckets grow by this factor, from 1 ms to about three minutes.
const GROWTH: f64 = 1.1;
// Samples before there is a reference, and between two updates of it.
const MIN_SAMPLES: f64 = 100.0;
const UPDATE_SAMPLES: u32 = 20;
// With each update the past loses this part of its weight.
const KEPT_WEIGHT: f64 = 0.9;

/// A decaying histogram of the old version's latency on one route.
///
/// Both versions are compared with the same reference at any time, so that it may follow the load
/// without favouring either.
#[derive(Clone, Debug)]
pub(super) struct LatencyReference {
    weights: Box<[f64; BUCKETS]>,
    total: f64,
    since_update: u32,
    reference_ms: Option<u64>,
}

impl Default for LatencyReference {
    fn default() -> Self {
        Self {
            weights: Box::new([0.0; BUCKETS]),
            total: 0.0,
            since_update: 0,
            reference_ms: None,
        }
    }
}

impl LatencyReference {
    /// Latency above which a request is slow, in milliseconds, once enough is known.
    pub(super) fn reference_ms(&self) -> Option<u64> {
        self.reference_ms
    }

    /// Takes a latency of the old version.
    pub(super) fn record(&mut self, latency_ms: u64) {
        self.weights[bucket(latency_ms)] += 1.0;
        self.total += 1.0;
        self.since_update += 1;
        if self.total >= MIN_SAMPLES && self.since_update >= UPDATE_SAMPLES {
            self.update();
        }
    }

    fn update(&mut self) {
        self.since_update = 0;
        let mut below = 0.0;
        let reached = self.weights.iter().position(|weight| {
            below += weight;
            below >= self.total * REFERENCE_QUANTILE
        });
        self.reference_ms = reached.map(upper_edge_ms);
        for weight in self.weights.iter_mut() {
            *weight *= KEPT_WEIGHT;
        }
        self.total *= KEPT_WEIGHT;
    }
}

fn bucket(latency_ms: u64) -> usize {
    let index = (latency_ms.max(1) as f64).ln() / GROWTH.ln();
    (index as usize).min(BUCKETS - 1)
}

fn upper_edge_ms(bucket: usize) -> u64 {
    GROWTH.powi(bucket as i32 + 1).ceil() as u64
}

// A request without news is overdue after this time, and after this multiple of the reference.
const LONGEST_HOLD_MS: u64 = 2_000;
const HOLD_REFERENCES: u64 = 2;

/// The references of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct References {
    first_token: LatencyReference,
    between_tokens: LatencyReference,
}

impl References {
    /// Takes what became of a request to the old version.
    pub(super) fn record(&mut self, sample: &Sample) {
        if let Some(latency_ms) = sample.first_token_ms {
            self.first_token.record(latency_ms);
        }
        if let Some(latency_ms) = sample.between_tokens_ms {
            self.between_tokens.record(latency_ms);
        }
    }

    /// Time after which a request without news is overdue, in milliseconds.
    pub(super) fn hold_ms(&self) -> u64 {
        let reference_ms = self.first_token.reference_ms();
        let hold_ms = reference_ms.map(|reference_ms| reference_ms * HOLD_REFERENCES);
        hold_ms.map_or(LONGEST_HOLD_MS, |hold_ms| hold_ms.min(LONGEST_HOLD_MS))
    }

    /// Counts a request whose turn has come.
    pub(super) fn judge(&self, turn: &Turn, counts: &mut Counts) {
        counts.requests += 1;
        let sample = turn.sample.unwrap_or(Sample {
            first_token_ms: Some(turn.age_ms),
            ..Sample::default()
        });
        counts.failures += u64::from(sample.failed);
        let first = self.first_token.reference_ms().zip(sample.first_token_ms);
        if let Some((reference_ms, latency_ms)) = first {
            counts.timed_first += 1;
            counts.slow_first += u64::from(latency_ms > reference_ms);
        }
        let between = self
            .between_tokens
            .reference_ms()
            .zip(sample.between_tokens_ms);
        if let Some((reference_ms, latency_ms)) = between {
            counts.timed_between += 1;
            counts.slow_between += u64::from(latency_ms > reference_ms);
        }
    }
}
