//! Planted faults: each assertion of the module stops a program that breaks its promise.

use super::{AdmissionQueues, AdmissionSettings, QueuedRequest};
use crate::time::Millis;

fn admit() -> AdmissionQueues<u32> {
    let mut admit = AdmissionQueues::new(AdmissionSettings::default());
    for item in 0..2 {
        let entry = QueuedRequest {
            account: None,
            weight: 1,
            priority: 0,
            cost_tokens: 5_000,
            deadline: Millis(1_000),
            item,
        };
        admit.enqueue(entry, 0, Millis(0)).expect("room");
    }
    admit
}

fn set_deficit(admit: &mut AdmissionQueues<u32>, deficit_tokens: u64) {
    let class = admit.classes.get_mut(&0).expect("a class");
    class.queues.get_mut(&None).expect("a queue").deficit_tokens = deficit_tokens;
}

#[test]
#[should_panic(expected = "exceeds")]
fn an_account_that_saves_up_more_than_a_round_is_noticed() {
    let mut admit = admit();
    set_deficit(&mut admit, 1_000_000);
    admit.dequeue(|_| true, |_| Some(()));
}

#[test]
#[should_panic(expected = "placed more tokens than the account's share")]
fn a_request_that_is_placed_without_its_share_is_noticed() {
    let mut admit = admit();
    set_deficit(&mut admit, 4_999);
    let class = admit.classes.get_mut(&0).expect("a class");
    class.deduct_head_cost(&None, 1_024);
}

#[test]
#[should_panic(expected = "a queue exceeds its bound")]
fn a_queue_beyond_its_bound_is_noticed() {
    let mut admit = admit();
    admit.len = AdmissionSettings::default().max_requests + 1;
    admit.assert_bounded(1);
}
