//! Seeded runs of the queues: fairness, bounds, deadlines, withdrawn keys.

use carobwheel_core::admit::{
    AdmissionQueues, AdmissionSettings, Dequeued, EnqueueError, QueuedRequest,
};
use carobwheel_core::id::AccountId;
use carobwheel_core::time::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use test_case::test_case;

const QUANTUM: u64 = 1_024;
const MAX_COST: u64 = 12_000;

fn account(index: usize) -> AccountId {
    format!("account-{index}").parse().expect("a name")
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

fn is_placed<P>(next: Option<Dequeued<usize, P>>) -> Option<QueuedRequest<usize>> {
    match next {
        Some(Dequeued::Placed(entry, _)) => Some(entry),
        Some(Dequeued::Withdrawn(_)) | None => None,
    }
}

/// Accounts that wait all the time get tokens by their weights, up to the bound of deficit round
/// robin: a round's share and one request of each.
#[test_case(0.0; "every request finds a place")]
#[test_case(0.4; "places are scarce")]
fn accounts_get_their_share(refusal_share: f64) {
    let weights = [1, 1, 2, 5];
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut admit = AdmissionQueues::new(AdmissionSettings::default());
        let mut placed = [0_u64; 4];
        for _ in 0..2_000 {
            for (index, weight) in weights.iter().enumerate() {
                while admit.queue_len(Some(&account(index)), 0) < 4 {
                    let cost = rng.random_range(1..=MAX_COST);
                    let entry = entry(index, *weight, cost, 0);
                    admit.enqueue(entry, 0, Millis(0)).expect("room");
                }
            }
            let is_free = !rng.random_bool(refusal_share);
            let next = admit.dequeue(|_| true, |_| is_free.then_some(()));
            if let Some(entry) = is_placed(next) {
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
        let bound = (2 * (QUANTUM + MAX_COST)) as f64;
        assert!(most - least <= bound, "seed {seed}: {shares:?}");
    }
}

#[test]
fn a_greedy_account_delays_no_other() {
    let mut admit = AdmissionQueues::new(AdmissionSettings::default());
    for _ in 0..200 {
        admit
            .enqueue(entry(0, 1, 1_000, 0), 0, Millis(0))
            .expect("room");
    }
    admit
        .enqueue(entry(1, 1, 1_000, 0), 0, Millis(0))
        .expect("room");
    let order: Vec<_> = (0..3)
        .filter_map(|_| is_placed(admit.dequeue(|_| true, |_| Some(()))))
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
            .expect("room");
        admit
            .enqueue(entry(1, 1, 100, 0), 0, Millis(0))
            .expect("room");
    }
    let order: Vec<_> = (0..16)
        .filter_map(|_| is_placed(admit.dequeue(|_| true, |_| Some(()))))
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
        .expect("room");
    let next = admit.dequeue(|_| false, |_| -> Option<()> { panic!("placed") });
    assert!(matches!(next, Some(Dequeued::Withdrawn(entry)) if entry.item == 7));
    assert!(admit.is_empty());
}

#[test]
fn refusals_are_early_and_give_the_request_back() {
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
    let (back, full) = admit.enqueue(soon(0), 100, Millis(0)).expect_err("full");
    assert_eq!(
        (back.item, full),
        (0, EnqueueError::QueueFull { wait_ms: 400 })
    );
    // Another account waits for its turn only, and yet too long at 200 ms for each slot.
    let (_, late) = admit.enqueue(soon(1), 200, Millis(0)).expect_err("late");
    assert_eq!(late, EnqueueError::WouldExpire { wait_ms: 400 });
    admit.enqueue(soon(1), 100, Millis(0)).expect("in time");
    assert_eq!(admit.expire(Millis(349)).len(), 0);
    assert_eq!(admit.expire(Millis(350)).len(), 4);
    assert!(admit.is_empty());
}

/// Random arrivals, placements, expiries and removals lose or double no request and keep to the
/// bounds.
#[test]
fn every_request_leaves_once() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = AdmissionSettings {
            max_queue_requests: 10,
            max_requests: 40,
            ..AdmissionSettings::default()
        };
        let mut admit = AdmissionQueues::new(settings);
        let mut inside: HashMap<usize, ()> = HashMap::new();
        let leave = |inside: &mut HashMap<usize, ()>, item| {
            assert!(inside.remove(&item).is_some(), "left twice: {item}");
        };
        for item in 0..3_000 {
            let now = Millis(item as u64 * 10);
            let new = QueuedRequest {
                deadline: now.plus(rng.random_range(1..2_000)),
                item,
                ..entry(
                    rng.random_range(0..8),
                    rng.random_range(1..4),
                    rng.random_range(0..MAX_COST),
                    rng.random_range(0..3),
                )
            };
            if admit.enqueue(new, rng.random_range(0..100), now).is_ok() {
                inside.insert(item, ());
            }
            for gone in admit.expire(now) {
                assert!(gone.deadline <= now);
                leave(&mut inside, gone.item);
            }
            if rng.random_bool(0.1) {
                let chosen = rng.random_range(0..=item);
                for gone in admit.remove_where(|entry| entry.item == chosen) {
                    leave(&mut inside, gone.item);
                }
            }
            for _ in 0..rng.random_range(0..3) {
                let is_allowed = rng.random_bool(0.9);
                let is_free = rng.random_bool(0.6);
                match admit.dequeue(|_| is_allowed, |_| is_free.then_some(())) {
                    Some(Dequeued::Placed(entry, ())) => {
                        assert!(is_allowed && is_free && entry.deadline > now);
                        leave(&mut inside, entry.item);
                    }
                    Some(Dequeued::Withdrawn(entry)) => {
                        assert!(!is_allowed);
                        leave(&mut inside, entry.item);
                    }
                    None => {}
                }
            }
            assert_eq!(admit.len(), inside.len());
            assert!(admit.len() <= 40);
        }
    }
}
