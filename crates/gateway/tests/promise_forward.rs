//! Forwarding of bound accounts' requests that reach an instance of another region.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_standin::{engine::EngineOptions, proxy::Impairment};
use futures::future::join_all;
use std::time::Duration;
use support::{
    eventually, expected_answer, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT, PROPAGATION_LIMIT,
};
use test_case::test_case;

const TOKENS: u64 = 50;
/// One-way delay of links that can be interrupted, in milliseconds.
const LINK_DELAY_MS: u64 = 10;

async fn fleet() -> Fleet {
    let engine = EngineOptions {
        answer_tokens: TOKENS,
        ..EngineOptions::default()
    };
    Fleet::start_with_engines(engine).await
}

#[test_case(true; "streamed")]
#[test_case(false; "whole")]
#[tokio::test]
async fn a_bound_request_is_served_in_its_home_region_whichever_instance_it_reaches(stream: bool) {
    let fleet = fleet().await;
    let caller = Caller::of("south-office");
    for instance in &fleet.instances {
        let prompt = format!("through {}", instance.id);
        // An instance that has just started receives the others' membership within seconds.
        let reply = eventually("the home region is known", PROPAGATION_LIMIT, || async {
            let reply = caller.chat(&instance.url, &prompt, stream).await.unwrap();
            (reply.status != 421).then_some(reply)
        })
        .await;
        let text = if stream {
            reply.streamed_text()
        } else {
            reply.whole_text()
        };
        assert_eq!(text, Some(expected_answer(&prompt, TOKENS)), "{reply:?}");
        assert_eq!(reply.run, "ran");
    }
    assert_eq!(fleet.engines["north"].counts().requests, 0);
    assert_eq!(fleet.engines["central"].counts().requests, 0);
    assert_eq!(fleet.engine_requests(), 3, "no request was forwarded twice");
    assert_eq!(
        fleet.engines["south"].count_containing("secret-key-of"),
        0,
        "the key does not leave the instance that received it"
    );
}

#[tokio::test]
async fn an_action_forwarded_from_two_regions_at_the_same_moment_runs_once() {
    let fleet = fleet().await;
    let caller = Caller::of("south-office");
    for instance in &fleet.instances {
        eventually("the home region is known", PROPAGATION_LIMIT, || async {
            let reply = caller.chat(&instance.url, "hello", false).await.unwrap();
            (reply.status == 200).then_some(())
        })
        .await;
    }
    for number in 0..10 {
        let action = format!("action-{number}");
        let sent = fleet
            .instances
            .iter()
            .map(|instance| caller.confirm(&instance.url, &action));
        let replies = join_all(sent).await;
        assert_eq!(fleet.runs(&action), 1, "{replies:?}");
        for reply in replies {
            let reply = reply.unwrap();
            assert!(
                reply.status == 200 || reply.run == "may-have-run",
                "{reply:?}"
            );
        }
    }
    assert_eq!(fleet.services["north"].request_count(), 0);
    assert_eq!(fleet.services["central"].request_count(), 0);
}

#[tokio::test]
async fn a_bound_request_whose_home_region_has_no_instance_is_refused_as_not_run() {
    let mut fleet = fleet().await;
    let index = fleet.instances.iter().position(|it| it.region == "south");
    fleet.remove_instance(index.unwrap());
    let north = fleet.instance("north").url.clone();
    let caller = Caller::of("south-office");
    let reply = eventually("a refusal", PROPAGATION_LIMIT, || async {
        let reply = caller.chat(&north, "hello", false).await.unwrap();
        (reply.run == "not-run").then_some(reply)
    })
    .await;
    assert_eq!(reply.status, 421, "{reply:?}");
    assert_eq!(fleet.engine_requests(), 0);
}

#[derive(Clone, Copy)]
enum Interruption {
    ServingInstancePaused,
    HoldingInstancePaused,
    LinksPartitioned,
}

fn begin(fleet: &Fleet, interruption: Interruption) {
    match interruption {
        Interruption::ServingInstancePaused => fleet.instance("south").pause(),
        Interruption::HoldingInstancePaused => fleet.instance("north").pause(),
        Interruption::LinksPartitioned => set_links(fleet, Impairment::partitioned()),
    }
}

fn end(fleet: &Fleet, interruption: Interruption) {
    match interruption {
        Interruption::ServingInstancePaused => fleet.instance("south").resume(),
        Interruption::HoldingInstancePaused => fleet.instance("north").resume(),
        Interruption::LinksPartitioned => set_links(fleet, Impairment::delayed(LINK_DELAY_MS)),
    }
}

fn set_links(fleet: &Fleet, impairment: Impairment) {
    for link in fleet.links.values() {
        link.set_both(impairment);
    }
}

/// Guards against a forwarded stream cut by an interruption that its link outlives.
#[test_case(Interruption::ServingInstancePaused, 60; "serving instance paused")]
#[test_case(Interruption::HoldingInstancePaused, 60; "holding instance paused")]
#[test_case(Interruption::LinksPartitioned, 60; "links partitioned")]
#[test_case(Interruption::LinksPartitioned, 25; "links partitioned at the end")]
#[tokio::test]
async fn an_interruption_of_3_s_does_not_cut_a_forwarded_stream(
    interruption: Interruption,
    tokens: u64,
) {
    let fleet = Fleet::start(FleetOptions {
        engine: EngineOptions {
            answer_tokens: tokens,
            token_ms: 100,
            ..EngineOptions::default()
        },
        link_delay_ms: Some(LINK_DELAY_MS),
        ..FleetOptions::default()
    })
    .await;
    let caller = Caller::of("south-office");
    let north = fleet.instance("north").url.clone();
    eventually("the home region is known", PROPAGATION_LIMIT, || async {
        let reply = caller.confirm(&north, "first").await.unwrap();
        (reply.status == 200).then_some(())
    })
    .await;
    let asking = tokio::spawn(async move { caller.chat(&north, "question", true).await });
    eventually("the stream has begun", CONDITION_TIMEOUT, || async {
        (fleet.engines["south"].counts().tokens >= 5).then_some(())
    })
    .await;
    begin(&fleet, interruption);
    tokio::time::sleep(Duration::from_secs(3)).await;
    end(&fleet, interruption);
    let reply = asking.await.unwrap().unwrap();
    let expected = expected_answer("question", tokens);
    assert_eq!(reply.streamed_text(), Some(expected), "{reply:?}");
    assert_eq!(fleet.engine_requests(), 1);
}
