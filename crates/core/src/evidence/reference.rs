//! The latency of the old version, against which requests count as slow.

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
pub struct LatencyReference {
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
    ///
    /// A request that still waits after this time may be counted as slow before it ends.
    pub fn reference_ms(&self) -> Option<u64> {
        self.reference_ms
    }

    /// Takes a latency of the old version.
    pub fn record(&mut self, latency_ms: u64) {
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
