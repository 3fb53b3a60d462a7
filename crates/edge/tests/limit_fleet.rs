//! Rate limits over several instances whose reports are delayed or lost.

#![allow(clippy::unwrap_used)]

use carobwheel_core::time::Millis;
use carobwheel_edge::limit::{AccountLimit, Bucket, Fleet, SummedDemand};
use rand::{rngs::StdRng, Rng as _, SeedableRng as _};
use std::sync::Arc;
use test_case::test_case;

const INSTANCES: usize = 6;
const WINDOW_MS: u64 = 8_000;
const LIMIT: AccountLimit = AccountLimit {
    tokens_per_s: 180_000.0,
    burst_tokens: 180_000.0,
    slack_tokens: EXTRA_TOKENS / 2.0,
};
/// Share and tokens by which a deployment allows rate and burst to be exceeded.
const OVER_SHARE: f64 = 0.1;
const EXTRA_TOKENS: f64 = 110_000.0;

/// Maximum number of tokens granted within one window. All instances together request `load` times
/// the rate, and receive each other's reports after `delay_ms`, or not at all from 6 s to 14 s if
/// `is_partitioned`.
fn max_in_window(seed: u64, load: f64, delay_ms: u64, is_partitioned: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Fleet {
        instances: INSTANCES,
        reachable: INSTANCES,
    };
    let mut buckets: Vec<Bucket> = (0..INSTANCES)
        .map(|_| Bucket::new(&LIMIT, start, Millis(0)))
        .collect();
    let names: Vec<Arc<str>> = (0..INSTANCES)
        .map(|n| format!("i{n}").as_str().into())
        .collect();
    let mut granted: Vec<(u64, f64)> = Vec::new();
    let mut reports: Vec<(u64, usize, u64)> = Vec::new();
    for now in (0..20_000).step_by(10) {
        let is_partitioned_now = is_partitioned && (6_000..14_000).contains(&now);
        // The loss of contact is detected after 700 ms.
        let is_silent = is_partitioned && (6_700..14_000).contains(&now);
        let fleet = Fleet {
            instances: INSTANCES,
            reachable: if is_silent { 1 } else { INSTANCES },
        };
        for (n, bucket) in buckets.iter_mut().enumerate() {
            let tokens = rng.random_range(100..3_000);
            let per_step = load * LIMIT.tokens_per_s / 100.0 / INSTANCES as f64;
            let is_request = rng.random::<f64>() < per_step / 1_550.0;
            if is_request && bucket.take(tokens, &LIMIT, fleet, Millis(now)).is_ok() {
                granted.push((now, tokens as f64));
            }
            if now % 100 == 0 && !is_partitioned_now {
                reports.push((now + delay_ms, n, bucket.requested_tokens()));
            }
        }
        reports.retain(|(at, from, requested)| {
            if *at > now {
                return true;
            }
            for (n, bucket) in buckets.iter_mut().enumerate() {
                if n != *from {
                    bucket.update_peer_demand(&names[*from], 1, *requested, Millis(now));
                }
            }
            false
        });
    }
    let mut max_granted = 0.0_f64;
    for (first, _) in &granted {
        let window = granted
            .iter()
            .filter(|(at, _)| (*first..first + WINDOW_MS).contains(at));
        max_granted = max_granted.max(window.map(|(_, tokens)| tokens).sum());
    }
    max_granted
}

#[test_case(1.5, 20, false; "in one region, above the rate")]
#[test_case(5.0, 20, false; "in one region, far above the rate")]
#[test_case(5.0, 330, false; "in another region, far above the rate")]
#[test_case(5.0, 330, true; "during a network partition")]
fn fleet_stays_within_the_rate_limit(load: f64, delay_ms: u64, is_partitioned: bool) {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let rated = LIMIT.tokens_per_s * window_s + LIMIT.burst_tokens;
    let allowed = rated * (1.0 + OVER_SHARE) + EXTRA_TOKENS;
    for seed in 0..10 {
        let max_granted = max_in_window(seed, load, delay_ms, is_partitioned);
        assert!(
            max_granted <= allowed,
            "seed {seed}: {max_granted} of {allowed}"
        );
    }
}

