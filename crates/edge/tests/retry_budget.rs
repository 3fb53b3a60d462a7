//! Retry budget over instances that do not communicate.

use carobwheel_core::time::Millis;
use carobwheel_edge::retry::{RetryBounds, RetryBudget};
use test_case::test_case;

const BOUNDS: RetryBounds = RetryBounds {
    share: 0.2,
    window_ms: 10_000,
    extra: 52.0,
};

/// Repeats and requests at all instances in each window that starts at a whole second.
#[test_case(6, 10; "small fleet")]
#[test_case(60, 40; "large fleet")]
#[test_case(6, 0; "no requests at all")]
fn fleet_stays_within_the_retry_budget(instances: usize, requests_per_s: u64) {
    let mut budgets = vec![RetryBudget::default(); instances];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for now in (0..40_000).step_by(20) {
        for (n, budget) in budgets.iter_mut().enumerate() {
            let period_ms = 1_000_u64.checked_div(requests_per_s).unwrap_or(u64::MAX);
            // Requests stop halfway, as if all callers left the service.
            if now < 20_000 && (now + 20 * n as u64) % period_ms < 20 && requests_per_s > 0 {
                budget.record_request(&BOUNDS, Millis(now));
                requests.push(now);
            }
            // Every instance attempts a retry at each step.
            if budget.try_take(&BOUNDS, instances, Millis(now)) {
                retries.push(now);
            }
        }
    }
    for start in (0..30_000_u64).step_by(500) {
        let count = |times: &[u64], from: u64| {
            times
                .iter()
                .filter(|at| (from..from + BOUNDS.window_ms).contains(at))
                .count()
        };
        let request_counts = [
            start,
            start.saturating_sub(5_000),
            start.saturating_sub(10_000),
        ];
        let request_counts = request_counts
            .map(|from| count(&requests, from))
            .into_iter()
            .max()
            .unwrap_or(0);
        let allowed = BOUNDS.share * request_counts as f64 + BOUNDS.extra;
        let sent = count(&retries, start) as f64;
        assert!(
            sent <= allowed,
            "{sent} retries from {start} ms, {allowed} allowed"
        );
    }
}

#[test]
fn first_request_may_be_retried() {
    let mut budget = RetryBudget::default();
    budget.record_request(&BOUNDS, Millis(0));
    assert!(budget.try_take(&BOUNDS, 6, Millis(1)));
}
