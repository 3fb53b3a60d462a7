//! Limit that an upstream states, spent by several instances.

#![allow(clippy::unwrap_used)]

use carobwheel_core::{
    time::Millis,
    upstream_limit::{
        limit_users_among, parse_rate, LimitReport, LimitUsers, News, RateGate, MAX_LIMIT_USERS,
    },
};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::sync::Arc;
use test_case::test_case;

const STEP_MS: u64 = 20;
const WINDOW_MS: u64 = 4_000;
/// Requests that the deployments allow beyond one and a half times the limit in a window.
const SLACK: f64 = 5.0;

/// Instances that use one upstream.
struct Fleet {
    gates: Vec<RateGate>,
    names: Vec<Arc<str>>,
    /// Reports under way: arrival, sender, receiver.
    reports: Vec<(u64, usize, usize, LimitReport)>,
    /// Whether this instance is cut off from the others.
    is_cut: Vec<bool>,
    sent_at: Vec<u64>,
    sent: Vec<u32>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        Self {
            gates: vec![RateGate::default(); size],
            names: (0..size).map(|n| format!("node-{n}").into()).collect(),
            reports: Vec::new(),
            is_cut: vec![false; size],
            sent_at: Vec::new(),
            sent: vec![0; size],
        }
    }

    fn users(&self) -> LimitUsers {
        LimitUsers {
            is_user: true,
            all: self.gates.len(),
        }
    }

    /// Exchanges reports with an interval and a random delay, both in milliseconds.
    fn exchange(&mut self, now: u64, period_ms: u64, delay_ms: u64, rng: &mut StdRng) {
        let users = self.users();
        let arrived: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, from, to, report) in arrived {
            self.gates[to].record_report(&self.names[from], 1, &report, users, Millis(now));
        }
        for from in 0..self.gates.len() {
            if (now + 37 * from as u64) % period_ms >= STEP_MS {
                continue;
            }
            let Some(report) = self.gates[from].report(true, Millis(now)) else {
                continue;
            };
            for to in 0..self.gates.len() {
                if from != to && !self.is_cut[from] && !self.is_cut[to] {
                    let at = now + rng.random_range(0..=delay_ms);
                    self.reports.push((at, from, to, report));
                }
            }
        }
    }

    /// Offers a request to an instance. Returns whether it sent the request.
    fn offer(&mut self, at: usize, now: u64, stated: Option<f64>) -> bool {
        let users = self.users();
        let gate = &mut self.gates[at];
        if !gate.is_open(users, Millis(now)) {
            return false;
        }
        gate.record_sent(users, Millis(now));
        let news = stated.map_or(News::Unlimited, News::Limited);
        gate.record_response(news, Millis(now));
        self.sent_at.push(now);
        self.sent[at] += 1;
        true
    }

    /// Most requests in any window after `from`.
    fn most_in_window(&self, from: u64) -> usize {
        let later: Vec<u64> = self
            .sent_at
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let in_window = |start: &u64| {
            let inside = |at: &&u64| *at >= start && **at < start + WINDOW_MS;
            later.iter().filter(inside).count()
        };
        later.iter().map(in_window).max().unwrap_or_default()
    }

    fn sent_between(&self, from: u64, to: u64) -> usize {
        self.sent_at
            .iter()
            .filter(|at| (from..to).contains(*at))
            .count()
    }
}

/// Offers requests to every instance by its share of the demand; returns the fleet.
fn play(seed: u64, rate: f64, shares: &[f64], period_ms: u64, cut_at: Option<u64>) -> Fleet {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(shares.len());
    let demand_per_s = 30.0 + 8.0 * rate;
    for now in (0..40_000).step_by(STEP_MS as usize) {
        if cut_at == Some(now) {
            fleet.is_cut[0] = true;
        }
        fleet.exchange(now, period_ms, 40, &mut rng);
        for (at, share) in shares.iter().enumerate() {
            if rng.random_bool((demand_per_s * share * STEP_MS as f64 / 1_000.0).min(1.0)) {
                fleet.offer(at, now, Some(rate));
            }
        }
    }
    fleet
}

