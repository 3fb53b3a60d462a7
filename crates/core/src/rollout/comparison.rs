//! Sequential comparison of both versions on one route, for one kind of fault.
//!
//! Two scores run side by side. The *block score* compares requests to both versions made at the
//! same time at the same source, and so is not misled by load swings or by trouble that strikes
//! both; it decides. The *alarm score* compares the new version with the recent ratio of the old
//! one, which needs no concurrent requests to the old version and so answers within few requests
//! at any share; it only lowers the share to a probe. Both are cumulative sums that stop at zero,
//! so a fault that begins late is found as fast as an early one.
//!
//! A fault that shows under load only vanishes while probing. The second alarm after a cleared one
//! therefore decides as well, unless the old version was in trouble at the same time.

use super::baseline::Baseline;
use super::score::{block_score, log_likelihood_ratio, with_odds_times};
use crate::evidence::{Counts, Kind, Sides, Stratum};
use crate::time::Millis;
use std::collections::BTreeMap;

const ALTERNATIVES: usize = 3;
// Factors on the odds of a bad request, from the smallest fault that matters to a total one.
const FAILURE_FACTORS: [f64; ALTERNATIVES] = [4.0, 20.0, 200.0];
const SLOWNESS_FACTORS: [f64; ALTERNATIVES] = [2.5, 6.0, 20.0];
// The alarm leaves the smallest faults to the block score.
const FIRST_ALARM_ALTERNATIVE: usize = 1;
// Ratios below this are alike.
const LEAST_RATIO: f64 = 0.001;
/// Score at which the new version is surely worse.
const DECISION_SCORE: f64 = 16.0;
/// Scores at which the new version falls back to the probe share.
const CAUTION_SCORE: f64 = 8.0;
const ALARM_SCORE: f64 = 10.0;
/// Score gathered while probing at which the versions count as alike.
const CLEAR_SCORE: f64 = -3.0;
/// Requests to the new version while probing before it may be cleared.
const MIN_PROBES: u64 = 10;
/// The old version counts as in trouble at this multiple of its ratio.
const TROUBLE_FACTOR: f64 = 2.0;
const MIN_TROUBLE_FAULTS: u64 = 5;

/// Requests, and those among them that went badly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trials {
    /// Requests.
    pub trials: u64,
    /// Bad ones among them.
    pub faults: u64,
}

impl Trials {
    fn of(counts: &Counts, kind: Kind) -> Self {
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
    score: f64,
    probes: u64,
    old_ratio: f64,
    old: Trials,
}

/// Comparison of both versions on one route, for one kind of fault.
#[derive(Clone, Debug)]
pub struct Comparison {
    kind: Kind,
    factors: [f64; ALTERNATIVES],
    baseline: Baseline,
    pending: BTreeMap<Stratum, (Trials, Trials)>,
    block_scores: [f64; ALTERNATIVES],
    alarm_scores: [f64; ALTERNATIVES],
    caution: Option<Caution>,
    has_cleared: bool,
    is_worse: bool,
}

impl Comparison {
    /// A comparison without any evidence.
    pub fn new(kind: Kind, now: Millis) -> Self {
        let factors = match kind {
            Kind::Failure => FAILURE_FACTORS,
            Kind::SlowFirstToken | Kind::SlowTokens => SLOWNESS_FACTORS,
        };
        Self {
            kind,
            factors,
            baseline: Baseline::new(kind, now),
            pending: BTreeMap::new(),
            block_scores: [0.0; ALTERNATIVES],
            alarm_scores: [0.0; ALTERNATIVES],
            caution: None,
            has_cleared: false,
            is_worse: false,
        }
    }

    /// Takes requests that ended at `stratum` since the last call for it.
    pub fn add(&mut self, stratum: &Stratum, growth: &Sides, now: Millis) -> Finding {
        let new = Trials::of(&growth.new, self.kind);
        let old = Trials::of(&growth.old, self.kind);
        self.score_alarm(new);
        self.score_block(stratum, new, old);
        self.baseline.record(old, now);
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

    fn score_alarm(&mut self, new: Trials) {
        let reference = self.baseline.upper_ratio().max(LEAST_RATIO);
        for index in FIRST_ALARM_ALTERNATIVE..ALTERNATIVES {
            let ratio = with_odds_times(reference, self.factors[index]);
            let score = &mut self.alarm_scores[index];
            *score = (*score + log_likelihood_ratio(new, ratio, reference)).max(0.0);
        }
    }

    // A block is complete once it holds requests to both versions; its size does not depend on
    // how they went.
    fn score_block(&mut self, stratum: &Stratum, new: Trials, old: Trials) {
        let pending = self.pending.entry(stratum.clone()).or_default();
        pending.0.add(new);
        pending.1.add(old);
        let (new, old) = *pending;
        if new.trials == 0 || old.trials == 0 {
            return;
        }
        *pending = (Trials::default(), Trials::default());
        let old_ratio = self.baseline.ratio().max(LEAST_RATIO);
        for index in 0..ALTERNATIVES {
            let new_ratio = with_odds_times(old_ratio, self.factors[index]);
            let growth = block_score(new, old, new_ratio, old_ratio);
            let score = &mut self.block_scores[index];
            *score = (*score + growth).max(0.0);
            if let (0, Some(caution)) = (index, &mut self.caution) {
                caution.score += growth;
                caution.probes += new.trials;
                caution.old.add(old);
            }
        }
    }

    fn conclude(&mut self) -> Finding {
        let block_score = self.block_scores.iter().copied().fold(0.0, f64::max);
        let alarm_score = self.alarm_scores.iter().copied().fold(0.0, f64::max);
        if block_score >= DECISION_SCORE {
            self.is_worse = true;
        }
        let is_clear = self.caution.as_ref().is_some_and(Caution::is_clear);
        if is_clear && block_score < CAUTION_SCORE {
            self.clear();
        } else if self.caution.is_none()
            && (block_score >= CAUTION_SCORE || alarm_score >= ALARM_SCORE)
        {
            self.enter_caution();
        }
        self.finding()
    }

    fn enter_caution(&mut self) {
        if self.has_cleared {
            self.is_worse = true;
        }
        self.caution = Some(Caution {
            score: 0.0,
            probes: 0,
            old_ratio: self.baseline.ratio(),
            old: Trials::default(),
        });
    }

    fn clear(&mut self) {
        let caution = self.caution.take();
        let was_common = caution.is_some_and(|caution| caution.is_old_in_trouble());
        self.has_cleared |= !was_common;
        self.alarm_scores = [0.0; ALTERNATIVES];
    }
}

impl Caution {
    fn is_clear(&self) -> bool {
        self.probes >= MIN_PROBES && self.score <= CLEAR_SCORE
    }

    fn is_old_in_trouble(&self) -> bool {
        let ratio = self.old.faults as f64 / self.old.trials.max(1) as f64;
        self.old.faults >= MIN_TROUBLE_FAULTS && ratio >= TROUBLE_FACTOR * self.old_ratio
    }
}
