//! Report of a load run.

use super::client::Outcome;
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::{collections::BTreeMap, fmt::Write as _, time::Duration};
use tokio::task::JoinError;

const MAX_LATENCY_US: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
const US_PER_MS: f64 = 1_000.0;
const BYTES_PER_MB: f64 = 1e6;

/// Statistics of one load run against one base URL.
pub(super) struct RunStats {
    first_byte_us: Histogram<u64>,
    total_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    complete: u64,
    requests: u64,
    incomplete_codes: BTreeMap<String, u64>,
    /// Requests whose prompt crashes engines, by status and error code. They are in none of the
    /// other statistics.
    crashing_codes: BTreeMap<String, u64>,
    /// Crashes of the stand-in engines during the run; `None` if no engine was given.
    pub(super) engine_crashes: Option<u64>,
    /// Duration of the run until the end of the last response.
    pub(super) duration: Duration,
    /// Processor time that the measured process used during the run, in seconds.
    pub(super) processor_s: Option<f64>,
    /// Resident memory of the measured process, in bytes.
    pub(super) memory_bytes: Option<u64>,
}

fn label(outcome: &Outcome) -> String {
    let unknown = if outcome.is_complete {
        "complete"
    } else {
        "unknown"
    };
    let code = outcome.code.as_deref().unwrap_or(unknown);
    format!("{} {code}", outcome.status)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("three significant digits up to one hour are valid bounds")
}

fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    let us = u64::try_from(duration.as_micros()).unwrap_or(MAX_LATENCY_US);
    histogram.saturating_record(us.clamp(1, MAX_LATENCY_US));
}

impl Default for RunStats {
    fn default() -> Self {
        Self {
            first_byte_us: new_histogram(),
            total_us: new_histogram(),
            gap_us: new_histogram(),
            complete: 0,
            requests: 0,
            incomplete_codes: BTreeMap::new(),
            crashing_codes: BTreeMap::new(),
            engine_crashes: None,
            duration: Duration::ZERO,
            processor_s: None,
            memory_bytes: None,
        }
    }
}

impl RunStats {
    /// Adds the result of the task of one request: whether its prompt crashes engines, and its
    /// outcome.
    pub(super) fn add_one_of(&mut self, result: Result<(bool, Outcome), JoinError>) {
        let (crashes, outcome) = result.unwrap_or_else(|_| (false, Outcome::failed("panicked")));
        if crashes {
            *self.crashing_codes.entry(label(&outcome)).or_default() += 1;
        } else {
            self.add(&outcome);
        }
    }

    /// Adds the outcome of one request.
    fn add(&mut self, outcome: &Outcome) {
        self.requests += 1;
        if !outcome.is_complete {
            *self.incomplete_codes.entry(label(outcome)).or_default() += 1;
            return;
        }
        self.complete += 1;
        record_duration(&mut self.total_us, outcome.total);
        if let Some(first_byte) = outcome.first_byte {
            record_duration(&mut self.first_byte_us, first_byte);
        }
        for gap in &outcome.gaps {
            record_duration(&mut self.gap_us, *gap);
        }
    }

    fn requests_per_core_s(&self) -> Option<f64> {
        let processor_s = self.processor_s.filter(|used_s| *used_s > 0.0)?;
        Some(self.requests as f64 / processor_s)
    }

    fn json(&self) -> Value {
        json!({
            "requests": self.requests,
            "whole": self.complete,
            "not_whole": self.incomplete_codes,
            "crashing": self.crashing_codes,
            "engine_crashes": self.engine_crashes,
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
            "{name}: {} requests, {} complete, {:.1} s",
            self.requests,
            self.complete,
            self.duration.as_secs_f64()
        );
        for (label, count) in &self.incomplete_codes {
            let _ = writeln!(text, "  incomplete: {count} x {label}");
        }
        for (label, count) in &self.crashing_codes {
            let _ = writeln!(text, "  with the crashing text: {count} x {label}");
        }
        if let Some(crashes) = self.engine_crashes {
            let _ = writeln!(text, "  crashes of engines: {crashes}");
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
                "  processor {used_s:.2} s, {rate:.0} requests per core-second, {memory_mb:.1} MB"
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

/// Results of a load run through the gateway and of its baseline.
pub(super) struct Report {
    /// Load sent through the gateway.
    pub(super) target: RunStats,
    /// Same load sent directly to an engine, if requested.
    pub(super) direct: Option<RunStats>,
}

impl Report {
    /// Formats the report as JSON.
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
            "direct": self.direct.as_ref().map(RunStats::json),
            "added_first_byte_ms": added,
        })
    }

    /// Formats the report as text.
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
