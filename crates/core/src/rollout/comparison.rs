//! Sequential comparison of both versions, on one route or on all, for one kind of regression.
//!
//! Two scores are computed in parallel. The *block score* compares requests to both versions made
//! at the same time at the same source, so it is insensitive to load swings and to faults that
//! affect both versions. It decides whether the new version is worse. The *alarm score* compares
//! the new version with the recent ratio of the old one. It needs no concurrent requests to the old
//! version, so it reacts within few requests at any share, but it only lowers the share to that of
//! probes. Both scores are cumulative sums with a floor of zero (CUSUM), so a fault that begins
//! late is detected as fast as an early one.
//!
//! A fault that occurs only under load disappears while probing, and the new version gets its share
//! back. The block score reached before is carried over, so that evidence from several bursts
//! accumulates.

use super::baseline::Baseline;
use super::score::{block_score, log_likelihood_ratio, scale_odds};
use crate::evidence::{Counts, RegressionKind, RouteTag, Stratum, VersionCounts};
use crate::time::Millis;
use std::collections::BTreeMap;

const ALTERNATIVES: usize = 3;
// Alternative hypotheses: factors on the odds of a bad request, from the smallest regression that
// matters to a total failure.
const FAILURE_ODDS_FACTORS: [f64; ALTERNATIVES] = [4.0, 20.0, 200.0];
const SLOWNESS_ODDS_FACTORS: [f64; ALTERNATIVES] = [2.5, 6.0, 20.0];
// Minimum ratio of bad requests; smaller ratios are not distinguished.
const MIN_RATIO: f64 = 0.001;
/// Block score, including the carried score, at which the new version is confirmed to be worse.
const DECISION_SCORE: f64 = 16.0;
/// Block score at which the new version falls back to the probe share.
const CAUTION_SCORE: f64 = 8.0;
/// Alarm score at which the new version falls back to the probe share, if a block score supports
/// it.
const ALARM_SCORE: f64 = 12.0;
/// Minimum block scores to support an alarm, since load swings and faults that affect both versions
/// raise alarms too.
const FAILURE_SUPPORT_SCORE: f64 = 1.5;
const SLOWNESS_SUPPORT_SCORE: f64 = 4.0;
/// Score accumulated while probing at which the versions count as alike again.
const CLEAR_SCORE: f64 = -2.0;
/// Deductions from the block score that is carried over when the versions count as alike again.
/// Load swings raise many latency alarms, and the highest of many scores is high by chance.
const FAILURE_CARRY_DISCOUNT_SCORE: f64 = 2.0;
const SLOWNESS_CARRY_DISCOUNT_SCORE: f64 = 7.0;
/// Minimum number of requests to the new version while probing before the caution is cleared.
const MIN_PROBES_TO_CLEAR: u64 = 10;

/// Number of requests and of bad requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCounts {
    /// Number of requests.
    pub trials: u64,
    /// Number of bad requests among them.
    pub faults: u64,
}

impl TrialCounts {
    fn of(counts: &Counts, kind: RegressionKind) -> Self {
        let trials = counts.trials(kind);
        Self {
            trials,
            // Counters of a region are merged separately and may be briefly inconsistent.
            faults: counts.faults(kind).min(trials),
        }
    }

    fn add(&mut self, other: Self) {
        self.trials += other.trials;
        self.faults += other.faults;
    }
}

/// Result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// No evidence that the new version is worse.
    Alike,
    /// The new version is suspected to be worse and gets only the probe share.
    Caution,
    /// The new version is confirmed to be worse.
    Worse,
}

#[derive(Clone, Debug)]
struct CautionState {
    // Index of the suspected alternative.
    alternative: usize,
    score: f64,
    probes: u64,
    // Highest block score since the suspicion arose.
    peak_score: f64,
}

/// Comparison of both versions, on one route or on all, for one kind of regression.
#[derive(Clone, Debug)]
pub struct Comparison {
    kind: RegressionKind,
    odds_factors: [f64; ALTERNATIVES],
    expected: Baseline,
    recent: Baseline,
    pending: BTreeMap<(RouteTag, Stratum), (TrialCounts, TrialCounts)>,
    block_scores: [f64; ALTERNATIVES],
    alarm_scores: [f64; ALTERNATIVES],
    caution: Option<CautionState>,
    // Block score carried over from earlier cautions.
    carried_score: f64,
    is_worse: bool,
}

impl Comparison {
    /// Creates a comparison without any evidence.
    pub fn new(kind: RegressionKind, now: Millis) -> Self {
        let odds_factors = match kind {
            RegressionKind::Failure => FAILURE_ODDS_FACTORS,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => SLOWNESS_ODDS_FACTORS,
        };
        Self {
            kind,
            odds_factors,
            expected: Baseline::expected(kind, now),
            recent: Baseline::recent(kind, now),
            pending: BTreeMap::new(),
            block_scores: [0.0; ALTERNATIVES],
            alarm_scores: [0.0; ALTERNATIVES],
            caution: None,
            carried_score: 0.0,
            is_worse: false,
        }
    }

