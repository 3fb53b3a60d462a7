//! Fault injection: each assertion of the module panics when its invariant is violated.

use super::{OutlierDetector, ResumePoint, RetryBudget, UpstreamGroup};
use crate::time::Millis;

#[test]
#[should_panic(expected = "more retries than the budget allows")]
fn a_retry_beyond_the_budget_is_noticed() {
    let mut budget = RetryBudget::new(10);
    budget.on_request();
    budget.available_parts = 1_000;
    budget.try_take();
}

#[test]
#[should_panic(expected = "upstreams ejected")]
fn an_ejection_above_the_limit_is_noticed() {
    let group = UpstreamGroup {
        region: "north".parse().expect("a valid name"),
        serves: "m/v1".to_owned(),
    };
    let mut outliers = OutlierDetector::default();
    let member = |name: &str| (name.parse().expect("a valid name"), group.clone());
    outliers.set_upstreams([member("a"), member("b"), member("c")]);
    for health in outliers.health.values_mut().take(2) {
        health.ejected_until = Some(Millis(1));
    }
    outliers.assert_ejection_limit(&group);
}

#[test]
#[should_panic(expected = "a token was duplicated or lost")]
fn a_lost_token_is_noticed() {
    let mut point = ResumePoint::new(true, 10);
    point.passed_tokens = 1;
    let _ = point.on_piece(0, 2);
}
