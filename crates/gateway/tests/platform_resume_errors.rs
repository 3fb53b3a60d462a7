//! Streams that break off, and whose next upstream answers with something else than their events.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store,
};
use test_case::test_case;

/// Body that the caller gets, in two chunks without the last one.
const EVENTS: &str = "15\r\nid: 1\ndata: piece 1\n\n\r\n15\r\nid: 2\ndata: piece 2\n\n\r\n";

fn events(is_complete: bool) -> Script {
    Script::Events {
        until: 2,
        pause_ms: 5,
        is_complete,
    }
}

fn raw(head: &str, body: &str) -> Script {
    let text = format!(
        "HTTP/1.1 {head}\r\nx-carobwheel-attempt-id: {{id}}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    Script::Raw(text.into_bytes(), RawEnd::Open)
}

/// Guards against an error's text in the middle of a stream, and a broken stream that looks whole.
#[test_case(&Script::Answer(500, "an error text"); "an error")]
#[test_case(&Script::Answer(404, "an error text"); "an error of the caller")]
#[test_case(&Script::Answer(200, "an error text"); "a whole answer")]
#[test_case(&Script::Unsealed("an error text"); "an answer without a seal")]
#[test_case(&Script::WrongRequestId; "an answer of another request")]
#[test_case(&raw("503 X\r\nx-carobwheel-not-executed: 1", "an error text"); "a refusal")]
#[test_case(&raw("502 X", "HTTP/1.1 200 OK"); "an error that looks like a head")]
#[test_case(&Script::Garbage; "bytes that are no answer")]
#[test_case(&Script::Close; "no answer")]
fn nothing_of_the_next_upstreams_error_gets_into_a_broken_stream(next: &Script) {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (first, second) = (Engine::start("i-1"), Engine::start("i-2"));
    for engine in [&first, &second] {
        engine.register(&store, "model", "north-a", "ready");
        engine.script([events(true)]);
    }
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    let mut caller = instance.caller();
    caller.send("POST", "/brief/x", "a-0", "", "question");
    assert!(caller.answer().is_complete);
    // Idle upstreams are used in a fixed order.
    let (used, other) = if first.seen().is_empty() {
        (second, first)
    } else {
        (first, second)
    };
    used.replace_script([events(false)]);
    other.replace_script(vec![next.clone(); 4]);
    caller.send("POST", "/brief/x", "a-1", "", "question");
    let answer = caller.answer();
    wait_until("the stream was to be resumed", || !other.seen().is_empty());
    assert!(!answer.is_complete, "{answer:?}");
    assert_eq!(answer.body, EVENTS);
}