    /// Adds the requests counted at `source` since the last call for it.
    pub fn add(
        &mut self,
        source: &(RouteTag, Stratum),
        growth: &VersionCounts,
        now: Millis,
    ) -> Finding {
        let new = TrialCounts::of(&growth.new, self.kind);
        let old = TrialCounts::of(&growth.old, self.kind);
        self.score_alarm(new);
        self.score_block(source, new, old);
        self.expected.record(old, now);
        self.recent.record(old, now);
        self.conclude()
    }

    /// Returns the current finding.
    pub fn finding(&self) -> Finding {
        match (self.is_worse, &self.caution) {
            (true, _) => Finding::Worse,
            (false, Some(_)) => Finding::Caution,
            (false, None) => Finding::Alike,
        }
    }

    fn score_alarm(&mut self, new: TrialCounts) {
        let recent = self.recent.upper_ratio();
        let reference = self.expected.upper_ratio().max(recent).max(MIN_RATIO);
        for index in 0..ALTERNATIVES {
            let ratio = scale_odds(reference, self.odds_factors[index]);
            let score = &mut self.alarm_scores[index];
            *score = (*score + log_likelihood_ratio(new, ratio, reference)).max(0.0);
        }
    }

    // Adds to the pending block of `source` and scores it once it contains requests to both
    // versions. The size of a block does not depend on the outcomes of its requests.
    fn score_block(&mut self, source: &(RouteTag, Stratum), new: TrialCounts, old: TrialCounts) {
        let pending = self.pending.entry(source.clone()).or_default();
        pending.0.add(new);
        pending.1.add(old);
        let (new, old) = *pending;
        if new.trials == 0 || old.trials == 0 {
            return;
        }
        *pending = (TrialCounts::default(), TrialCounts::default());
        let old_ratio = self.recent.ratio().max(MIN_RATIO);
        for index in 0..ALTERNATIVES {
            let new_ratio = scale_odds(old_ratio, self.odds_factors[index]);
            let growth = block_score(new, old, new_ratio, old_ratio);
            let score = &mut self.block_scores[index];
            *score = (*score + growth).max(0.0);
            if let Some(caution) = &mut self.caution {
                if caution.alternative == index {
                    caution.score += growth;
                }
            }
        }
        if let Some(caution) = &mut self.caution {
            caution.probes += new.trials;
        }
    }

    fn is_alarming(&self, alternative: usize) -> bool {
        let block_score = self.block_scores[alternative];
        let support_score = match self.kind {
            RegressionKind::Failure => FAILURE_SUPPORT_SCORE,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => SLOWNESS_SUPPORT_SCORE,
        };
        let is_supported = block_score >= support_score;
        let is_alarm = self.alarm_scores[alternative] >= ALARM_SCORE && is_supported;
        is_alarm || block_score >= CAUTION_SCORE
    }

    // Score of recent evidence for this alternative.
    fn alternative_score(&self, alternative: usize) -> f64 {
        self.block_scores[alternative].max(self.alarm_scores[alternative])
    }

    fn conclude(&mut self) -> Finding {
        let block_score = self.block_scores.iter().copied().fold(0.0, f64::max);
        if self.carried_score + block_score >= DECISION_SCORE {
            self.is_worse = true;
        }
        let suspected = (0..ALTERNATIVES)
            .filter(|index| self.is_alarming(*index))
            .max_by(|a, b| {
                self.alternative_score(*a)
                    .total_cmp(&self.alternative_score(*b))
            });
        match (suspected, &mut self.caution) {
            (Some(alternative), None) => {
                self.caution = Some(CautionState {
                    alternative,
                    score: 0.0,
                    probes: 0,
                    peak_score: block_score,
                });
            }
            (_, Some(caution)) => {
                caution.peak_score = caution.peak_score.max(block_score);
                if caution.is_clear() {
                    self.clear();
                }
            }
            (None, None) => {}
        }
        self.finding()
    }

    fn clear(&mut self) {
        let peak_score = self
            .caution
            .take()
            .map_or(0.0, |caution| caution.peak_score);
        let discount = match self.kind {
            RegressionKind::Failure => FAILURE_CARRY_DISCOUNT_SCORE,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => {
                SLOWNESS_CARRY_DISCOUNT_SCORE
            }
        };
        self.carried_score += (peak_score - discount).max(0.0);
        self.alarm_scores = [0.0; ALTERNATIVES];
        self.block_scores = [0.0; ALTERNATIVES];
    }
}

impl CautionState {
    fn is_clear(&self) -> bool {
        self.probes >= MIN_PROBES_TO_CLEAR && self.score <= CLEAR_SCORE
    }
}
