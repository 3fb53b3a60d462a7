//! Tests of partitions between regions with a one-way delay of 80 ms.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::{engine::EngineOptions, proxy::Impairment};
use support::{
    eventually, expected_answer, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT, REGIONS,
};

const TOKENS: u64 = 30;
/// One-way delay between regions, in milliseconds.
const DELAY_MS: u64 = 80;

async fn fleet() -> Fleet {
    Fleet::start(FleetOptions {
        engine: EngineOptions {
            answer_tokens: TOKENS,
            ..EngineOptions::default()
        },
        link_delay_ms: Some(DELAY_MS),
        ..FleetOptions::default()
    })
    .await
}

/// Waits until a request bound to one region is served through an instance of another.
async fn wait_for_forwarding(fleet: &Fleet) {
    let caller = Caller::of("south-office");
    let north = &fleet.instance("north").url;
    eventually(
        "a forwarded request is served",
        CONDITION_TIMEOUT,
        || async {
            let reply = caller.chat(north, "across", false).await.unwrap();
            let expected = expected_answer("across", TOKENS);
            (reply.whole_text() == Some(expected)).then_some(())
        },
    )
    .await;
}

#[tokio::test]
async fn partitioned_regions_keep_serving_and_reconnect_afterwards() {
    let fleet = fleet().await;
    wait_for_forwarding(&fleet).await;
    let served_locally = fleet.engines["south"].counts().requests;
    for link in fleet.links.values() {
        link.set_both(Impairment::partitioned());
    }
    for region in REGIONS {
        let url = &fleet.instance(region).url;
        for account in ["insurers", &format!("{region}-office")] {
            let prompt = format!("{account} in {region}");
            let reply = Caller::of(account).chat(url, &prompt, true).await.unwrap();
            let expected = expected_answer(&prompt, TOKENS);
            assert_eq!(reply.streamed_text(), Some(expected), "{reply:?}");
        }
    }
    assert!(fleet.engines["south"].counts().requests > served_locally);
    let caller = Caller::of("south-office");
    let north = &fleet.instance("north").url;
    let reply = eventually(
        "the home region is reported as unreachable",
        CONDITION_TIMEOUT,
        || async {
            let reply = caller.chat(north, "cut off", false).await.unwrap();
            assert_ne!(reply.status, 200, "{reply:?}");
            (reply.run == "not-run").then_some(reply)
        },
    )
    .await;
    assert_eq!(reply.status, 421, "{reply:?}");
    assert_eq!(fleet.engines["north"].count_containing("cut off"), 0);
    assert_eq!(fleet.engines["central"].count_containing("cut off"), 0);
    for link in fleet.links.values() {
        link.set_both(Impairment::delayed(DELAY_MS));
    }
    wait_for_forwarding(&fleet).await;
}

/// Existing connections go silent, as after a middlebox has lost its flow state; new ones work.
#[tokio::test]
async fn links_that_go_silent_for_good_are_replaced() {
    let fleet = fleet().await;
    wait_for_forwarding(&fleet).await;
    for link in fleet.links.values() {
        link.freeze_existing();
    }
    wait_for_forwarding(&fleet).await;
}
