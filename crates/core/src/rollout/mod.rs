//! Rollouts of model versions: shares, evidence and verdicts.
