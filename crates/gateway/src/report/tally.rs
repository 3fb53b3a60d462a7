//! Counts and histograms of an instance since its start.

use super::trace::{Label, Observation};
use carobwheel_core::id::{AccountId, ClassId};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Labels with histograms of their own at most; requests of further ones count together.
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

/// What the status page says of one account and class.
#[derive(Clone, Debug, Serialize)]
pub struct LabelStatus {
    /// Client account; none on open routes or for several accounts together.
    pub account: Option<AccountId>,
    /// Latency class; none for plain routes.
    pub class: Option<ClassId>,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Time from intake to the first byte of the answer.
    pub first_byte: Quantiles,
    /// Time from intake to the end of the answer.
    pub total: Quantiles,
}

struct Counts {
    answered: u64,
    refused: u64,
    first_byte_ms: Histogram<u32>,
    total_ms: Histogram<u32>,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            answered: 0,
            refused: 0,
            first_byte_ms: histogram(),
            total_ms: histogram(),
        }
    }
}

// Starts small and grows with the longest duration seen.
fn histogram() -> Histogram<u32> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("two digits are a valid precision")
}

fn record(histogram: &mut Histogram<u32>, duration_ms: u64) {
    // A histogram that cannot grow further leaves the value out.
    let _ = histogram.record(duration_ms);
}

fn quantiles(histogram: &Histogram<u32>) -> Quantiles {
    Quantiles {
        p50_ms: histogram.value_at_quantile(0.5),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
    }
}

/// Counts and histograms of an instance since its start.
#[derive(Default)]
pub(super) struct Tally {
    labels: BTreeMap<Label, Counts>,
    causes: BTreeMap<&'static str, u64>,
}

impl Tally {
    /// Counts one request.
    pub(super) fn add(&mut self, observation: &Observation) {
        if let Some(cause) = observation.cause {
            *self.causes.entry(cause.code()).or_default() += 1;
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

    /// The histograms for the status page.
    pub(super) fn labels(&self) -> Vec<LabelStatus> {
        let status = |(label, counts): (&Label, &Counts)| LabelStatus {
            account: label.account.clone(),
            class: label.class.clone(),
            answered: counts.answered,
            refused: counts.refused,
            first_byte: quantiles(&counts.first_byte_ms),
            total: quantiles(&counts.total_ms),
        };
        self.labels.iter().map(status).collect()
    }

    /// Refusals by cause.
    pub(super) fn causes(&self) -> BTreeMap<&'static str, u64> {
        self.causes.clone()
    }
}
