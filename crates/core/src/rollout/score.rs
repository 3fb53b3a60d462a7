//! Likelihood ratios of the hypothesis that the new version is worse to the hypothesis that both
//! versions are alike.

use super::comparison::TrialCounts;

/// Returns the ratio whose odds are `factor` times the odds of `ratio`.
pub(super) fn scale_odds(ratio: f64, factor: f64) -> f64 {
    let odds = factor * ratio / (1.0 - ratio);
    odds / (1.0 + odds)
}

/// Computes the log-likelihood ratio of `trials` under `ratio` to `trials` under `reference`.
pub(super) fn log_likelihood_ratio(trials: TrialCounts, ratio: f64, reference: f64) -> f64 {
    let faults = trials.faults as f64;
    let rest = trials.trials.saturating_sub(trials.faults) as f64;
    faults * (ratio / reference).ln() + rest * ((1.0 - ratio) / (1.0 - reference)).ln()
}

/// Computes the logarithm of the e-value of one block of trials of both versions.
///
/// If both versions are alike, the expected e-value is at most one for any common ratio. Therefore
/// the product over blocks may be evaluated after every block, and the common ratio may differ
/// between blocks (Turner, Ly and Grünwald, safe tests for two streams of Bernoulli trials).
/// `old_ratio` and `new_ratio` are the alternative hypothesis and have to be chosen before the
/// block.
pub(super) fn block_score(
    new: TrialCounts,
    old: TrialCounts,
    new_ratio: f64,
    old_ratio: f64,
) -> f64 {
    let new_trials = new.trials as f64;
    let old_trials = old.trials as f64;
    let pooled = (new_trials * new_ratio + old_trials * old_ratio) / (new_trials + old_trials);
    log_likelihood_ratio(new, new_ratio, pooled) + log_likelihood_ratio(old, old_ratio, pooled)
}
