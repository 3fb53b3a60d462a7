//! The report of a load.

use super::client::Outcome;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

const MAX_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
const US_PER_MS: f64 = 1_000.0;
const BYTES_PER_MB: f64 = 1e6;

/// What one side of the load showed.
pub(super) struct Side {
    first_byte_us: Histogram<u64>,
    total_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    whole: u64,
    requests: u64,
    codes: BTreeMap<String, u64>,
    /// Duration until the last answer.
    pub(super) duration: Duration,
    /// Processor time of the watched process.
    pub(super) processor_s: Option<f64>,
    /// Resident memory of the watched process.
    pub(super) memory_bytes: Option<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS)
        .expect("three digits up to an hour are a valid histogram")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let us = u64::try_from(duration.as_micros()).unwrap_or(MAX_US);
    histogram.saturating_record(us.clamp(1, MAX_US));
}

impl Default for Side {
    fn default() -> Self {
        Self {
            first_byte_us: histogram(),
            total_us: histogram(),
            gap_us: histogram(),
            whole: 0,
            requests: 0,
            codes: BTreeMap::new(),
            duration: Duration::ZERO,
            processor_s: None,
            memory_bytes: None,
        }
    }
}

impl Side {
    /// Adds one outcome.
    pub(super) fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        if !outcome.is_whole {
            let code = outcome.code.as_deref().unwrap_or("unknown");
            let label = format!("{} {code}", outcome.status);
            *self.codes.entry(label).or_default() += 1;
            return;
        }
        self.whole += 1;
        record(&mut self.total_us, outcome.total);
        if let Some(first_byte) = outcome.first_byte {
            record(&mut self.first_byte_us, first_byte);
        }
        for gap in &outcome.gaps {
            record(&mut self.gap_us, *gap);
        }
    }

    fn requests_per_core_s(&self) -> Option<f64> {
        let processor_s = self.processor_s.filter(|used_s| *used_s > 0.0)?;
        Some(self.requests as f64 / processor_s)
    }

    fn json(&self) -> Value {
        json!({
            "requests": self.requests,
            "whole": self.whole,
            "not_whole": self.codes,
            "duration_s": self.duration.as_secs_f64(),
            "first_byte_ms": quantiles_ms(&self.first_byte_us),
            "total_ms": quantiles_ms(&self.total_us),
            "gap_ms": quantiles_ms(&self.gap_us),
            "processor_s": self.processor_s,
            "requests_per_core_s": self.requests_per_core_s(),
            "memory_bytes": self.memory_bytes,
        })
    }

    fn write(&self, name: &str, text: &mut String) {
        let _ = writeln!(
            text,
            "{name}: {} requests, {} whole, {:.1} s",
            self.requests,
            self.whole,
            self.duration.as_secs_f64()
        );
        for (label, count) in &self.codes {
            let _ = writeln!(text, "  not whole: {count} x {label}");
        }
        let rows = [
            ("first byte", &self.first_byte_us),
            ("total", &self.total_us),
            ("between chunks", &self.gap_us),
        ];
        for (label, histogram) in rows {
            let _ = write!(text, "  {label:<15}");
            for quantile in QUANTILES {
                let ms = quantile_ms(histogram, quantile);
                let _ = write!(text, " p{:<5} {ms:>9.3} ms", quantile * 100.0);
            }
            text.push('\n');
        }
        if let (Some(used_s), Some(rate)) = (self.processor_s, self.requests_per_core_s()) {
            let memory_mb = self.memory_bytes.unwrap_or(0) as f64 / BYTES_PER_MB;
            let _ = writeln!(
                text,
                "  processor {used_s:.2} s, {rate:.0} requests a core second, {memory_mb:.1} MB"
            );
        }
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / US_PER_MS
}

fn quantiles_ms(histogram: &Histogram<u64>) -> Value {
    let pairs = QUANTILES.map(|quantile| {
        let name = format!("p{}", quantile * 100.0);
        (name, json!(quantile_ms(histogram, quantile)))
    });
    Value::Object(pairs.into_iter().collect())
}

/// Both sides of a load.
pub(super) struct Report {
    /// The load through the gateway.
    pub(super) target: Side,
    /// The same load straight to an engine.
    pub(super) direct: Option<Side>,
}

impl Report {
    /// The report as JSON.
    pub(super) fn json(&self) -> Value {
        let added = self.direct.as_ref().map(|direct| {
            let added_ms = |quantile| {
                quantile_ms(&self.target.first_byte_us, quantile)
                    - quantile_ms(&direct.first_byte_us, quantile)
            };
            json!({"p50": added_ms(0.5), "p95": added_ms(0.95), "p99": added_ms(0.99)})
        });
        json!({
            "gateway": self.target.json(),
            "direct": self.direct.as_ref().map(Side::json),
            "added_first_byte_ms": added,
        })
    }

    /// The report as text.
    pub(super) fn text(&self) -> String {
        let mut text = String::new();
        if let Some(direct) = &self.direct {
            direct.write("direct", &mut text);
        }
        self.target.write("gateway", &mut text);
        if let Some(direct) = &self.direct {
            text.push_str("added to first byte:");
            for quantile in QUANTILES {
                let added_ms = quantile_ms(&self.target.first_byte_us, quantile)
                    - quantile_ms(&direct.first_byte_us, quantile);
                let _ = write!(text, " p{} {added_ms:.3} ms", quantile * 100.0);
            }
            text.push('\n');
        }
        text
    }
}
