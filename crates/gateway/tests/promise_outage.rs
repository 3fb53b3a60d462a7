//! Tests with real processes while the store is unreachable or instances pause, stop and restart.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::{engine::EngineOptions, proxy::Impairment, store::Availability};
use futures::future::join_all;
use serde_json::json;
use std::time::{Duration, Instant};
use support::{
    eventually, expected_answer, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT, PROPAGATION_LIMIT,
};
use test_case::test_case;

const TOKENS: u64 = 16;

/// A region partitioned from the store receives the document through the other regions.
#[tokio::test]
async fn a_withdrawn_key_stops_working_in_a_region_that_is_cut_off_from_the_store() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    let south = fleet.instance("south").url.clone();
    let reply = caller.chat(&south, "before", false).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    fleet.store_proxies["south"].set_both(Impairment::partitioned());
    fleet.document.entry("accounts", "insurers")["keys"] = json!([]);
    fleet.publish();
    eventually("the key is refused", PROPAGATION_LIMIT, || async {
        let reply = caller.chat(&south, "after", false).await.unwrap();
        (reply.status == 401 && reply.run == "not-run").then_some(())
    })
    .await;
}

#[test_case(Availability::Hanging)]
#[test_case(Availability::Refusing)]
#[tokio::test]
async fn questions_are_answered_while_the_store_is_down(outage: Availability) {
    const QUESTIONS: usize = 60;
    let fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    for instance in &fleet.instances {
        let prompt = format!("before, to {}", instance.id);
        eventually(
            "an instance serves before the outage",
            CONDITION_TIMEOUT,
            || async {
                let reply = caller.chat(&instance.url, &prompt, true).await.unwrap();
                (reply.status == 200).then_some(())
            },
        )
        .await;
    }
    fleet.store.set_availability(outage);
    for number in 0..QUESTIONS {
        let instance = &fleet.instances[number % fleet.instances.len()];
        let prompt = format!("question {number}");
        let reply = caller.chat(&instance.url, &prompt, true).await.unwrap();
        let expected = expected_answer(&prompt, TOKENS);
        assert_eq!(reply.streamed_text(), Some(expected), "{reply:?}");
    }
    fleet.store.set_availability(Availability::Up);
    eventually("actions run again", CONDITION_TIMEOUT, || async {
        let reply = caller
            .confirm(&fleet.instances[0].url, "a-1")
            .await
            .unwrap();
        (reply.status == 200).then_some(())
    })
    .await;
    assert_eq!(fleet.runs("a-1"), 1);
}

/// A region whose instances have never reached the store borrows tokens from the others.
#[tokio::test]
async fn an_instance_that_is_ready_serves_though_its_region_never_reached_the_store() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let index = fleet.instances.iter().position(|it| it.region == "south");
    fleet.remove_instance(index.unwrap());
    let north = &fleet.instance("north").url;
    let caller = Caller::of("insurers");
    let reply = caller.chat(north, "to north", false).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    fleet.store_proxies["south"].set_both(Impairment::partitioned());
    fleet.start_instance("south", "south-9").await;
    let south = &fleet.instance("south").url;
    let reply = caller.chat(south, "to south", false).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// An instance that is replaced during an outage fetches the document from its peers.
#[tokio::test]
async fn a_replaced_instance_gets_the_document_while_the_store_is_down() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    fleet.store.set_availability(Availability::Refusing);
    let index = fleet.instances.iter().position(|it| it.region == "central");
    fleet.remove_instance(index.unwrap());
    fleet.start_instance("central", "central-0").await;
    let url = &fleet.instance("central").url;
    let reply = Caller::of("north-office")
        .chat(url, "hello", false)
        .await
        .unwrap();
    assert_ne!(reply.status, 401, "the account is known: {reply:?}");
}

/// Instances are paused and resumed, and one is replaced, while an account exceeds its rate.
#[tokio::test]
async fn no_client_account_exceeds_its_rate_while_instances_pause_and_are_replaced() {
    const BURST_TOKENS: u64 = 6_000;
    const RATE_TOKENS_PER_S: u64 = 300;
    const OUTPUT_TOKENS: u64 = 50;
    /// The role `user` and the prompt text, at four bytes a token.
    const PROMPT_TOKENS: u64 = (4 + 200) / 4;
    const CALLERS: usize = 18;
    const REQUESTS: usize = 12;
    const PAUSE: Duration = Duration::from_millis(1_500);
    let mut fleet = Fleet::start(FleetOptions {
        instances_in_region: 2,
        engine: EngineOptions {
            answer_tokens: OUTPUT_TOKENS,
            ..EngineOptions::default()
        },
        document: |document| {
            let account = document.entry("accounts", "insurers");
            account["rate_tokens_per_s"] = json!(RATE_TOKENS_PER_S);
            account["burst_tokens"] = json!(BURST_TOKENS);
            document.entry("models", "appraiser")["default_max_output_tokens"] =
                json!(OUTPUT_TOKENS);
        },
        ..FleetOptions::default()
    })
    .await;
    let urls: Vec<_> = fleet.instances.iter().map(|it| it.url.clone()).collect();
    let body = json!({
        "model": "appraiser",
        "messages": [{"role": "user", "content": "x".repeat(200)}],
    })
    .to_string();
    let start = Instant::now();
    let send_requests = |number: usize| {
        let url = format!("{}/v1/chat/completions", urls[number % urls.len()]);
        let (caller, body) = (Caller::of("insurers"), body.clone());
        async move {
            for _ in 0..REQUESTS {
                // Requests to the removed instance fail.
                let _ = support::send(caller.request("POST", &url).body(body.clone())).await;
            }
        }
    };
    let senders = tokio::spawn(join_all((0..CALLERS).map(send_requests)));
    for index in [0, 3] {
        fleet.instances[index].pause();
        tokio::time::sleep(PAUSE).await;
        fleet.instances[index].resume();
    }
    fleet.remove_instance(5);
    fleet.start_instance("south", "south-1").await;
    senders.await.unwrap();
    let elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap();
    let allowed_tokens = BURST_TOKENS + RATE_TOKENS_PER_S * elapsed_ms / 1_000;
    let started: u64 = fleet
        .engines
        .values()
        .map(|engine| engine.counts().started)
        .sum();
    let used_tokens = started * (PROMPT_TOKENS + OUTPUT_TOKENS);
    let report = format!("{used_tokens} of {allowed_tokens} tokens in {elapsed_ms} ms");
    assert!(used_tokens <= allowed_tokens, "{report}");
    assert!(used_tokens > 0, "{report}");
}
