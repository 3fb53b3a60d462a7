//! Measurements of a run: latency, refusals, failures and engine time.

use super::deployment::Deployment;
use super::workload::Arrival;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Highest duration that the histograms record, in microseconds; longer ones count as this.
const MAX_RECORDED_US: u64 = 120_000_000;
/// Target for the time to the first token, in microseconds.
const FIRST_TOKEN_TARGET_US: u64 = 480_000;
/// Target for the time between two tokens, in microseconds.
const BETWEEN_TOKENS_TARGET_US: u64 = 30_000;

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Percentiles {
    pub(super) p50_ms: f64,
    pub(super) p95_ms: f64,
    pub(super) p99_ms: f64,
}

impl Percentiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        }
    }
}

/// Latency of one class.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ClassRow {
    pub(super) class: String,
    pub(super) requests: u64,
    pub(super) first_token: Percentiles,
    pub(super) between_tokens: Percentiles,
}

/// Results of one policy.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PolicyRow {
    pub(super) policy: String,
    pub(super) requests: u64,
    pub(super) classes: Vec<ClassRow>,
    /// Time to the first token in the class of highest priority, 95th percentile, of the account
    /// for which it is longest.
    pub(super) worst_account_first_token_p95_ms: f64,
    /// Share of the requests answered, of the account for which it is lowest.
    pub(super) worst_account_served_share: f64,
    /// Requests refused, or without a first token at the deadline.
    pub(super) refused: u64,
    /// Refused requests of accounts that kept to their share of the load.
    pub(super) refused_wrongly: u64,
    /// Answers interrupted and not resumed.
    pub(super) failed: u64,
    /// Share of the requests whose last attempt went to another region.
    pub(super) away_share: f64,
    pub(super) busy_s_per_1000_tokens: f64,
    pub(super) cache_hit_ratio: f64,
    /// Share of all requests whose first token came within 480 ms.
    pub(super) first_token_in_aim_share: f64,
    /// Share of the gaps between tokens that took at most 30 ms.
    pub(super) between_in_aim_share: f64,
    pub(super) attempts_per_request: f64,
}

/// Totals over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineTotals {
    pub(super) busy_us: u64,
    pub(super) output_tokens: u64,
    pub(super) prompt_tokens: u64,
    pub(super) cached_tokens: u64,
}

/// Counts over all measured requests.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    in_other_region: u64,
    attempts: u64,
    first_tokens_in_target: u64,
    gaps: u64,
    gaps_in_target: u64,
    refused_wrongly: u64,
}

/// Collects the measurements of one run.
pub(super) struct Measurements {
    first_token: Vec<Histogram<u64>>,
    between_tokens: Vec<Histogram<u64>>,
    account_first_token: Vec<Histogram<u64>>,
    account_requests: Vec<u64>,
    account_served: Vec<u64>,
    counts: Counts,
    greedy_account: Option<usize>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_RECORDED_US, HISTOGRAM_DIGITS)
        .expect("a histogram with valid bounds")
}

impl Measurements {
    pub(super) fn new(deployment: &Deployment, greedy_account: Option<usize>) -> Self {
        let classes = deployment.document.classes.len();
        let accounts = deployment.document.accounts.len();
        Self {
            first_token: vec![histogram(); classes],
            between_tokens: vec![histogram(); classes],
            account_first_token: vec![histogram(); accounts],
            account_requests: vec![0; accounts],
            account_served: vec![0; accounts],
            counts: Counts::default(),
            greedy_account,
        }
    }

    pub(super) fn record_first_token(&mut self, arrival: &Arrival, us: u64) {
        if !arrival.is_measured {
            return;
        }
        self.first_token[arrival.class].saturating_record(us);
        if arrival.class == 0 {
            self.account_first_token[arrival.account].saturating_record(us);
        }
        self.counts.first_tokens_in_target += u64::from(us <= FIRST_TOKEN_TARGET_US);
    }

    pub(super) fn record_gap(&mut self, arrival: &Arrival, us: u64) {
        if !arrival.is_measured {
            return;
        }
        self.between_tokens[arrival.class].saturating_record(us);
        self.counts.gaps += 1;
        self.counts.gaps_in_target += u64::from(us <= BETWEEN_TOKENS_TARGET_US);
    }

    /// Records the end of a request.
    pub(super) fn record_finished(
        &mut self,
        arrival: &Arrival,
        outcome: super::request_state::Stage,
        is_in_other_region: bool,
        attempts: u32,
    ) {
        use super::request_state::Stage;
        if !arrival.is_measured {
            return;
        }
        let counts = &mut self.counts;
        counts.requests += 1;
        counts.in_other_region += u64::from(is_in_other_region);
        counts.attempts += u64::from(attempts);
        self.account_requests[arrival.account] += 1;
        match outcome {
            Stage::Done => {
                counts.served += 1;
                self.account_served[arrival.account] += 1;
            }
            Stage::Failed => counts.failed += 1,
            Stage::Idle | Stage::Queued | Stage::InFlight | Stage::Refused => {
                counts.refused += 1;
                counts.refused_wrongly += u64::from(!arrival.is_greedy);
            }
        }
    }

    /// Returns the results of the run. The worst account is chosen without the greedy one.
    pub(super) fn row(
        &self,
        policy: String,
        deployment: &Deployment,
        engines: &EngineTotals,
    ) -> PolicyRow {
        let counts = &self.counts;
        let share = |part: u64, total: u64| part as f64 / total.max(1) as f64;
        let classes = deployment.document.classes.iter().enumerate();
        let class = |(index, class): (usize, &carobwheel_core::document::Class)| ClassRow {
            class: class.id.to_string(),
            requests: self.first_token[index].len(),
            first_token: Percentiles::of(&self.first_token[index]),
            between_tokens: Percentiles::of(&self.between_tokens[index]),
        };
        let other_accounts = || {
            let accounts = 0..self.account_requests.len();
            accounts.filter(|account| {
                Some(*account) != self.greedy_account && self.account_requests[*account] > 0
            })
        };
        let first_token_p95 =
            |account: usize| Percentiles::of(&self.account_first_token[account]).p95_ms;
        let served =
            |account: usize| share(self.account_served[account], self.account_requests[account]);
        PolicyRow {
            policy,
            requests: counts.requests,
            classes: classes.map(class).collect(),
            worst_account_first_token_p95_ms: other_accounts()
                .map(first_token_p95)
                .fold(0.0, f64::max),
            worst_account_served_share: other_accounts().map(served).fold(1.0, f64::min),
            refused: counts.refused,
            refused_wrongly: counts.refused_wrongly,
            failed: counts.failed,
            away_share: share(counts.in_other_region, counts.requests),
            busy_s_per_1000_tokens: engines.busy_us as f64
                / 1_000.0
                / engines.output_tokens.max(1) as f64,
            cache_hit_ratio: share(engines.cached_tokens, engines.prompt_tokens),
            first_token_in_aim_share: share(counts.first_tokens_in_target, counts.requests),
            between_in_aim_share: share(counts.gaps_in_target, counts.gaps),
            attempts_per_request: share(counts.attempts, counts.requests),
        }
    }
}
