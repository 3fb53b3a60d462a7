//! What the stand-ins count while the run goes on.

use super::stage::{Stage, BURST_TOKENS, LIMITED, RATES_TOKENS_PER_S};
use crate::support::SECONDS;
use std::time::{Duration, Instant};

/// Time after which a leaving upstream gets no new work.
const LEAVING_TIME: Duration = Duration::from_secs(5);
/// Time between two samples of the tokens used.
const SAMPLE_TIME: Duration = Duration::from_millis(500);

/// A count of tokens at a time between `from` and `to`.
struct Sample {
    from: Instant,
    to: Instant,
    used_tokens: Vec<u64>,
}

/// An upstream on its way out, and its requests at the end of the time allowed.
struct Leaving {
    region: &'static str,
    published_at: Instant,
    requests: Option<u64>,
}

/// The counts gathered so far.
pub(crate) struct Watch {
    samples: Vec<Sample>,
    rates: Vec<(Instant, u64)>,
    leaving: Option<Leaving>,
    /// Times that new work to a leaving upstream was looked for.
    pub(crate) leaving_checks: usize,
    /// What broke a promise.
    pub(crate) faults: Vec<String>,
}

impl Watch {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            samples: Vec::new(),
            rates: vec![(start, RATES_TOKENS_PER_S[0])],
            leaving: None,
            leaving_checks: 0,
            faults: Vec::new(),
        }
    }

    /// Samples the counts when it is time.
    pub(crate) fn look(&mut self, stage: &Stage) {
        let last = self.samples.last();
        if last.is_none_or(|sample| sample.to.elapsed() >= SAMPLE_TIME) {
            self.sample(stage);
        }
        if let Some(leaving) = &mut self.leaving {
            let is_over = leaving.published_at.elapsed() >= LEAVING_TIME;
            if leaving.requests.is_none() && is_over {
                leaving.requests = Some(stage.fleet.engines[leaving.region].counts().requests);
            }
        }
    }

    pub(crate) fn sample(&mut self, stage: &Stage) {
        let from = Instant::now();
        let engines = stage.limited_engines.iter();
        let used_tokens = engines.map(|engines| Stage::used_tokens(engines));
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
        self.leaving = Some(Leaving {
            region,
            published_at,
            requests: None,
        });
    }

    /// Looks for new work to the leaving upstream before it comes back.
    pub(crate) fn end_leaving(&mut self, stage: &Stage) {
        let Some(leaving) = self.leaving.take() else {
            return;
        };
        let Some(before) = leaving.requests else {
            return;
        };
        self.leaving_checks += 1;
        let after = stage.fleet.engines[leaving.region].counts().requests;
        if after != before {
            let region = leaving.region;
            let new = after - before;
            let fault = format!("{new} new requests to the leaving engine of {region}");
            self.faults.push(fault);
        }
    }

    /// Compares the use of each account with a low rate in every window between two samples with
    /// its burst and rate; returns the largest use of the whole run with what was allowed.
    pub(crate) fn check_rates(&mut self) -> Vec<(u64, u64)> {
        let mut whole = Vec::new();
        for (place, limited) in LIMITED.iter().enumerate() {
            for (number, first) in self.samples.iter().enumerate() {
                for last in &self.samples[number + 1..] {
                    let used_tokens = last.used_tokens[place] - first.used_tokens[place];
                    let allowed_tokens = BURST_TOKENS + self.accrued_tokens(first.from, last.to);
                    if used_tokens > allowed_tokens {
                        let window_ms = (last.to - first.from).as_millis();
                        self.faults.push(format!(
                            "{} used {used_tokens} of {allowed_tokens} tokens in {window_ms} ms",
                            limited.account
                        ));
                    }
                }
            }
            let (first, last) = (self.samples.first().unwrap(), self.samples.last().unwrap());
            let used_tokens = last.used_tokens[place] - first.used_tokens[place];
            let allowed_tokens = BURST_TOKENS + self.accrued_tokens(first.from, last.to);
            whole.push((used_tokens, allowed_tokens));
        }
        whole
    }

    /// Tokens that accrue from `from` to `to`; a higher rate counts until seconds after it was
    /// taken back.
    fn accrued_tokens(&self, from: Instant, to: Instant) -> u64 {
        let mut ms_tokens = 0;
        for (number, (since, rate)) in self.rates.iter().enumerate() {
            let until = self.rates.get(number + 1).map_or(to, |(next, next_rate)| {
                let is_lowered = next_rate < rate;
                if is_lowered {
                    *next + SECONDS
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
