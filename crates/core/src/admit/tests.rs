//! Fault injection: the assertions of the module catch violated bounds.

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
        admit.enqueue(entry, 0, Millis(0)).expect("queue has room");
    }
    admit
}

fn set_deficit(admit: &mut AdmissionQueues<u32>, deficit_tokens: u64) {
    let class = admit.classes.get_mut(&0).expect("a class");
    class.queues.get_mut(&None).expect("a queue").deficit_tokens = deficit_tokens;
}

#[test]
#[should_panic(expected = "exceeds")]
fn deficit_beyond_its_bound_is_caught() {
    let mut admit = admit();
    set_deficit(&mut admit, 1_000_000);
    admit.dequeue(|_| true, |_| Some(()));
}

#[test]
#[should_panic(expected = "placed request exceeds the account's deficit")]
fn placement_beyond_the_deficit_is_caught() {
    let mut admit = admit();
    set_deficit(&mut admit, 4_999);
    let class = admit.classes.get_mut(&0).expect("a class");
    class.deduct_head_cost(&None, 1_024);
}

#[test]
#[should_panic(expected = "admission queue exceeds its bound")]
fn queue_beyond_its_bound_is_caught() {
    let mut admit = admit();
    admit.len = AdmissionSettings::default().max_requests + 1;
    admit.assert_bounded(1);
}
