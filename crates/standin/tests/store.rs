//! Tests of the stand-in for the store, over the JSON API of etcd v3.

#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod support;

use carobwheel_standin::store::{self, StoreOptions};
use serde_json::{json, Value};
use support::{client, eventually};

async fn call(store: &store::Store, path: &str, body: Value) -> (u16, Value) {
    let request = client().post(format!("{}{path}", store.url()));
    let response = request.body(body.to_string()).send().await.unwrap();
    let status = response.status().as_u16();
    let body = response.bytes().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Key `a` in base64.
const KEY_A: &str = "YQ==";
/// Value `1` in base64.
const VALUE_1: &str = "MQ==";
/// Value `2` in base64.
const VALUE_2: &str = "Mg==";

fn create_txn(value: &str, lease: &str) -> Value {
    json!({
        "compare": [{"key": KEY_A, "target": "CREATE", "result": "EQUAL", "create_revision": "0"}],
        "success": [{"request_put": {"key": KEY_A, "value": value, "lease": lease}}],
        "failure": [{"request_range": {"key": KEY_A}}],
    })
}

#[tokio::test]
async fn second_create_fails_and_returns_the_existing_value() {
    let store = store::start(&StoreOptions::default()).unwrap();
    let (_, first) = call(&store, "/v3/kv/txn", create_txn(VALUE_1, "0")).await;
    assert_eq!(first["succeeded"], true);
    let (_, second) = call(&store, "/v3/kv/txn", create_txn(VALUE_2, "0")).await;
    assert_eq!(second.get("succeeded"), None);
    let kv = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(kv["value"], VALUE_1);
    assert_eq!(kv["mod_revision"], first["header"]["revision"]);
    assert_eq!(kv["version"], "1");
}

#[tokio::test]
async fn old_revisions_can_be_read_until_they_are_compacted() {
    let options = StoreOptions {
        max_history: 2,
        ..StoreOptions::default()
    };
    let store = store::start(&options).unwrap();
    for value in [VALUE_1, VALUE_2] {
        call(&store, "/v3/kv/put", json!({"key": KEY_A, "value": value})).await;
    }
    let (_, old) = call(
        &store,
        "/v3/kv/range",
        json!({"key": KEY_A, "revision": "2"}),
    )
    .await;
    assert_eq!(old["kvs"][0]["value"], VALUE_1);
    for value in [VALUE_1, VALUE_2] {
        call(&store, "/v3/kv/put", json!({"key": KEY_A, "value": value})).await;
    }
    let (status, error) = call(
        &store,
        "/v3/kv/range",
        json!({"key": KEY_A, "revision": "2"}),
    )
    .await;
    assert_eq!((status, error["code"].as_i64()), (400, Some(11)));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let store = store::start(&StoreOptions::default()).unwrap();
    let (_, lease) = call(&store, "/v3/lease/grant", json!({"TTL": "1"})).await;
    let id = lease["ID"].as_str().unwrap().to_owned();
    let (_, put) = call(&store, "/v3/kv/txn", create_txn(VALUE_1, &id)).await;
    assert_eq!(put["succeeded"], true);
    let (_, renewed) = call(&store, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(renewed["result"]["TTL"], "1");
    let deadline = std::time::Instant::now() + support::CONDITION_TIMEOUT;
    loop {
        let (_, found) = call(&store, "/v3/kv/range", json!({"key": KEY_A})).await;
        if found.get("kvs").is_none() {
            break;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "the key still exists after its lease expired"
        );
    }
    let (_, late) = call(&store, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(late["result"].get("TTL"), None);
}

#[tokio::test]
async fn watch_sends_changes_from_its_start_revision() {
    let store = store::start(&StoreOptions::default()).unwrap();
    call(
        &store,
        "/v3/kv/put",
        json!({"key": KEY_A, "value": VALUE_1}),
    )
    .await;
    let url = format!("{}/v3/watch", store.url());
    let body = json!({"create_request": {"key": KEY_A, "start_revision": "2"}}).to_string();
    let mut response = client().post(url).body(body).send().await.unwrap();
    call(&store, "/v3/kv/deleterange", json!({"key": KEY_A})).await;
    let mut text = String::new();
    while text.lines().count() < 3 {
        let chunk = response.chunk().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines[0]["result"]["created"], true);
    assert_eq!(lines[1]["result"]["events"][0]["kv"]["value"], VALUE_1);
    assert_eq!(lines[2]["result"]["events"][0]["type"], "DELETE");
    assert_eq!(store.counts().open_watches, 1);
    drop(response);
    eventually("the watch is closed", || store.counts().open_watches == 0).await;
}

#[tokio::test]
async fn write_with_lost_answer_takes_effect() {
    let store = store::start(&StoreOptions::default()).unwrap();
    store.lose_answers(1);
    let request = client().post(format!("{}/v3/kv/txn", store.url()));
    assert!(request
        .body(create_txn(VALUE_1, "0").to_string())
        .send()
        .await
        .is_err());
    assert_eq!(store.value("a").unwrap(), b"1");
}
