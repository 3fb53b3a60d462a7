//! Counters of the stand-ins, sampled during the run.

use super::testbed::{Testbed, BURST_TOKENS, LIMITED_ACCOUNTS, RATES_TOKENS_PER_S};
use crate::support::PROPAGATION_LIMIT;
use std::time::{Duration, Instant};

/// Time after which a leaving upstream must get no new requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between samples of the tokens used.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Count of the tokens used, taken at some time between `from` and `to`.
struct Sample {
    from: Instant,
    to: Instant,
    used_tokens: Vec<u64>,
}

/// Leaving upstream, with its request count at the end of [`LEAVING_TIMEOUT`].
struct LeavingCheck {
    region: &'static str,
    published_at: Instant,
    requests: Option<u64>,
}

/// Counters collected so far and the violations found in them.
pub(crate) struct Monitor {
    samples: Vec<Sample>,
    rates: Vec<(Instant, u64)>,
    leaving: Option<LeavingCheck>,
    /// Number of checks for new requests at a leaving upstream.
    pub(crate) leaving_checks: usize,
    /// Descriptions of the guarantees that were violated.
    pub(crate) violations: Vec<String>,
}

impl Monitor {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            samples: Vec::new(),
            rates: vec![(start, RATES_TOKENS_PER_S[0])],
            leaving: None,
            leaving_checks: 0,
            violations: Vec::new(),
        }
    }

    /// Samples the counters that are due.
    pub(crate) fn poll(&mut self, testbed: &Testbed) {
        let last = self.samples.last();
        if last.is_none_or(|sample| sample.to.elapsed() >= SAMPLE_INTERVAL) {
            self.sample(testbed);
        }
        if let Some(leaving) = &mut self.leaving {
            let is_over = leaving.published_at.elapsed() >= LEAVING_TIMEOUT;
            if leaving.requests.is_none() && is_over {
                leaving.requests = Some(testbed.fleet.engines[leaving.region].counts().requests);
            }
        }
    }

    pub(crate) fn sample(&mut self, testbed: &Testbed) {
        let from = Instant::now();
        let engines = testbed.limited_engines.iter();
        let used_tokens = engines.map(|engines| Testbed::used_tokens(engines));
        self.samples.push(Sample {
            from,
            used_tokens: used_tokens.collect(),
            to: Instant::now(),
        });
    }

    pub(crate) fn change_rate(&mut self, published_at: Instant, rate_tokens_per_s: u64) {
        self.rates.push((published_at, rate_tokens_per_s));
    }

    pub(crate) fn begin_leaving(&mut self, region: &'static str, published_at: Instant) {
        self.leaving = Some(LeavingCheck {
            region,
            published_at,
            requests: None,
        });
    }

    /// Checks that the leaving upstream got no new requests, before it is marked as staying again.
    pub(crate) fn end_leaving(&mut self, testbed: &Testbed) {
        let Some(leaving) = self.leaving.take() else {
            return;
        };
        let Some(before) = leaving.requests else {
            return;
        };
        self.leaving_checks += 1;
        let after = testbed.fleet.engines[leaving.region].counts().requests;
        if after != before {
            let region = leaving.region;
            let new = after - before;
            let violation = format!("{new} new requests to the leaving engine of {region}");
            self.violations.push(violation);
        }
    }

    /// Compares the tokens used by each account with a low rate, in every window between two
    /// samples, with its burst and rate. Returns the largest use of the whole run and the
    /// tokens allowed.
    pub(crate) fn check_rates(&mut self) -> Vec<(u64, u64)> {
        let mut totals = Vec::new();
        for (index, limited) in LIMITED_ACCOUNTS.iter().enumerate() {
            for (number, first) in self.samples.iter().enumerate() {
                for last in &self.samples[number + 1..] {
                    let used_tokens = last.used_tokens[index] - first.used_tokens[index];
                    let allowed_tokens = BURST_TOKENS + self.accrued_tokens(first.from, last.to);
                    if used_tokens > allowed_tokens {
                        let window_ms = (last.to - first.from).as_millis();
                        self.violations.push(format!(
                            "{} used {used_tokens} of {allowed_tokens} tokens in {window_ms} ms",
                            limited.account
                        ));
                    }
                }
            }
            let (first, last) = (self.samples.first().unwrap(), self.samples.last().unwrap());
            let used_tokens = last.used_tokens[index] - first.used_tokens[index];
            let allowed_tokens = BURST_TOKENS + self.accrued_tokens(first.from, last.to);
            totals.push((used_tokens, allowed_tokens));
        }
        totals
    }

    /// Returns the tokens that accrue from `from` to `to`. A higher rate counts until [`SECONDS`]
    /// after it was lowered, when every instance must have applied the change.
    fn accrued_tokens(&self, from: Instant, to: Instant) -> u64 {
        let mut ms_tokens = 0;
        for (number, (since, rate)) in self.rates.iter().enumerate() {
            let until = self.rates.get(number + 1).map_or(to, |(next, next_rate)| {
                let is_lowered = next_rate < rate;
                if is_lowered {
                    *next + PROPAGATION_LIMIT
                } else {
                    *next
                }
            });
            let window = until.min(to).saturating_duration_since((*since).max(from));
            ms_tokens += u64::try_from(window.as_millis()).unwrap() * rate;
        }
        ms_tokens.div_ceil(1_000)
    }
}
