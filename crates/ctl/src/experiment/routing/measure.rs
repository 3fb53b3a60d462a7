//! What is measured.

use super::deployment::Deployment;
use super::workload::Arrival;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Digits that the histograms keep.
const DIGITS: u8 = 3;
/// Longest duration that the histograms tell apart, in microseconds.
const MAX_US: u64 = 120_000_000;
/// The aim for the first token, in microseconds.
const FIRST_TOKEN_AIM_US: u64 = 480_000;
/// The aim for the time between two tokens, in microseconds.
const BETWEEN_AIM_US: u64 = 30_000;

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
pub(super) struct Row {
    pub(super) policy: String,
    pub(super) requests: u64,
    pub(super) classes: Vec<ClassRow>,
    /// First token of the worst-served account's most urgent class, 95th percentile.
    pub(super) worst_account_first_token_p95_ms: f64,
    /// Answers of the worst-served account as a share of its requests.
    pub(super) worst_account_served_share: f64,
    /// Refused, or without a first token at the deadline.
    pub(super) refused: u64,
    /// Refused although the account kept to its share.
    pub(super) refused_wrongly: u64,
    /// Cut and not resumed.
    pub(super) failed: u64,
    pub(super) away_share: f64,
    pub(super) busy_s_per_1000_tokens: f64,
    pub(super) cache_hit_ratio: f64,
    /// Share of the first tokens within 480 ms, of all requests.
    pub(super) first_token_in_aim_share: f64,
    /// Share of the gaps between tokens within 30 ms.
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

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u64,
    served: u64,
    refused: u64,
    failed: u64,
    away: u64,
    attempts: u64,
    first_in_aim: u64,
    gaps: u64,
    gaps_in_aim: u64,
    refused_wrongly: u64,
}

/// Collects the measurements of one run.
pub(super) struct Measure {
    first: Vec<Histogram<u64>>,
    between: Vec<Histogram<u64>>,
    account_first: Vec<Histogram<u64>>,
    account_requests: Vec<u64>,
    account_served: Vec<u64>,
    counts: Counts,
    greedy_account: Option<usize>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, DIGITS).expect("a histogram with valid bounds")
}

impl Measure {
    pub(super) fn new(deployment: &Deployment, greedy_account: Option<usize>) -> Self {
        let classes = deployment.document.classes.len();
        let accounts = deployment.document.accounts.len();
        Self {
            first: vec![histogram(); classes],
            between: vec![histogram(); classes],
            account_first: vec![histogram(); accounts],
            account_requests: vec![0; accounts],
            account_served: vec![0; accounts],
            counts: Counts::default(),
            greedy_account,
        }
    }

    pub(super) fn first_token(&mut self, arrival: &Arrival, us: u64) {
        if !arrival.is_measured {
            return;
        }
        self.first[arrival.class].saturating_record(us);
        if arrival.class == 0 {
            self.account_first[arrival.account].saturating_record(us);
        }
        self.counts.first_in_aim += u64::from(us <= FIRST_TOKEN_AIM_US);
    }

    pub(super) fn gap(&mut self, arrival: &Arrival, us: u64) {
        if !arrival.is_measured {
            return;
        }
        self.between[arrival.class].saturating_record(us);
        self.counts.gaps += 1;
        self.counts.gaps_in_aim += u64::from(us <= BETWEEN_AIM_US);
    }

    /// Counts a request that is over.
    pub(super) fn over(
        &mut self,
        arrival: &Arrival,
        outcome: super::request_state::Stage,
        is_away: bool,
        attempts: u32,
    ) {
        use super::request_state::Stage;
        if !arrival.is_measured {
            return;
        }
        let counts = &mut self.counts;
        counts.requests += 1;
        counts.away += u64::from(is_away);
        counts.attempts += u64::from(attempts);
        self.account_requests[arrival.account] += 1;
        match outcome {
            Stage::Done => {
                counts.served += 1;
                self.account_served[arrival.account] += 1;
            }
            Stage::Failed => counts.failed += 1,
            Stage::Idle | Stage::Queued | Stage::Flying | Stage::Refused => {
                counts.refused += 1;
                counts.refused_wrongly += u64::from(!arrival.is_greedy);
            }
        }
    }

    pub(super) fn row(
        &self,
        policy: String,
        deployment: &Deployment,
        engines: &EngineTotals,
    ) -> Row {
        let counts = &self.counts;
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let classes = deployment.document.classes.iter().enumerate();
        let class = |(index, class): (usize, &carobwheel_core::document::Class)| ClassRow {
            class: class.id.to_string(),
            requests: self.first[index].len(),
            first_token: Percentiles::of(&self.first[index]),
            between_tokens: Percentiles::of(&self.between[index]),
        };
        let others = || {
            let accounts = 0..self.account_requests.len();
            accounts.filter(|account| {
                Some(*account) != self.greedy_account && self.account_requests[*account] > 0
            })
        };
        let first_p95 = |account: usize| Percentiles::of(&self.account_first[account]).p95_ms;
        let served =
            |account: usize| share(self.account_served[account], self.account_requests[account]);
        Row {
            policy,
            requests: counts.requests,
            classes: classes.map(class).collect(),
            worst_account_first_token_p95_ms: others().map(first_p95).fold(0.0, f64::max),
            worst_account_served_share: others().map(served).fold(1.0, f64::min),
            refused: counts.refused,
            refused_wrongly: counts.refused_wrongly,
            failed: counts.failed,
            away_share: share(counts.away, counts.requests),
            busy_s_per_1000_tokens: engines.busy_us as f64
                / 1_000.0
                / engines.output_tokens.max(1) as f64,
            cache_hit_ratio: share(engines.cached_tokens, engines.prompt_tokens),
            first_token_in_aim_share: share(counts.first_in_aim, counts.requests),
            between_in_aim_share: share(counts.gaps_in_aim, counts.gaps),
            attempts_per_request: share(counts.attempts, counts.requests),
        }
    }
}
