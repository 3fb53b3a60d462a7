//! Promises to operators, tested with real processes.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::{
    engine::EngineOptions,
    store::{self, StoreOptions},
};
use futures::future::join_all;
use serde_json::json;
use support::{
    eventually, expected_answer, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT, PROPAGATION_LIMIT,
};

#[tokio::test]
async fn a_leaving_upstream_gets_no_new_requests_after_a_few_seconds() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    let north = fleet.instance("north").url.clone();
    caller.chat(&north, "before", false).await.unwrap();
    assert_eq!(
        fleet.engines["north"].counts().requests,
        1,
        "the engine in the same region is preferred"
    );
    fleet.document.entry("upstreams", "north-engine")["leaving"] = json!(true);
    fleet.publish();
    eventually(
        "new requests go to another engine",
        PROPAGATION_LIMIT,
        || async {
            let before = fleet.engines["north"].counts().requests;
            let reply = caller.chat(&north, "during", false).await.unwrap();
            assert_eq!(reply.status, 200, "{reply:?}");
            (fleet.engines["north"].counts().requests == before).then_some(())
        },
    )
    .await;
    let before = fleet.engines["north"].counts().requests;
    for _ in 0..30 {
        let reply = caller.chat(&north, "after", false).await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(fleet.engines["north"].counts().requests, before);
}

/// Requests were sent to a leaving engine for as long as the document did not say so.
#[tokio::test]
async fn an_engine_that_says_in_its_answers_that_it_leaves_gets_no_more_requests() {
    let fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    let north = fleet.instance("north").url.clone();
    fleet.engines["north"].set_leaving(true);
    for is_stream in [false, true] {
        caller.chat(&north, "stated", is_stream).await.unwrap();
    }
    let before = fleet.engines["north"].counts().requests;
    assert!(before > 0, "the engine in the same region is preferred");
    for number in 0..30 {
        let reply = caller.chat(&north, "after", number % 2 == 0).await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(fleet.engines["north"].counts().requests, before);
}

#[tokio::test]
async fn a_planned_stop_is_a_graceful_shutdown_it_cuts_no_request() {
    const TOKENS: u64 = 120;
    const CALLERS: usize = 12;
    let engine = EngineOptions {
        answer_tokens: TOKENS,
        token_ms: 10,
        ..EngineOptions::default()
    };
    let mut fleet = Fleet::start_with_engines(engine).await;
    let url = fleet.instance("north").url.clone();
    let send_question = |number: usize| {
        let url = url.clone();
        async move {
            let prompt = format!("question {number}");
            let reply = Caller::of("insurers")
                .chat(&url, &prompt, number.is_multiple_of(2))
                .await
                .unwrap();
            (number, prompt, reply)
        }
    };
    let pending = tokio::spawn(join_all((0..CALLERS).map(send_question)));
    eventually("all requests are running", CONDITION_TIMEOUT, || async {
        let started: u64 = fleet
            .engines
            .values()
            .map(|engine| engine.counts().started)
            .sum();
        (started == CALLERS as u64).then_some(())
    })
    .await;
    fleet.instance("north").terminate();
    for (number, prompt, reply) in pending.await.unwrap() {
        let text = if number.is_multiple_of(2) {
            reply.streamed_text()
        } else {
            reply.whole_text()
        };
        assert_eq!(text, Some(expected_answer(&prompt, TOKENS)), "{reply:?}");
    }
    let stopped = fleet
        .instances
        .iter_mut()
        .find(|instance| instance.region == "north");
    let status = stopped.unwrap().exit_status().await;
    assert_eq!(status.code(), Some(0));
}

async fn models(caller: &Caller, url: &str) -> Vec<String> {
    let answer = caller
        .request("GET", &format!("{url}/v1/models"))
        .send()
        .await
        .unwrap();
    let list: serde_json::Value = serde_json::from_slice(&answer.bytes().await.unwrap()).unwrap();
    let ids = list["data"]
        .as_array()
        .unwrap()
        .iter()
        .map(|model| model["id"].as_str().unwrap());
    ids.map(str::to_owned).collect()
}

#[tokio::test]
async fn an_accepted_configuration_is_in_force_everywhere_within_seconds_and_never_reverts() {
    let mut fleet = Fleet::start(FleetOptions {
        instances_in_region: 2,
        ..FleetOptions::default()
    })
    .await;
    let caller = Caller::of("insurers");
    let old_document = fleet.document.to_json();
    let mut model = fleet.document.entry("models", "appraiser").clone();
    model["id"] = json!("expert");
    let mut engine = fleet.document.entry("upstreams", "north-engine").clone();
    engine["id"] = json!("north-expert");
    engine["serves"]["model"] = json!("expert");
    fleet.document.list("models").push(model);
    fleet.document.list("upstreams").push(engine);
    // A watch connection stays silent, as lost connections can.
    fleet.store_proxies["central"].freeze_existing();
    fleet.publish();
    for instance in &fleet.instances {
        eventually("the document is in force", PROPAGATION_LIMIT, || async {
            (models(&caller, &instance.url).await.len() == 2).then_some(())
        })
        .await;
    }
    // An invalid document must not be applied, not even in part.
    let valid = fleet.document.to_json();
    fleet.store.set_value(
        "config/document",
        valid.replace("\"schema\":1", "\"schema\":9").as_bytes(),
    );
    // A store restored with an older revision must not revert anything.
    let old_store = store::start(&StoreOptions::default()).unwrap();
    old_store.set_value("config/document", old_document.as_bytes());
    for proxy in fleet.store_proxies.values() {
        proxy.set_upstream(old_store.addr());
        proxy.close_connections();
    }
    eventually(
        "all instances watch the older store",
        CONDITION_TIMEOUT,
        || async {
            (old_store.counts().open_watches >= fleet.instances.len() as u64).then_some(())
        },
    )
    .await;
    for instance in &fleet.instances {
        assert_eq!(
            models(&caller, &instance.url).await,
            ["appraiser", "expert"]
        );
    }
}
