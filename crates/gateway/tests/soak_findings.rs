//! Faults of the daemon that the soak has found, each in its smallest form.

#![allow(clippy::unwrap_used)]

mod support;

use support::{eventually, Caller, Fleet, FleetOptions, SECONDS};
use test_case::test_case;

/// How an instance goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Going {
    Killed,
    Stopped,
}

/// The other instance of the region has a part of every account's rate, and the store is up.
#[test_case(Going::Killed; "killed")]
#[test_case(Going::Stopped; "planned stop")]
#[tokio::test]
async fn accounts_within_their_rate_are_served_seconds_after_an_instance_is_replaced(going: Going) {
    const QUESTIONS: usize = 20;
    let mut fleet = Fleet::start(FleetOptions {
        instances_in_region: 2,
        ..FleetOptions::default()
    })
    .await;
    let callers = ["insurers", "central-office"].map(Caller::of);
    for instance in fleet.instances.iter().filter(|it| it.region == "central") {
        for caller in &callers {
            eventually("a part is held", SECONDS, || async {
                let reply = caller.chat(&instance.url, "before", false).await.unwrap();
                (reply.status == 200).then_some(())
            })
            .await;
        }
    }
    let place = fleet
        .instances
        .iter()
        .position(|it| it.id == "central-1")
        .unwrap();
    if going == Going::Stopped {
        fleet.live_list.set_leaving("central-1");
        fleet.instances[place].terminate();
        fleet.instances[place].exit_status().await;
    }
    fleet.remove_instance(place);
    fleet.start_instance("central", "central-2").await;
    for instance in fleet.instances.iter().filter(|it| it.region == "central") {
        eventually("all questions are answered", SECONDS, || async {
            for (number, caller) in callers.iter().cycle().take(QUESTIONS).enumerate() {
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
