//! Entries in the store that another writer has left.

#![allow(clippy::unwrap_used)]

mod platform_support;

use base64::{engine::general_purpose::STANDARD, Engine as _};
use platform_support::{wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, Store};
use serde_json::{json, Value};
use test_case::test_case;

/// Entry of an upstream with some fields replaced.
fn entry(fields: &Value) -> Vec<u8> {
    let mut entry = json!({"service": "registry", "address": "127.0.0.1:9", "zone": "north-a",
        "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
        "born": 1});
    for (name, value) in fields.as_object().unwrap() {
        entry[name] = value.clone();
    }
    entry.to_string().into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

fn with_text(field: &str, text: &str) -> Vec<u8> {
    let whole = String::from_utf8(entry(&json!({field: "PLACE"}))).unwrap();
    whole.replace("\"PLACE\"", text).into_bytes()
}

/// Guards against an entry after which the other upstreams' entries are no longer followed.
#[test_case(Some(nested(100_000).into_bytes()); "deeply nested")]
#[test_case(Some(with_text("service", &nested(100_000))); "nested in a known field")]
#[test_case(Some(with_text("other", &nested(100_000))); "nested in an unknown field")]
#[test_case(Some(with_text("coldRemainingMs", "1e999")); "a number out of range")]
#[test_case(Some(with_text("coldRemainingMs", "1e300")); "a huge number")]
#[test_case(Some(with_text("born", "99999999999999999999999")); "a huge start time")]
#[test_case(Some(with_text("slots", "-1")); "negative slots")]
#[test_case(Some(entry(&json!({"address": "127.0.0.1:99999"}))); "a port out of range")]
#[test_case(Some(entry(&json!({"address": "127.0.0.1:0"}))); "port 0")]
#[test_case(Some(entry(&json!({"slots": u32::MAX, "timeLeftMs": 1e300}))); "large figures")]
#[test_case(Some(vec![0xff, 0xfe, 0]); "bytes that are no text")]
#[test_case(None; "a value that is no Base64")]
fn an_odd_entry_costs_no_other_entry(value: Option<Vec<u8>>) {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let text = value.map_or("%%%".to_owned(), |value| STANDARD.encode(value));
    store.put_text("servers/a-odd", &text);
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    store.put_text("servers/b-odd", &text);
    store.put_text("members/odd", &text);
    let engine = Engine::start("i-1");
    engine.register(&store, "registry", "north-a", "ready");
    wait_until("the next upstream is used", || {
        let mut caller = instance.caller();
        caller.send("GET", "/read/x", "a-1", "", "");
        caller.answer().status == 200
    });
    assert_eq!(instance.logged("started").len(), 1);
}
