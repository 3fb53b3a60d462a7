//! Seeded tests of the admission queues: fairness, bounds, deadlines and withdrawn keys.

use carobwheel_core::admit::{
    AdmissionQueues, AdmissionSettings, Dequeued, EnqueueError, QueuedRequest,
};
use carobwheel_core::id::AccountId;
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use test_case::test_case;

const QUANTUM_TOKENS: u64 = 1_024;
const MAX_COST_TOKENS: u64 = 12_000;

fn account(index: usize) -> AccountId {
    format!("account-{index}")
        .parse()
        .expect("a valid identifier")
}

fn entry(index: usize, weight: u32, cost_tokens: u64, priority: u8) -> QueuedRequest<usize> {
    QueuedRequest {
        account: Some(account(index)),
        weight,
        priority,
        cost_tokens,
        deadline: Millis(1_000_000),
        item: index,
    }
}

fn placed_request<P>(next: Option<Dequeued<usize, P>>) -> Option<QueuedRequest<usize>> {
    match next {
        Some(Dequeued::Placed(entry, _)) => Some(entry),
        Some(Dequeued::Withdrawn(_)) | None => None,
    }
}

/// Accounts that always have waiting requests get tokens in proportion to their weights, up to the
/// bound of deficit round robin: one round's share and one request of each.
#[test_case(0.0; "every request is placed")]
#[test_case(0.4; "upstream slots are scarce")]
fn accounts_get_their_share(refusal_share: f64) {
    let weights = [1, 1, 2, 5];
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut admit = AdmissionQueues::new(AdmissionSettings::default());
        let mut placed = [0_u64; 4];
        for _ in 0..2_000 {
            for (index, weight) in weights.iter().enumerate() {
                while admit.queue_len(Some(&account(index)), 0) < 4 {
                    let cost = rng.random_range(1..=MAX_COST_TOKENS);
                    let entry = entry(index, *weight, cost, 0);
                    admit.enqueue(entry, 0, Millis(0)).expect("queue has room");
                }
            }
            let has_free_slot = !rng.random_bool(refusal_share);
            let next = admit.dequeue(|_| true, |_| has_free_slot.then_some(()));
            if let Some(entry) = placed_request(next) {
                placed[entry.item] += entry.cost_tokens;
            }
        }
        let shares: Vec<_> = placed
            .iter()
            .zip(weights)
            .map(|(tokens, weight)| *tokens as f64 / f64::from(weight))
            .collect();
        let most = shares.iter().copied().fold(0.0, f64::max);
        let least = shares.iter().copied().fold(f64::MAX, f64::min);
        let bound = (2 * (QUANTUM_TOKENS + MAX_COST_TOKENS)) as f64;
        assert!(most - least <= bound, "seed {seed}: {shares:?}");
    }
}

#[test]
fn a_heavy_account_does_not_delay_others() {
    let mut admit = AdmissionQueues::new(AdmissionSettings::default());
    for _ in 0..200 {
        admit
            .enqueue(entry(0, 1, 1_000, 0), 0, Millis(0))
            .expect("queue has room");
    }
    admit
        .enqueue(entry(1, 1, 1_000, 0), 0, Millis(0))
        .expect("queue has room");
    let order: Vec<_> = (0..3)
        .filter_map(|_| placed_request(admit.dequeue(|_| true, |_| Some(()))))
        .map(|entry| entry.item)
        .collect();
    assert!(order.contains(&1), "{order:?}");
}

#[test]
fn long_requests_do_not_delay_short_ones_and_are_not_starved() {
    let mut admit = AdmissionQueues::new(AdmissionSettings::default());
    for _ in 0..100 {
        admit
            .enqueue(entry(0, 1, 10_000, 1), 0, Millis(0))
            .expect("queue has room");
        admit
            .enqueue(entry(1, 1, 100, 0), 0, Millis(0))
            .expect("queue has room");
    }
    let order: Vec<_> = (0..16)
        .filter_map(|_| placed_request(admit.dequeue(|_| true, |_| Some(()))))
        .map(|entry| entry.priority)
        .collect();
    assert_eq!(order.iter().filter(|priority| **priority == 1).count(), 2);
    assert!(order.starts_with(&[0; 7]));
}

