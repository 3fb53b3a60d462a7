//! Retry storm: half of all attempts fail, and the retry budget has to bound the attempts.

use super::deployment::Deployment;
use carobwheel_core::retry::{Decision, Failure, Retrier, RetrySettings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::fmt::Write;

const REQUESTS: u64 = 100_000;
const FAILURE_SHARE: f64 = 0.5;
const DEADLINE_MS: u64 = 10_000;
/// Retries per request of the baseline, which has no retry budget.
const BASELINE_RETRIES: u32 = 3;

/// Attempts and answers under one retry policy.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StormRow {
    policy: &'static str,
    attempts_per_request: f64,
    answered_share: f64,
}

/// Results of the retry storm.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StormReport {
    budget_pct: u32,
    failure_share: f64,
    rows: Vec<StormRow>,
}

/// Simulates the retry storm with and without a retry budget.
///
/// # Panics
///
/// Panics if the attempts exceed the requests by more than the budget.
pub(super) fn run(deployment: &Deployment, seed: u64) -> StormReport {
    let budget_pct = deployment.document.policy.retry_budget_pct;
    let ours = run_with_budget(budget_pct, seed);
    let max_attempts_per_request = 1.0 + f64::from(budget_pct) / 100.0;
    assert!(
        ours.attempts_per_request <= max_attempts_per_request,
        "attempts exceed the retry budget"
    );
    StormReport {
        budget_pct,
        failure_share: FAILURE_SHARE,
        rows: vec![ours, run_without_budget(seed)],
    }
}

fn run_with_budget(budget_pct: u32, seed: u64) -> StormRow {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut retrier = Retrier::new(RetrySettings::with_budget_pct(budget_pct));
    simulate("carobwheel", &mut rng, |attempts, rng| {
        if attempts == 0 {
            retrier.on_request();
            return true;
        }
        let failure = Failure::UpstreamError;
        let decision = retrier.decide(true, failure, attempts, DEADLINE_MS, rng);
        matches!(decision, Decision::Retry { .. })
    })
}

fn run_without_budget(seed: u64) -> StormRow {
    let mut rng = StdRng::seed_from_u64(seed);
    simulate("three retries, no budget", &mut rng, |attempts, _| {
        attempts <= BASELINE_RETRIES
    })
}

fn simulate(
    policy: &'static str,
    rng: &mut StdRng,
    mut may_try: impl FnMut(u32, &mut StdRng) -> bool,
) -> StormRow {
    let (mut all_attempts, mut answered) = (0_u64, 0_u64);
    for _ in 0..REQUESTS {
        let mut attempts = 0;
        while may_try(attempts, rng) {
            attempts += 1;
            if !rng.random_bool(FAILURE_SHARE) {
                answered += 1;
                break;
            }
        }
        all_attempts += u64::from(attempts);
    }
    StormRow {
        policy,
        attempts_per_request: all_attempts as f64 / REQUESTS as f64,
        answered_share: answered as f64 / REQUESTS as f64,
    }
}

/// Renders the results as text.
pub(super) fn render(storm: &StormReport) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "\nRetry storm: {:.0}% of attempts fail, budget {}%, {REQUESTS} requests",
        storm.failure_share * 100.0,
        storm.budget_pct
    );
    for row in &storm.rows {
        let _ = writeln!(
            text,
            "{:<26} attempts per request {:.3}, answered {:.1}%",
            row.policy,
            row.attempts_per_request,
            row.answered_share * 100.0
        );
    }
    text
}
