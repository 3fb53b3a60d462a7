//! Request counts and latency histograms of an instance since its start.

use super::trace::{Label, Observation};
use carobwheel_core::id::{AccountId, ClassId};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of labels with their own histograms. Further labels are aggregated by class.
const MAX_LABELS: usize = 512;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: u64,
    /// 95th percentile.
    pub p95_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
}

/// Request statistics of one account and class, for the status page.
#[derive(Clone, Debug, Serialize)]
pub struct LabelStatus {
    /// Client account; none on open routes or for aggregated accounts.
    pub account: Option<AccountId>,
    /// Latency class; none for plain routes.
    pub class: Option<ClassId>,
    /// Number of requests answered.
    pub answered: u64,
    /// Number of requests refused.
    pub refused: u64,
    /// Time from intake to the first byte of the response.
    pub first_byte: Quantiles,
    /// Time from intake to the end of the response.
    pub total: Quantiles,
}

struct LabelCounts {
    answered: u64,
    refused: u64,
    first_byte_ms: Histogram<u32>,
    total_ms: Histogram<u32>,
}

impl Default for LabelCounts {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: 0,
            first_byte_ms: histogram(),
            total_ms: histogram(),
        }
    }
}

// The histogram resizes itself to the longest duration recorded.
fn histogram() -> Histogram<u32> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("two digits are a valid precision")
}

fn record(histogram: &mut Histogram<u32>, duration_ms: u64) {
    // A value beyond the largest possible range is dropped.
    let _ = histogram.record(duration_ms);
}

fn quantiles(histogram: &Histogram<u32>) -> Quantiles {
    Quantiles {
        p50_ms: histogram.value_at_quantile(0.5),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
    }
}

/// Request counts and latency histograms of an instance since its start.
#[derive(Default)]
pub(super) struct Tally {
    labels: BTreeMap<Label, LabelCounts>,
    refusals_by_cause: BTreeMap<&'static str, u64>,
}

impl Tally {
    /// Adds one request.
    pub(super) fn add(&mut self, observation: &Observation) {
        if let Some(cause) = observation.cause {
            *self.refusals_by_cause.entry(cause.code()).or_default() += 1;
        }
        let Some(label) = &observation.label else {
            return;
        };
        let is_known = self.labels.contains_key(label) || self.labels.len() < MAX_LABELS;
        let label = if is_known {
            label.clone()
        } else {
            Label {
                account: None,
                class: label.class.clone(),
            }
        };
        let counts = self.labels.entry(label).or_default();
        if observation.cause.is_some() {
            counts.refused += 1;
            return;
        }
        counts.answered += 1;
        record(&mut counts.first_byte_ms, observation.first_byte_ms);
        record(&mut counts.total_ms, observation.total_ms);
    }

    /// Returns the statistics of each label for the status page.
    pub(super) fn labels(&self) -> Vec<LabelStatus> {
        let status = |(label, counts): (&Label, &LabelCounts)| LabelStatus {
            account: label.account.clone(),
            class: label.class.clone(),
            answered: counts.answered,
            refused: counts.refused,
            first_byte: quantiles(&counts.first_byte_ms),
            total: quantiles(&counts.total_ms),
        };
        self.labels.iter().map(status).collect()
    }

    /// Returns the number of refusals by cause.
    pub(super) fn refusals_by_cause(&self) -> BTreeMap<&'static str, u64> {
        self.refusals_by_cause.clone()
    }
}
