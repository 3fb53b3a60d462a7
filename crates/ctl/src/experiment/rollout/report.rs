//! Report of all runs of a case.

use super::case::Case;
use super::world::RunResult;
use carobwheel_core::rollout::Verdict;
use serde::Serialize;
use std::fmt;

/// Header of the table.
pub(super) const HEADER: &str = "\
case                                  right  wrong  none  before  after p50/p99/max  share p50/p99/max %  suspicion s p50/p99  verdict s p50/p99";

/// Results of all runs of a case; a line of the table.
#[derive(Debug, Serialize)]
pub(super) struct CaseRow {
    case: &'static str,
    runs: usize,
    right: usize,
    wrong: usize,
    no_verdict: usize,
    new_before_p50: u64,
    new_after_p50: u64,
    new_after_p99: u64,
    new_after_max: u64,
    share_after_p50_pct: f64,
    share_after_p99_pct: f64,
    share_after_max_pct: f64,
    suspicion_p50_s: f64,
    suspicion_p99_s: f64,
    verdict_after_deadline_p50_s: f64,
    verdict_after_deadline_p99_s: f64,
    new_after_stop: u64,
}

impl CaseRow {
    pub(super) fn new(case: &Case, results: &[RunResult]) -> Self {
        let expected = if case.is_bad() {
            Verdict::RolledBack
        } else {
            Verdict::Done
        };
        let right = results
            .iter()
            .filter(|r| r.verdict == Some(expected))
            .count();
        let no_verdict = results.iter().filter(|r| r.verdict.is_none()).count();
        let before = sorted(results.iter().map(|r| r.new_before as f64));
        let after = sorted(results.iter().map(|r| r.new_after as f64));
        let share = sorted(results.iter().map(share_pct));
        let suspicion = sorted(results.iter().filter_map(|r| r.suspicion_ms).map(seconds));
        let verdict = sorted(
            results
                .iter()
                .map(|r| r.verdict_after_deadline_ms as f64 / 1_000.0),
        );
        Self {
            case: case.name,
            runs: results.len(),
            right,
            wrong: results.len() - right - no_verdict,
            no_verdict,
            new_before_p50: quantile(&before, 0.5) as u64,
            new_after_p50: quantile(&after, 0.5) as u64,
            new_after_p99: quantile(&after, 0.99) as u64,
            new_after_max: quantile(&after, 1.0) as u64,
            share_after_p50_pct: quantile(&share, 0.5),
            share_after_p99_pct: quantile(&share, 0.99),
            share_after_max_pct: quantile(&share, 1.0),
            suspicion_p50_s: quantile(&suspicion, 0.5),
            suspicion_p99_s: quantile(&suspicion, 0.99),
            verdict_after_deadline_p50_s: quantile(&verdict, 0.5),
            verdict_after_deadline_p99_s: quantile(&verdict, 0.99),
            new_after_stop: results.iter().map(|r| r.new_after_stop).sum(),
        }
    }
}

impl fmt::Display for CaseRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let after = format!(
            "{}/{}/{}",
            self.new_after_p50, self.new_after_p99, self.new_after_max
        );
        let share = format!(
            "{:.2}/{:.2}/{:.2}",
            self.share_after_p50_pct, self.share_after_p99_pct, self.share_after_max_pct
        );
        let suspicion = format!("{:.1}/{:.1}", self.suspicion_p50_s, self.suspicion_p99_s);
        let verdict = format!(
            "{:.1}/{:.1}",
            self.verdict_after_deadline_p50_s, self.verdict_after_deadline_p99_s
        );
        write!(
            f,
            "{:<37} {:>5}  {:>5}  {:>4}  {:>6}  {after:>17}  {share:>19}  {suspicion:>19}  {verdict:>17}",
            self.case, self.right, self.wrong, self.no_verdict, self.new_before_p50
        )
    }
}

fn share_pct(result: &RunResult) -> f64 {
    100.0 * result.new_after as f64 / result.all_after.max(1) as f64
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted
        .get(rank.clamp(1, sorted.len().max(1)) - 1)
        .copied()
        .unwrap_or(f64::NAN)
}