#[test_case(1.2, &[0.5, 0.5], 100; "two instances")]
#[test_case(4.1, &[0.9, 0.1], 100; "two unequal instances")]
#[test_case(1.4, &[0.25; MAX_LIMIT_USERS], 1_000; "a large fleet with rare reports")]
#[test_case(40.0, &[0.25; MAX_LIMIT_USERS], 1_000; "a high limit")]
#[test_case(0.3, &[0.25; MAX_LIMIT_USERS], 1_000; "a low limit")]
fn a_limited_upstream_does_not_get_more_than_it_takes(rate: f64, shares: &[f64], period_ms: u64) {
    for seed in 0..30 {
        let fleet = play(seed, rate, shares, period_ms, None);
        let most = fleet.most_in_window(1_000) as f64;
        let allowed = 1.5 * rate * WINDOW_MS as f64 / 1_000.0 + SLACK;
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
        let total = fleet.sent_between(4_000, 40_000) as f64;
        assert!(total <= 36.0 * rate + 2.0 * SLACK, "seed {seed}: {total}");
    }
}

#[test_case(&[1.0, 0.0], 100; "one of two instances")]
#[test_case(&[0.9, 0.1], 100; "mostly one of two")]
#[test_case(&[1.0, 0.0, 0.0, 0.0], 1_000; "one of four with rare reports")]
fn the_rate_goes_to_the_instance_that_has_requests(shares: &[f64], period_ms: u64) {
    for seed in 0..30 {
        let fleet = play(seed, 3.0, shares, period_ms, None);
        let total = fleet.sent_between(4_000, 40_000);
        assert!(total >= 95, "seed {seed}: {total} of 108");
    }
}

#[test_case(100; "frequent reports")]
#[test_case(1_000; "rare reports")]
fn what_is_not_sent_is_not_saved_up_beyond_the_bucket(period_ms: u64) {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(2);
        fleet.offer(0, 0, Some(3.0));
        for now in (STEP_MS..40_000).step_by(STEP_MS as usize) {
            fleet.exchange(now, period_ms, 40, &mut rng);
            if now > 12_000 {
                fleet.offer(0, now, Some(3.0));
            }
            if now > 24_000 {
                fleet.offer(1, now, Some(3.0));
            }
        }
        let most = fleet.most_in_window(0) as f64;
        let allowed = 1.5 * 3.0 * WINDOW_MS as f64 / 1_000.0 + SLACK;
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}

#[test]
fn instances_that_do_not_hear_each_other_do_not_spend_the_rate_twice() {
    for seed in 0..30 {
        let fleet = play(seed, 2.0, &[0.5, 0.5], 100, Some(15_000));
        let most = fleet.most_in_window(1_000);
        assert!(most <= 17, "seed {seed}: {most} in 4 s");
        let total = fleet.sent_between(16_000, 40_000);
        assert!(total <= 54, "seed {seed}: {total} in 24 s");
        assert!(fleet.sent.iter().all(|sent| *sent > 10));
    }
}

#[test]
fn a_limit_is_learned_from_others_and_its_end_too() {
    let users = LimitUsers {
        is_user: true,
        all: 2,
    };
    let (mut first, mut second) = (RateGate::default(), RateGate::default());
    let name: Arc<str> = "first".into();
    first.record_response(News::Limited(2.0), Millis(1_000));
    let report = first.report(true, Millis(1_100)).unwrap();
    assert!(second.record_report(&name, 1, &report, users, Millis(1_120)));
    assert_eq!(second.rate(Millis(1_120)), Some(2.0));
    assert!(!second.is_open(users, Millis(1_120)));
    assert!(second.is_open(users, Millis(2_130)));
    // The second one has heard nothing from the upstream itself, so it has nothing to report.
    assert_eq!(second.report(false, Millis(1_200)), None);
    first.record_response(News::Unlimited, Millis(3_000));
    let report = first.report(true, Millis(3_500)).unwrap();
    assert!(second.record_report(&name, 1, &report, users, Millis(3_510)));
    assert_eq!(second.rate(Millis(3_510)), None);
    assert!(second.is_open(users, Millis(3_510)));
}

