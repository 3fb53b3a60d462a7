//! Sequential comparison of both versions, on one route or on all, for one kind of fault.
//!
//! Two scores run side by side. The *block score* compares requests to both versions made at the
//! same time at the same source, and so is not misled by load swings or by trouble that strikes
//! both; it decides. The *alarm score* compares the new version with the recent ratio of the old
//! one, which needs no concurrent requests to the old version and so answers within few requests
//! at any share; it only lowers the share to a probe. Both are cumulative sums that stop at zero,
//! so a fault that begins late is found as fast as an early one.
//!
//! A fault that shows under load only vanishes while probing, and the new version gets its share
//! back. What the block score had reached before is carried over, so that evidence from several
//! bursts adds up.

use super::baseline::Baseline;
use super::score::{block_score, log_likelihood_ratio, with_odds_times};
use crate::evidence::{Counts, RegressionKind, RouteTag, Stratum, VersionCounts};
use crate::time::Millis;
use std::collections::BTreeMap;

const ALTERNATIVES: usize = 3;
// Factors on the odds of a bad request, from the smallest fault that matters to a total one.
const FAILURE_FACTORS: [f64; ALTERNATIVES] = [4.0, 20.0, 200.0];
const SLOWNESS_FACTORS: [f64; ALTERNATIVES] = [2.5, 6.0, 20.0];
// Ratios below this are alike.
const LEAST_RATIO: f64 = 0.001;
/// Score at which the new version is surely worse.
const DECISION_SCORE: f64 = 16.0;
/// Scores at which the new version falls back to the probe share.
const CAUTION_SCORE: f64 = 8.0;
const ALARM_SCORE: f64 = 12.0;
/// Block scores that have to support an alarm, since trouble that strikes both versions and load
/// swings raise alarms too.
const FAILURE_SUPPORT_SCORE: f64 = 1.5;
const SLOWNESS_SUPPORT_SCORE: f64 = 4.0;
/// Score gathered while probing at which the versions count as alike.
const CLEAR_SCORE: f64 = -2.0;
/// Parts of a block score that are not carried over when the versions count as alike. Load swings
/// raise many alarms about latency, and the highest of many scores is high by chance.
const FORGOTTEN_FAILURE_SCORE: f64 = 2.0;
const FORGOTTEN_SLOWNESS_SCORE: f64 = 7.0;
/// Requests to the new version while probing before it may be cleared.
const MIN_PROBES: u64 = 10;

/// Requests, and those among them that went badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrialCounts {
    /// Requests.
    pub trials: u64,
    /// Bad ones among them.
    pub faults: u64,
}

impl TrialCounts {
    fn of(counts: &Counts, kind: RegressionKind) -> Self {
        let trials = counts.trials(kind);
        Self {
            trials,
            // Counters of a region are merged one by one and may be out of step for a moment.
            faults: counts.faults(kind).min(trials),
        }
    }

    fn add(&mut self, other: Self) {
        self.trials += other.trials;
        self.faults += other.faults;
    }
}

/// What a comparison comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The new version is not known to be worse.
    Alike,
    /// The new version looks worse; it gets the probe share only.
    Caution,
    /// The new version is surely worse.
    Worse,
}

#[derive(Clone, Debug)]
struct Caution {
    // Index of the fault that is feared.
    alternative: usize,
    score: f64,
    probes: u64,
    // Highest block score since the caution began.
    peak: f64,
}

/// Comparison of both versions, on one route or on all, for one kind of fault.
#[derive(Clone, Debug)]
pub struct Comparison {
    kind: RegressionKind,
    factors: [f64; ALTERNATIVES],
    expected: Baseline,
    recent: Baseline,
    pending: BTreeMap<(RouteTag, Stratum), (TrialCounts, TrialCounts)>,
    block_scores: [f64; ALTERNATIVES],
    alarm_scores: [f64; ALTERNATIVES],
    caution: Option<Caution>,
    // Block scores of earlier cautions.
    carried: f64,
    is_worse: bool,
}

