//! Tests with real processes whose store goes back to an older copy.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::{json, Value};
use support::{eventually, Caller, Fleet, FleetOptions, PROPAGATION_LIMIT};
use test_case::test_case;

/// Waits until every instance answers the caller with this status.
async fn wait_for_status(fleet: &Fleet, caller: &Caller, status: u16) {
    for instance in &fleet.instances {
        eventually("the status", PROPAGATION_LIMIT, || async {
            let reply = caller.chat(&instance.url, "hello", false).await.unwrap();
            (reply.status == status).then_some(())
        })
        .await;
    }
}

/// Changes that are lost with a restore: `writes` of another key, and the withdrawal of a key.
fn lose_writes(fleet: &mut Fleet, writes: usize) -> Vec<Value> {
    for number in 0..writes {
        fleet
            .store
            .set_value("other", number.to_string().as_bytes());
    }
    let keys = std::mem::take(
        fleet.document.entry("accounts", "insurers")["keys"]
            .as_array_mut()
            .unwrap(),
    );
    fleet.publish();
    keys
}

#[test_case(100; "revisions go back")]
#[test_case(0; "revisions go back a little")]
#[tokio::test]
async fn a_document_written_after_a_restore_is_in_force_and_the_copy_is_not(writes: usize) {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    wait_for_status(&fleet, &caller, 200).await;
    let copy = fleet.store.copy();
    let keys = lose_writes(&mut fleet, writes);
    wait_for_status(&fleet, &caller, 401).await;
    fleet.store.restore(&copy);
    // The copy holds the withdrawn key.
    let until = tokio::time::Instant::now() + PROPAGATION_LIMIT / 2;
    while tokio::time::Instant::now() < until {
        for instance in &fleet.instances {
            let reply = caller.chat(&instance.url, "hello", false).await.unwrap();
            assert_eq!(reply.status, 401, "{reply:?}");
        }
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    fleet.document.entry("accounts", "insurers")["keys"] = json!(keys);
    fleet.publish();
    wait_for_status(&fleet, &caller, 200).await;
    fleet.document.entry("accounts", "insurers")["keys"] = json!([]);
    fleet.publish();
    wait_for_status(&fleet, &caller, 401).await;
}
