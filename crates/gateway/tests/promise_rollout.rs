//! Tests of rollouts with a fleet of real processes.

#![allow(clippy::unwrap_used)]

mod support;

use carobwheel_core::{
    id::RolloutId,
    rollout::{verdict_key, MIN_TOTAL_REQUESTS},
    time::Clock,
};
use carobwheel_standin::{
    engine::{self, Engine, EngineOptions, Fault, FaultRule},
    store::Availability,
};
use serde_json::{json, Value};
use support::{eventually, Caller, Fleet, FleetOptions, CONDITION_TIMEOUT, REGIONS};

const ALL_PPM: u32 = 1_000_000;
/// Maximum share of the requests that a bad version may get after its fault begins.
const MAX_BAD_SHARE: f64 = 0.01;

/// Starts an engine with the new version in each region and publishes a rollout that sends half of
/// the traffic to it at once.
fn begin_rollout(fleet: &mut Fleet, deadline_in_ms: u64) -> Vec<Engine> {
    let engines: Vec<Engine> = REGIONS
        .iter()
        .map(|region| {
            let engine = engine::start(EngineOptions {
                version: "2".to_owned(),
                ..EngineOptions::default()
            });
            let engine = engine.unwrap();
            fleet.document.add_engine(region, &engine.url());
            let upstream = fleet.document.list("upstreams").last_mut().unwrap();
            upstream["id"] = json!(format!("{region}-engine-2"));
            upstream["serves"]["version"] = json!("2");
            engine
        })
        .collect();
    let now_ms = Clock::default().unix_now().0;
    fleet.document.json["rollouts"] = json!([{
        "id": "move-1",
        "model": "appraiser",
        "old_version": "1",
        "new_version": "2",
        "steps": [{"at_unix_ms": now_ms - 1_000, "share_ppm": 500_000}],
        "deadline_unix_ms": now_ms + deadline_in_ms,
    }]);
    fleet.publish();
    engines
}

fn verdict(fleet: &Fleet) -> Option<String> {
    let rollout: RolloutId = "move-1".parse().unwrap();
    let stored: Value =
        serde_json::from_slice(&fleet.store.value(&verdict_key(&rollout))?).unwrap();
    Some(stored["value"]["verdict"].as_str().unwrap().to_owned())
}

fn requests_seen(engines: &[Engine]) -> u64 {
    engines.iter().map(|engine| engine.counts().requests).sum()
}

async fn send_requests(fleet: &Fleet, caller: &Caller, requests: usize) {
    for number in 0..requests {
        let instance = &fleet.instances[number % fleet.instances.len()];
        let prompt = format!("question {number}");
        let reply = caller.chat(&instance.url, &prompt, false).await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

/// The store is down from before the fault begins until after the version has been stopped.
#[tokio::test]
async fn a_bad_version_gets_a_small_share_of_traffic_and_none_soon_after_its_fault_shows() {
    const REQUESTS: usize = 3_000;
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    let engines = begin_rollout(&mut fleet, 600_000);
    eventually(
        "the new version gets requests",
        CONDITION_TIMEOUT,
        || async {
            send_requests(&fleet, &caller, 6).await;
            (requests_seen(&engines) > 0).then_some(())
        },
    )
    .await;
    send_requests(&fleet, &caller, 60).await;
    fleet.store.set_availability(Availability::Refusing);
    for engine in &engines {
        engine.add_fault(FaultRule::random(Fault::Status(500), ALL_PPM));
    }
    let before = requests_seen(&engines);
    send_requests(&fleet, &caller, REQUESTS).await;
    let bad = requests_seen(&engines) - before;
    assert!(
        (bad as f64) <= MAX_BAD_SHARE * REQUESTS as f64,
        "the bad version got {bad} of {REQUESTS} requests after its fault showed"
    );
    let stopped = requests_seen(&engines);
    send_requests(&fleet, &caller, 300).await;
    assert_eq!(
        requests_seen(&engines),
        stopped,
        "a stopped version gets no request"
    );
    assert_eq!(verdict(&fleet), None, "the store was down");
    fleet.store.set_availability(Availability::Up);
    let verdict = eventually("a verdict", CONDITION_TIMEOUT, || async { verdict(&fleet) }).await;
    assert_eq!(verdict, "rolled_back");
}

#[tokio::test]
async fn a_good_version_is_done_after_its_deadline_and_gets_all_traffic() {
    let mut fleet = Fleet::start(FleetOptions::default()).await;
    let caller = Caller::of("insurers");
    let engines = begin_rollout(&mut fleet, 2_000);
    let verdict = eventually("a verdict", CONDITION_TIMEOUT, || async {
        send_requests(&fleet, &caller, MIN_TOTAL_REQUESTS as usize).await;
        verdict(&fleet)
    })
    .await;
    assert_eq!(verdict, "done");
    eventually("all traffic moves", CONDITION_TIMEOUT, || async {
        let before = requests_seen(&engines);
        send_requests(&fleet, &caller, 60).await;
        (requests_seen(&engines) - before == 60).then_some(())
    })
    .await;
}