impl Comparison {
    /// A comparison without any evidence.
    pub fn new(kind: RegressionKind, now: Millis) -> Self {
        let factors = match kind {
            RegressionKind::Failure => FAILURE_FACTORS,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => SLOWNESS_FACTORS,
        };
        Self {
            kind,
            factors,
            expected: Baseline::expected(kind, now),
            recent: Baseline::recent(kind, now),
            pending: BTreeMap::new(),
            block_scores: [0.0; ALTERNATIVES],
            alarm_scores: [0.0; ALTERNATIVES],
            caution: None,
            carried: 0.0,
            is_worse: false,
        }
    }

    /// Takes requests that ended at `source` since the last call for it.
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

    /// What the evidence comes to.
    pub fn finding(&self) -> Finding {
        match (self.is_worse, &self.caution) {
            (true, _) => Finding::Worse,
            (false, Some(_)) => Finding::Caution,
            (false, None) => Finding::Alike,
        }
    }

    fn score_alarm(&mut self, new: TrialCounts) {
        let recent = self.recent.upper_ratio();
        let reference = self.expected.upper_ratio().max(recent).max(LEAST_RATIO);
        for index in 0..ALTERNATIVES {
            let ratio = with_odds_times(reference, self.factors[index]);
            let score = &mut self.alarm_scores[index];
            *score = (*score + log_likelihood_ratio(new, ratio, reference)).max(0.0);
        }
    }

    // A block is complete once it holds requests to both versions; its size does not depend on
    // how they went.
    fn score_block(&mut self, source: &(RouteTag, Stratum), new: TrialCounts, old: TrialCounts) {
        let pending = self.pending.entry(source.clone()).or_default();
        pending.0.add(new);
        pending.1.add(old);
        let (new, old) = *pending;
        if new.trials == 0 || old.trials == 0 {
            return;
        }
        *pending = (TrialCounts::default(), TrialCounts::default());
        let old_ratio = self.recent.ratio().max(LEAST_RATIO);
        for index in 0..ALTERNATIVES {
            let new_ratio = with_odds_times(old_ratio, self.factors[index]);
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

    // How well a fault of this size fits what was seen of late.
    fn fit(&self, alternative: usize) -> f64 {
        self.block_scores[alternative].max(self.alarm_scores[alternative])
    }

    fn conclude(&mut self) -> Finding {
        let block_score = self.block_scores.iter().copied().fold(0.0, f64::max);
        if self.carried + block_score >= DECISION_SCORE {
            self.is_worse = true;
        }
        let feared = (0..ALTERNATIVES)
            .filter(|index| self.is_alarming(*index))
            .max_by(|a, b| self.fit(*a).total_cmp(&self.fit(*b)));
        match (feared, &mut self.caution) {
            (Some(alternative), None) => {
                self.caution = Some(Caution {
                    alternative,
                    score: 0.0,
                    probes: 0,
                    peak: block_score,
                });
            }
            (_, Some(caution)) => {
                caution.peak = caution.peak.max(block_score);
                if caution.is_clear() {
                    self.clear();
                }
            }
            (None, None) => {}
        }
        self.finding()
    }

    fn clear(&mut self) {
        let peak = self.caution.take().map_or(0.0, |caution| caution.peak);
        let forgotten = match self.kind {
            RegressionKind::Failure => FORGOTTEN_FAILURE_SCORE,
            RegressionKind::SlowFirstToken | RegressionKind::SlowTokens => FORGOTTEN_SLOWNESS_SCORE,
        };
        self.carried += (peak - forgotten).max(0.0);
        self.alarm_scores = [0.0; ALTERNATIVES];
        self.block_scores = [0.0; ALTERNATIVES];
    }
}

impl Caution {
    fn is_clear(&self) -> bool {
        self.probes >= MIN_PROBES && self.score <= CLEAR_SCORE
    }
}