#[test]
fn older_news_does_not_replace_newer_news() {
    let mut gate = RateGate::default();
    let name: Arc<str> = "other".into();
    gate.record_response(News::Unlimited, Millis(5_000));
    let old = LimitReport {
        rate_per_s: 1.0,
        age_ms: Some(900),
        sent: 3,
        is_user: true,
    };
    let users = LimitUsers {
        is_user: true,
        all: 2,
    };
    assert!(!gate.record_report(&name, 1, &old, users, Millis(5_500)));
    assert_eq!(gate.rate(Millis(5_500)), None);
}

#[test]
fn a_limit_lapses_when_no_instance_hears_the_upstream() {
    let mut gate = RateGate::default();
    gate.record_response(News::Limited(1.0), Millis(1_000));
    assert!(gate.rate(Millis(30_900)).is_some());
    assert!(gate.rate(Millis(31_100)).is_none());
    assert_eq!(gate.report(true, Millis(31_100)), None);
}

#[test]
fn an_instance_that_does_not_use_the_upstream_sends_nothing() {
    let users = LimitUsers {
        is_user: false,
        all: 4,
    };
    let mut gate = RateGate::default();
    assert!(gate.is_open(users, Millis(0)));
    gate.record_response(News::Limited(5.0), Millis(0));
    assert!(!gate.is_open(users, Millis(20_000)));
}

#[test]
fn the_wait_ends_when_the_gate_opens() {
    let users = LimitUsers {
        is_user: true,
        all: 1,
    };
    let mut gate = RateGate::default();
    gate.record_response(News::Limited(0.8), Millis(0));
    let wait_ms = gate.wait_ms(users, Millis(100));
    assert!(!gate.is_open(users, Millis(100 + wait_ms - 10)));
    assert!(gate.is_open(users, Millis(100 + wait_ms)));
}

#[test]
fn a_very_low_limit_still_lets_a_request_through_for_news_of_its_end() {
    let users = LimitUsers {
        is_user: true,
        all: 1,
    };
    let mut gate = RateGate::default();
    gate.record_response(News::Limited(0.000_1), Millis(0));
    assert!(!gate.is_open(users, Millis(9_000)));
    assert!(gate.is_open(users, Millis(10_000)));
}

#[test_case("1.4", Some(1.4); "decimal")]
#[test_case("12", Some(12.0); "whole")]
#[test_case("0", None; "zero")]
#[test_case("0.0", None; "zero with a point")]
#[test_case("-3", None; "negative")]
#[test_case("+3", None; "with a sign")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinite")]
#[test_case("1e9", None; "exponent")]
#[test_case("99999999", None; "too large")]
#[test_case("", None; "empty")]
#[test_case(".", None; "only a point")]
#[test_case("1.4, 2", None; "two values")]
fn only_a_positive_decimal_is_a_limit(text: &str, expected: Option<f64>) {
    assert_eq!(parse_rate(text).ok(), expected);
}

#[test_case(1)]
#[test_case(3)]
#[test_case(61)]
#[test_case(370)]
fn all_instances_choose_the_same_users(instances: usize) {
    let names: Vec<String> = (0..instances).map(|n| format!("node-{n}")).collect();
    for upstream in ["i-1", "i-2", "i-3"] {
        let among = limit_users_among(names.clone(), upstream);
        for own in &names {
            let others = names.iter().filter(|name| *name != own);
            let users = LimitUsers::choose(own, others.map(String::as_str), upstream);
            assert_eq!(users.is_user, among.contains(own), "{own} of {upstream}");
            assert_eq!(users.all, among.len());
        }
    }
}

/// Reports go by several ways, and an older one may arrive after a newer one.
#[test]
fn a_report_that_arrives_late_takes_no_tokens() {
    let users = LimitUsers {
        is_user: true,
        all: 2,
    };
    let mut gate = RateGate::default();
    gate.record_response(News::Limited(10.0), Millis(0));
    let report = |sent| LimitReport {
        rate_per_s: 10.0,
        age_ms: Some(0),
        sent,
        is_user: true,
    };
    let peer: Arc<str> = "node-1".into();
    gate.record_report(&peer, 1, &report(3), users, Millis(100));
    let before_ms = gate.wait_ms(users, Millis(110));
    gate.record_report(&peer, 1, &report(2), users, Millis(110));
    assert_eq!(gate.wait_ms(users, Millis(110)), before_ms);
}
