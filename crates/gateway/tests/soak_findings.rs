//! Minimal regression tests for daemon faults found by the soak test.

#![allow(clippy::unwrap_used)]

mod support;

use support::{eventually, Caller, Fleet, FleetOptions, PROPAGATION_LIMIT};
use test_case::test_case;

/// Way in which an instance is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Removal {
    Killed,
    Stopped,
}

/// The region's other instance holds a part of every account's bucket, and the store is up.
#[test_case(Removal::Killed, "insurers"; "killed free")]
#[test_case(Removal::Killed, "central-office"; "killed bound")]
#[test_case(Removal::Stopped, "insurers"; "stopped free")]
#[test_case(Removal::Stopped, "central-office"; "stopped bound")]
#[tokio::test]
async fn an_account_within_its_rate_is_served_seconds_after_an_instance_is_replaced(
    removal: Removal,
    account: &str,
) {
    const QUESTIONS: usize = 20;
    let mut fleet = Fleet::start(FleetOptions {
        instances_in_region: 2,
        ..FleetOptions::default()
    })
    .await;
    let caller = Caller::of(account);
    for instance in fleet.instances.iter().filter(|it| it.region == "central") {
        eventually("the account is served", PROPAGATION_LIMIT, || async {
            let reply = caller.chat(&instance.url, "before", false).await.unwrap();
            (reply.status == 200).then_some(())
        })
        .await;
    }
    let index = fleet
        .instances
        .iter()
        .position(|it| it.id == "central-1")
        .unwrap();
    if removal == Removal::Stopped {
        fleet.live_list.set_leaving("central-1");
        fleet.instances[index].terminate();
        fleet.instances[index].exit_status().await;
    }
    fleet.remove_instance(index);
    fleet.start_instance("central", "central-2").await;
    for instance in fleet.instances.iter().filter(|it| it.region == "central") {
        eventually("all questions are answered", PROPAGATION_LIMIT, || async {
            for number in 0..QUESTIONS {
                let prompt = format!("question {number}");
                let reply = caller.chat(&instance.url, &prompt, false).await.unwrap();
                if reply.status != 200 {
                    return None;
                }
            }
            Some(())
        })
        .await;
    }
}
