//! Answers that an upstream writes once more on a kept connection, before the one that is due.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store};
use test_case::test_case;

const OTHER_ID: &str = "x-carobwheel-attempt-id: another\r\n";
const NOT_RUN: &str = "x-carobwheel-not-executed: 1\r\n";

fn events(until: u64) -> Script {
    Script::Events {
        until,
        pause_ms: 5,
        is_complete: true,
    }
}

/// A refusal of another request, with a connection that stays open as while the engine works.
fn stale_refusal(status: u16, headers: &str) -> Script {
    let text = format!("HTTP/1.1 {status} X\r\n{headers}content-length: 0\r\n\r\n");
    Script::Raw(text.into_bytes(), RawEnd::Open)
}

/// Guards against a refusal of another request that passes for one of this request.
#[test_case(503, &format!("{OTHER_ID}{NOT_RUN}"); "a refusal")]
#[test_case(429, &format!("{OTHER_ID}{NOT_RUN}"); "a refusal for the rate")]
#[test_case(421, OTHER_ID; "a misdirected request")]
#[test_case(503, NOT_RUN; "a refusal without an id")]
#[test_case(421, ""; "a misdirected request without an id")]
#[test_case(408, ""; "a timeout of the connection without an id or a seal")]
#[test_case(400, ""; "a complaint about the request without an id or a seal")]
#[test_case(302, ""; "a redirect without an id or a seal")]
fn a_stale_refusal_on_a_kept_connection_says_nothing_of_the_request(status: u16, headers: &str) {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-1");
    engine.register(&store, "model", "north-a", "ready");
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    engine.script([events(2), stale_refusal(status, headers)]);
    let mut caller = instance.caller();
    caller.send("POST", "/chat/x", "a-1", "", "");
    assert_eq!(caller.answer().status, 200);
    caller.send("POST", "/chat/x", "a-2", "", "");
    let answer = caller.answer();
    assert_eq!(engine.seen().len(), 2);
    let opened = "carobwheel_upstream_connections_total 1\n";
    assert!(
        instance.metrics_text().contains(opened),
        "not a kept connection"
    );
    assert_eq!(answer.status, 502, "{}", answer.head);
}
