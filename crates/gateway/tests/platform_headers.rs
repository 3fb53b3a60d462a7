//! Tests of callers' headers that have a meaning between instances.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, Store};
use serde_json::json;
use test_case::test_case;

/// Guards against a caller who gets the answer to a query between instances.
#[test_case("cw-holds: 1\r\n"; "query of held parts")]
#[test_case("cw-pull: x\r\n"; "query of changes")]
#[test_case("cw-refused: 1\r\n"; "mark of a refusal")]
fn a_forwarded_request_with_a_header_of_instances_reaches_the_engine(header: &str) {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"]});
    store.publish(&ConfigBuilder::new(1).route("/read/", "idempotent", "registry", 2, homes));
    let engine = Engine::start("i-south");
    engine.register(&store, "registry", "south-a", "ready");
    let start = |name: &'static str, region: &'static str| {
        Instance::start_ready(&InstanceOptions {
            name,
            region,
            store: store.address,
        })
    };
    let (north, south) = (start("north-1", "north"), start("south-1", "south"));
    for instance in [&north, &south] {
        wait_until("the instances are linked", || {
            instance
                .metrics_text()
                .contains("carobwheel_instances_heard 2")
        });
    }
    wait_until("requests are forwarded", || {
        let mut caller = north.caller();
        caller.send("POST", "/read/x", "a-0", "", "q");
        caller.answer().status == 200
    });
    let seen_before = engine.seen().len();
    let mut caller = north.caller();
    caller.send("POST", "/read/x", "a-1", header, "q");
    let answer = caller.answer();
    assert_eq!(answer.status, 200);
    assert!(answer.head.to_lowercase().contains("server-seal"));
    assert_eq!(engine.seen().len(), seen_before + 1);
}
