//! Tests of the stand-ins for the plain service and the live list.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod support;

use carobwheel_standin::{
    livelist::{self, LiveListOptions},
    service::{self, Receipt, ServiceFault, ServiceOptions, IDEMPOTENCY_HEADER},
};
use carobwheel_wire::platform::{InstanceList, InstanceState, LiveInstance};
use serde_json::json;
use support::client;
use test_case::test_case;

async fn send_action(service: &service::Service) -> reqwest::Result<Receipt> {
    let request = client()
        .post(format!("{}/ledger/confirmations", service.url()))
        .header(IDEMPOTENCY_HEADER, "round-17")
        .body("two sacks");
    let body = request.send().await?.bytes().await?;
    Ok(serde_json::from_slice(&body).unwrap())
}

#[test_case(ServiceFault::CloseBeforeRunning, 0)]
#[test_case(ServiceFault::CloseAfterRunning, 1)]
#[test_case(ServiceFault::CloseInAnswer, 1)]
#[tokio::test]
async fn fault_before_or_after_running_is_reflected_in_the_run_count(
    fault: ServiceFault,
    runs: u64,
) {
    let service = service::start(ServiceOptions::default()).unwrap();
    service.fail_next(&[fault]);
    assert!(send_action(&service).await.is_err());
    assert_eq!(service.runs("round-17"), runs);
    assert_eq!(send_action(&service).await.unwrap().body, "two sacks");
    assert_eq!(service.runs("round-17"), runs + 1);
}

#[tokio::test]
async fn deduplicating_service_runs_a_key_once() {
    let options = ServiceOptions {
        deduplicates: true,
        ..ServiceOptions::default()
    };
    let service = service::start(options).unwrap();
    send_action(&service).await.unwrap();
    send_action(&service).await.unwrap();
    assert_eq!((service.runs("round-17"), service.request_count()), (1, 2));
}

fn instance(id: &str) -> LiveInstance {
    LiveInstance {
        id: id.parse().unwrap(),
        region: "north".parse().unwrap(),
        data_centre: "north-1".parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        caller_address: "127.0.0.1:2".parse().unwrap(),
        state: InstanceState::Live,
        incarnation: None,
    }
}

async fn fetch_instances(list: &livelist::LiveList) -> Vec<(String, InstanceState)> {
    let body = client()
        .get(format!("{}/instances", list.url()))
        .send()
        .await
        .unwrap();
    let list: InstanceList = serde_json::from_slice(&body.bytes().await.unwrap()).unwrap();
    list.instances
        .into_iter()
        .map(|instance| (instance.id.to_string(), instance.state))
        .collect()
}

#[tokio::test]
async fn changes_appear_in_the_list_after_its_lag() {
    let list = livelist::start(LiveListOptions::default()).unwrap();
    list.add(instance("n1"));
    assert_eq!(
        fetch_instances(&list).await,
        [("n1".to_owned(), InstanceState::Live)]
    );
    list.set_lag_ms(3_600_000);
    list.set_leaving("n1");
    assert_eq!(
        fetch_instances(&list).await,
        [("n1".to_owned(), InstanceState::Live)]
    );
    list.set_lag_ms(0);
    assert_eq!(
        fetch_instances(&list).await,
        [("n1".to_owned(), InstanceState::Leaving)]
    );
}

#[tokio::test]
async fn directory_rejects_entries_under_another_name() {
    let list = livelist::start(LiveListOptions::default()).unwrap();
    let entry =
        json!({"id": "n1", "region": "north", "caller_address": "127.0.0.1:2", "ttl_s": 60});
    let put = |name: &str| {
        let request = client().put(format!("{}/directory/{name}", list.url()));
        request.body(entry.to_string()).send()
    };
    assert_eq!(put("n2").await.unwrap().status(), 400);
    assert_eq!(put("n1").await.unwrap().status(), 200);
    assert_eq!(list.directory().len(), 1);
    let deleted = client().delete(format!("{}/directory/n1", list.url()));
    assert_eq!(deleted.send().await.unwrap().status(), 200);
    assert!(list.directory().is_empty());
}
