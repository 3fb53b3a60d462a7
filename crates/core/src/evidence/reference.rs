//! Reference latency, derived from the old version, above which requests count as slow.

use super::pending::CountableRequest;
use super::{Counts, Sample};

/// Quantile of the old version's latency above which a request counts as slow.
pub const REFERENCE_QUANTILE: f64 = 0.8;

const BUCKETS: usize = 128;
// Growth factor of the bucket bounds, from 1 ms to about three minutes.
const BUCKET_GROWTH_FACTOR: f64 = 1.1;
// Minimum number of samples for a reference, and number of samples between two updates of it.
const MIN_REFERENCE_SAMPLES: f64 = 100.0;
const SAMPLES_PER_UPDATE: u32 = 20;
// Factor by which the weight of past samples is multiplied at each update.
const UPDATE_DECAY: f64 = 0.9;

/// Reference latency on one route, from a decaying histogram of the old version's latency.
///
/// At any time both versions are compared with the same reference, so the reference may follow the
/// load without favouring either version.
#[derive(Clone, Debug)]
pub(super) struct LatencyReference {
    weights: Box<[f64; BUCKETS]>,
    total: f64,
    samples_since_update: u32,
    reference_ms: Option<u64>,
}

impl Default for LatencyReference {
    fn default() -> Self {
        Self {
            weights: Box::new([0.0; BUCKETS]),
            total: 0.0,
            samples_since_update: 0,
            reference_ms: None,
        }
    }
}

impl LatencyReference {
    /// Returns the latency above which a request is slow, in milliseconds, or `None` with too few
    /// samples.
    pub(super) fn reference_ms(&self) -> Option<u64> {
        self.reference_ms
    }

    /// Adds a latency of the old version.
    pub(super) fn record(&mut self, latency_ms: u64) {
        self.weights[bucket(latency_ms)] += 1.0;
        self.total += 1.0;
        self.samples_since_update += 1;
        if self.total >= MIN_REFERENCE_SAMPLES && self.samples_since_update >= SAMPLES_PER_UPDATE {
            self.update();
        }
    }

    fn update(&mut self) {
        self.samples_since_update = 0;
        let mut below = 0.0;
        let reached = self.weights.iter().position(|weight| {
            below += weight;
            below >= self.total * REFERENCE_QUANTILE
        });
        self.reference_ms = reached.map(upper_edge_ms);
        for weight in self.weights.iter_mut() {
            *weight *= UPDATE_DECAY;
        }
        self.total *= UPDATE_DECAY;
    }
}

fn bucket(latency_ms: u64) -> usize {
    let index = (latency_ms.max(1) as f64).ln() / BUCKET_GROWTH_FACTOR.ln();
    (index as usize).min(BUCKETS - 1)
}

fn upper_edge_ms(bucket: usize) -> u64 {
    BUCKET_GROWTH_FACTOR.powi(bucket as i32 + 1).ceil() as u64
}

// A request without an outcome is overdue after this time or after this multiple of the reference,
// whichever is shorter.
const MAX_OVERDUE_AFTER_MS: u64 = 2_000;
const OVERDUE_REFERENCE_FACTOR: u64 = 2;

/// Reference latencies of one route.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyReferences {
    first_token: LatencyReference,
    between_tokens: LatencyReference,
}

impl LatencyReferences {
    /// Adds the outcome of a request to the old version.
    pub(super) fn record(&mut self, sample: &Sample) {
        if let Some(latency_ms) = sample.first_token_ms {
            self.first_token.record(latency_ms);
        }
        if let Some(latency_ms) = sample.between_tokens_ms {
            self.between_tokens.record(latency_ms);
        }
    }

    /// Returns the age at which a request without an outcome is overdue, in milliseconds.
    pub(super) fn overdue_after_ms(&self) -> u64 {
        let reference_ms = self.first_token.reference_ms();
        let overdue_after_ms =
            reference_ms.map(|reference_ms| reference_ms * OVERDUE_REFERENCE_FACTOR);
        overdue_after_ms.map_or(MAX_OVERDUE_AFTER_MS, |overdue_after_ms| {
            overdue_after_ms.min(MAX_OVERDUE_AFTER_MS)
        })
    }

    /// Adds a request to `counts`. The latency of an overdue request is taken to be its age.
    pub(super) fn count(&self, request: &CountableRequest, counts: &mut Counts) {
        counts.requests += 1;
        let sample = request.sample.unwrap_or(Sample {
            first_token_ms: Some(request.age_ms),
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