#[test]
fn account_below_its_rate_is_never_refused() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let fleet = Fleet {
            instances: 1,
            reachable: 1,
        };
        let mut bucket = Bucket::new(&LIMIT, fleet, Millis(0));
        for now in (0..20_000).step_by(10) {
            let tokens = rng.random_range(100..3_000);
            assert!(
                bucket.take(tokens, &LIMIT, fleet, Millis(now)).is_ok(),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn refusal_returns_the_time_until_tokens_are_available() {
    let limit = AccountLimit {
        slack_tokens: 0.0,
        ..LIMIT
    };
    let fleet = Fleet {
        instances: 1,
        reachable: 1,
    };
    let mut bucket = Bucket::new(&limit, fleet, Millis(0));
    bucket.take(180_000, &limit, fleet, Millis(0)).unwrap();
    let wait_ms = bucket.take(18_000, &limit, fleet, Millis(0)).unwrap_err();
    assert_eq!(wait_ms, 100);
    assert!(bucket.take(18_000, &limit, fleet, Millis(wait_ms)).is_ok());
}

/// Instances of a large region whose reports go by way of a delegate, which adds them up.
const REGION: usize = 24;
/// Interval of reports and of sums, in milliseconds.
const PERIOD_MS: u64 = 250;

/// Maximum number of tokens granted within one window, with the reports of `REGION` instances added up by
/// the first one. The delegate is silent from 6 s to 9 s if `is_lost`.
fn max_in_window_with_delegate(seed: u64, load: f64, is_lost: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let fleet = Fleet {
        instances: REGION,
        reachable: REGION,
    };
    let mut buckets: Vec<Bucket> = (0..REGION)
        .map(|_| Bucket::new(&LIMIT, fleet, Millis(0)))
        .collect();
    let names: Vec<Arc<str>> = (0..REGION)
        .map(|n| format!("i{n}").as_str().into())
        .collect();
    let mut granted: Vec<(u64, f64)> = Vec::new();
    for now in (0..20_000).step_by(10) {
        for bucket in &mut buckets {
            let tokens = rng.random_range(100..3_000);
            let per_step = load * LIMIT.tokens_per_s / 100.0 / REGION as f64;
            let is_request = rng.random::<f64>() < per_step / 1_550.0;
            if is_request && bucket.take(tokens, &LIMIT, fleet, Millis(now)).is_ok() {
                granted.push((now, tokens as f64));
            }
        }
        let is_silent = is_lost && (6_000..9_000).contains(&now);
        if now % PERIOD_MS != 0 || is_silent {
            continue;
        }
        let (delegate, others) = buckets.split_first_mut().unwrap();
        for (bucket, name) in others.iter_mut().zip(&names[1..]) {
            let requested = bucket.requested_tokens();
            let per_s = delegate.summed_demand(|source| *source != **name, Millis(now));
            let sum = SummedDemand {
                per_s,
                instances: REGION - 1,
            };
            delegate.update_peer_demand(name, 1, requested, Millis(now));
            bucket.update_summed_demand(&names[0], sum, Millis(now));
        }
    }
    let in_window = |first: u64| -> f64 {
        let window = granted
            .iter()
            .filter(|(at, _)| (first..first + WINDOW_MS).contains(at));
        window.map(|(_, tokens)| tokens).sum()
    };
    granted
        .iter()
        .map(|(first, _)| in_window(*first))
        .fold(0.0, f64::max)
}

#[test_case(1.5, false; "above the rate")]
#[test_case(5.0, false; "far above the rate")]
#[test_case(5.0, true; "while the delegate is silent")]
fn fleet_stays_within_the_rate_limit_with_sums(load: f64, is_lost: bool) {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let rated = LIMIT.tokens_per_s * window_s + LIMIT.burst_tokens;
    let allowed = rated * (1.0 + OVER_SHARE) + EXTRA_TOKENS;
    for seed in 0..10 {
        let max_granted = max_in_window_with_delegate(seed, load, is_lost);
        assert!(
            max_granted <= allowed,
            "seed {seed}: {max_granted} of {allowed}"
        );
    }
}

/// Instances of a fleet in which requests of one account are rare at each of them.
const LARGE_FLEET: usize = 195;
/// Tokens of a request with a long prompt.
const LONG_REQUEST_TOKENS: u64 = 9_190;
/// Age of the sums that the instances know, in milliseconds.
const SUM_AGE_MS: u64 = 750;
/// Time at which the demand jumps, in milliseconds.
const JUMP_MS: u64 = 10_000;

/// Share of the requests that are refused before the demand jumps from `before` to `after` times the
/// rate, and the maximum number of tokens granted within one window.
fn play_long_requests(seed: u64, limit: &AccountLimit, before: f64, after: f64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let fleet = Fleet {
        instances: LARGE_FLEET,
        reachable: LARGE_FLEET,
    };
    let source: Arc<str> = "delegate".into();
    let mut buckets: Vec<Bucket> = (0..LARGE_FLEET)
        .map(|_| Bucket::new(limit, fleet, Millis(0)))
        .collect();
    let mut asked: Vec<(u64, usize)> = Vec::new();
    let mut granted: Vec<u64> = Vec::new();
    let (mut offered, mut refused) = (0.0, 0.0);
    for now in (0..2 * JUMP_MS).step_by(10) {
        if now % PERIOD_MS == 0 {
            // Demand of the last second, as it was when the sums were made.
            let seen = asked.iter().filter(|(at, _)| {
                let age_ms = now - at;
                (SUM_AGE_MS..SUM_AGE_MS + 1_000).contains(&age_ms)
            });
            let per_s = seen.count() as f64 * LONG_REQUEST_TOKENS as f64;
            let sum = SummedDemand {
                per_s,
                instances: LARGE_FLEET - 1,
            };
            for bucket in &mut buckets {
                bucket.update_summed_demand(&source, sum, Millis(now));
            }
        }
        let load = if now < JUMP_MS { before } else { after };
        let requests = load * limit.tokens_per_s / 100.0 / LONG_REQUEST_TOKENS as f64;
        if rng.random::<f64>() >= requests {
            continue;
        }
        let at = rng.random_range(0..LARGE_FLEET);
        asked.push((now, at));
        let is_granted = buckets[at]
            .take(LONG_REQUEST_TOKENS, limit, fleet, Millis(now))
            .is_ok();
        if is_granted {
            granted.push(now);
        }
        if now < JUMP_MS {
            offered += 1.0;
            refused += f64::from(u8::from(!is_granted));
        }
    }
    let in_window = |first: &u64| {
        let window = granted
            .iter()
            .filter(|at| (*first..first + WINDOW_MS).contains(at));
        window.count() as f64 * LONG_REQUEST_TOKENS as f64
    };
    let most = granted.iter().map(in_window).fold(0.0, f64::max);
    (refused / offered, most)
}

/// The parts of a bucket that hundreds of instances have are smaller than one long request. While the
/// account uses little of its rate, its requests are not refused for that.
#[test_case(0.1; "a tenth of the rate")]
#[test_case(0.4; "four tenths of the rate")]
fn long_requests_of_an_account_below_its_rate_are_served_by_a_large_fleet(load: f64) {
    for seed in 0..10 {
        let (refused, _) = play_long_requests(seed, &LIMIT, load, load);
        assert!(refused <= 0.01, "seed {seed}: {refused} refused");
    }
}

#[test_case(180_000.0, 180_000.0, 2.5; "some times the rate")]
#[test_case(180_000.0, 180_000.0, 5.0; "many times the rate")]
#[test_case(60_000.0, 120_000.0, 5.0; "many times a low rate")]
#[test_case(900_000.0, 900_000.0, 0.9; "a high rate, which is not exceeded")]
fn a_jump_of_long_requests_stays_within_the_limit(rate: f64, burst: f64, after: f64) {
    let limit = AccountLimit {
        tokens_per_s: rate,
        burst_tokens: burst,
        slack_tokens: EXTRA_TOKENS / 2.0,
    };
    let rated = rate * WINDOW_MS as f64 / 1_000.0 + burst;
    let allowed = rated * (1.0 + OVER_SHARE) + EXTRA_TOKENS;
    for seed in 0..10 {
        let (_, most) = play_long_requests(seed, &limit, 0.3, after);
        assert!(most <= allowed, "seed {seed}: {most} of {allowed}");
    }
}