#[test]
fn a_withdrawn_key_is_checked_again_at_placement() {
    let mut admit = AdmissionQueues::new(AdmissionSettings::default());
    admit
        .enqueue(entry(7, 1, 10, 0), 0, Millis(0))
        .expect("queue has room");
    let next = admit.dequeue(|_| false, |_| -> Option<()> { panic!("placed") });
    assert!(matches!(next, Some(Dequeued::Withdrawn(entry)) if entry.item == 7));
    assert!(admit.is_empty());
}

#[test]
fn enqueue_errors_are_early_and_return_the_request() {
    let settings = AdmissionSettings {
        max_queue_requests: 3,
        ..AdmissionSettings::default()
    };
    let mut admit = AdmissionQueues::new(settings);
    let soon = |item| QueuedRequest {
        deadline: Millis(350),
        ..entry(item, 1, 10, 0)
    };
    for item in 0..3 {
        admit.enqueue(soon(0), 100, Millis(0)).expect("in time");
        assert_eq!(admit.len(), item + 1);
    }
    let (returned, full) = admit.enqueue(soon(0), 100, Millis(0)).expect_err("full");
    assert_eq!(
        (returned.item, full),
        (0, EnqueueError::QueueFull { wait_ms: 400 })
    );
    // Another account waits for only one request of the first, but too long at 200 ms per slot.
    let (_, late) = admit.enqueue(soon(1), 200, Millis(0)).expect_err("late");
    assert_eq!(late, EnqueueError::WouldExpire { wait_ms: 400 });
    admit.enqueue(soon(1), 100, Millis(0)).expect("in time");
    assert_eq!(admit.expire(Millis(349)).len(), 0);
    assert_eq!(admit.expire(Millis(350)).len(), 4);
    assert!(admit.is_empty());
}

/// Random arrivals, placements, expiries and removals neither lose nor duplicate a request, and the
/// queues stay within their bounds.
#[test]
fn every_request_leaves_its_queue_once() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = AdmissionSettings {
            max_queue_requests: 10,
            max_requests: 40,
            ..AdmissionSettings::default()
        };
        let mut admit = AdmissionQueues::new(settings);
        let mut queued: HashMap<usize, ()> = HashMap::new();
        let leave = |queued: &mut HashMap<usize, ()>, item| {
            assert!(
                queued.remove(&item).is_some(),
                "request {item} left its queue twice"
            );
        };
        for item in 0..3_000 {
            let now = Millis(item as u64 * 10);
            let new = QueuedRequest {
                deadline: now.plus(rng.random_range(1..2_000)),
                item,
                ..entry(
                    rng.random_range(0..8),
                    rng.random_range(1..4),
                    rng.random_range(0..MAX_COST_TOKENS),
                    rng.random_range(0..3),
                )
            };
            if admit.enqueue(new, rng.random_range(0..100), now).is_ok() {
                queued.insert(item, ());
            }
            for gone in admit.expire(now) {
                assert!(gone.deadline <= now);
                leave(&mut queued, gone.item);
            }
            if rng.random_bool(0.1) {
                let chosen = rng.random_range(0..=item);
                for gone in admit.remove_where(|entry| entry.item == chosen) {
                    leave(&mut queued, gone.item);
                }
            }
            for _ in 0..rng.random_range(0..3) {
                let is_allowed = rng.random_bool(0.9);
                let has_free_slot = rng.random_bool(0.6);
                match admit.dequeue(|_| is_allowed, |_| has_free_slot.then_some(())) {
                    Some(Dequeued::Placed(entry, ())) => {
                        assert!(is_allowed && has_free_slot && entry.deadline > now);
                        leave(&mut queued, entry.item);
                    }
                    Some(Dequeued::Withdrawn(entry)) => {
                        assert!(!is_allowed);
                        leave(&mut queued, entry.item);
                    }
                    None => {}
                }
            }
            assert_eq!(admit.len(), queued.len());
            assert!(admit.len() <= 40);
        }
    }
}
