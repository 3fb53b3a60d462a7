//! Planted faults: each assertion of the module stops a program that breaks its promise.

use super::{OutlierDetector, ResumePoint, RetryBudget, UpstreamGroup};
use crate::time::Millis;

#[test]
#[should_panic(expected = "more retries than the budget allows")]
fn a_retry_that_was_not_paid_for_is_noticed() {
    let mut budget = RetryBudget::new(10);
    budget.on_request();
    budget.parts = 1_000;
    budget.try_take();
}

#[test]
#[should_panic(expected = "upstreams ejected")]
fn an_ejection_below_the_floor_is_noticed() {
    let group = UpstreamGroup {
        region: "north".parse().expect("a name"),
        serves: "m/v1".to_owned(),
    };
    let mut outliers = OutlierDetector::default();
    let member = |name: &str| (name.parse().expect("a name"), group.clone());
    outliers.set_upstreams([member("a"), member("b"), member("c")]);
    for record in outliers.records.values_mut().take(2) {
        record.out_until = Some(Millis(1));
    }
    outliers.assert_floor(&group);
}

#[test]
#[should_panic(expected = "a token was doubled or lost")]
fn a_token_that_was_lost_is_noticed() {
    let mut point = ResumePoint::new(true, 10);
    point.passed_tokens = 1;
    let _ = point.on_piece(0, 2);
}
