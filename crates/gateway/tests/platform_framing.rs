//! Tests of how answers of upstreams end, and of answers that never end.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Answer, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store,
};
use serde_json::json;
use test_case::test_case;

/// Size of an answer that is larger than what is buffered, in bytes.
const LARGE_BYTES: usize = 300_000;
/// Stream that ends inside its second event.
const PART_OF_AN_EVENT: &[u8] = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n";

/// Instance with a store and two upstreams of each service.
struct Fixture {
    _store: Store,
    registry: [Engine; 2],
    model: [Engine; 2],
    instance: Instance,
}

fn fixture() -> Fixture {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let registry = ["i-r1", "i-r2"].map(Engine::start);
    let model = ["i-m1", "i-m2"].map(Engine::start);
    for (engines, service) in [(&registry, "registry"), (&model, "model")] {
        let register = |engine: &Engine| engine.register(&store, service, "north-a", "ready");
        engines.iter().for_each(register);
    }
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    Fixture {
        _store: store,
        registry,
        model,
        instance,
    }
}

impl Fixture {
    fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.registry.iter().chain(&self.model)
    }

    /// Number of requests that the upstreams have received.
    fn seen(&self) -> usize {
        self.engines().map(|engine| engine.seen().len()).sum()
    }

    /// Scripts the next answer of each upstream.
    fn script_all(&self, script: &Script) {
        self.engines()
            .for_each(|engine| engine.script([script.clone()]));
    }

    /// Scripts the next answer of each upstream, sends a request and returns the caller's answer.
    fn answer(&self, script: &Script, path: &str) -> Answer {
        self.script_all(script);
        let mut caller = self.instance.caller();
        caller.send("POST", path, "a-1", "", "question");
        caller.answer()
    }
}

/// Framing of an answer's body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// Bytes of an answer with this body, whose end is left out if it is not complete.
fn raw(framing: Framing, media_type: &str, body: &[u8], is_complete: bool) -> Vec<u8> {
    let missing = if is_complete { 0 } else { 1_000 };
    let field = match framing {
        Framing::Length => format!("content-length: {}\r\n", body.len() + missing),
        Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Close => String::new(),
    };
    let head = format!(
        "HTTP/1.1 200 X\r\nx-carobwheel-attempt-id: {{id}}\r\n\
         x-carobwheel-server-seal: sealed\r\ncontent-type: {media_type}\r\n{field}\r\n"
    );
    let mut bytes = head.into_bytes();
    if !matches!(framing, Framing::Chunked) {
        bytes.extend_from_slice(body);
        return bytes;
    }
    for chunk in body.chunks(10_000) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    if is_complete {
        bytes.extend_from_slice(b"0\r\n\r\n");
    }
    bytes
}

/// End of an answer in this framing.
fn end_of(framing: Framing) -> RawEnd {
    match framing {
        Framing::Close => RawEnd::Close,
        Framing::Length | Framing::Chunked => RawEnd::Open,
    }
}

#[test_case(Framing::Length, 50; "length, small")]
#[test_case(Framing::Chunked, 50; "chunked, small")]
#[test_case(Framing::Close, 50; "ends with the connection, small")]
#[test_case(Framing::Close, 0; "ends with the connection, empty")]
#[test_case(Framing::Length, LARGE_BYTES; "length, large")]
#[test_case(Framing::Chunked, LARGE_BYTES; "chunked, large")]
#[test_case(Framing::Close, LARGE_BYTES; "ends with the connection, large")]
fn a_complete_answer_in_any_framing_is_passed_on_as_complete(framing: Framing, bytes: usize) {
    let fixture = fixture();
    let body = "x".repeat(bytes);
    let script = Script::Raw(
        raw(framing, "text/plain", body.as_bytes(), true),
        end_of(framing),
    );
    let answer = fixture.answer(&script, "/write/x");
    assert_eq!(answer.status, 200, "{}", answer.head);
    assert!(answer.is_complete);
    assert_eq!(answer.body.len(), bytes);
    assert_eq!(fixture.seen(), 1);
}

#[test_case(Framing::Length; "length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::Close; "ends with the connection")]
fn a_small_answer_whose_connection_is_reset_is_not_passed_on(framing: Framing) {
    let fixture = fixture();
    let script = Script::Raw(
        raw(framing, "text/plain", b"part of an answer", false),
        RawEnd::Reset,
    );
    let answer = fixture.answer(&script, "/write/x");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(fixture.seen(), 1);
}

#[test_case(Framing::Length; "length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::Close; "ends with the connection")]
fn a_large_answer_whose_connection_is_reset_breaks_the_callers_connection(framing: Framing) {
    let fixture = fixture();
    let body = "x".repeat(LARGE_BYTES);
    let script = Script::Raw(
        raw(framing, "text/plain", body.as_bytes(), false),
        RawEnd::Reset,
    );
    let answer = fixture.answer(&script, "/write/x");
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete);
    wait_until("the break is logged", || {
        !fixture.instance.logged("answer_broken").is_empty()
    });
    assert_eq!(fixture.seen(), 1);
}

#[test]
fn a_connection_whose_end_ended_the_answer_is_not_used_again() {
    let fixture = fixture();
    let script = Script::Raw(
        raw(Framing::Close, "text/plain", b"whole", true),
        RawEnd::Close,
    );
    for engine in &fixture.registry {
        engine.script(std::iter::repeat_n(script.clone(), 200));
    }
    let mut caller = fixture.instance.caller();
    for n in 0..200 {
        caller.send("POST", "/read/x", &format!("a-{n}"), "", "");
        let answer = caller.answer();
        assert_eq!((answer.status, answer.body.as_str()), (200, "whole"));
    }
    assert_eq!(fixture.seen(), 200, "a request was sent twice");
    assert!(fixture.instance.logged("send_failed").is_empty());
}

/// Answer to a request that one instance forwards to another, whose upstream answers with `script`.
fn forwarded_answer(path: &str, service: &str, kind: &str, script: &Script) -> Answer {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"]});
    store.publish(&ConfigBuilder::new(1).route(path, kind, service, 1, homes));
    let engine = Engine::start("i-s");
    engine.register(&store, service, "south-a", "ready");
    let start = |name, region| {
        Instance::start_ready(&InstanceOptions {
            name,
            region,
            store: store.address,
        })
    };
    let (near, far) = (start("north-1", "north"), start("south-1", "south"));
    let mut caller = near.caller();
    let whole = Script::Events {
        until: 1,
        pause_ms: 0,
        is_complete: true,
    };
    wait_until("requests are forwarded", || {
        if kind == "streaming" {
            engine.script([whole.clone()]);
        }
        caller.send("POST", path, "early", "", "");
        caller.answer().status == 200
    });
    wait_until("the other instance has logged the request", || {
        !far.logged("placed").is_empty()
    });
    let mut caller = near.caller();
    engine.replace_script([]);
    engine.script([script.clone()]);
    caller.send("POST", path, "a-1", "", "");
    caller.answer()
}

#[test_case(50; "small")]
#[test_case(LARGE_BYTES; "large")]
fn a_forwarded_answer_that_ends_with_its_connection_is_complete(bytes: usize) {
    let body = "x".repeat(bytes);
    let bytes_sent = raw(Framing::Close, "text/plain", body.as_bytes(), true);
    let script = Script::Raw(bytes_sent, RawEnd::Close);
    let answer = forwarded_answer("/write/", "registry", "non_idempotent", &script);
    assert_eq!(
        (answer.status, answer.is_complete, answer.body.len()),
        (200, true, bytes)
    );
}

#[test_case(Framing::Length; "length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::Close; "ends with the connection")]
fn a_forwarded_answer_whose_connection_is_reset_is_not_complete(framing: Framing) {
    let body = "x".repeat(LARGE_BYTES);
    let bytes_sent = raw(framing, "text/plain", body.as_bytes(), false);
    let script = Script::Raw(bytes_sent, RawEnd::Reset);
    let answer = forwarded_answer("/write/", "registry", "non_idempotent", &script);
    assert_eq!((answer.status, answer.is_complete), (200, false));
}

#[test_case(Framing::Length; "length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::Close; "ends with the connection")]
fn a_forwarded_stream_that_ends_inside_an_event_is_not_complete(framing: Framing) {
    let bytes_sent = raw(framing, "text/event-stream", PART_OF_AN_EVENT, true);
    let script = Script::Raw(bytes_sent, end_of(framing));
    let answer = forwarded_answer("/chat/", "model", "streaming", &script);
    assert!(!answer.is_complete);
    assert!(!answer.body.contains("id: 2"), "{answer:?}");
}

#[test_case(Framing::Length; "length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::Close; "ends with the connection")]
fn a_stream_that_ends_inside_an_event_is_never_complete(framing: Framing) {
    let fixture = fixture();
    let bytes_sent = raw(framing, "text/event-stream", PART_OF_AN_EVENT, true);
    let answer = fixture.answer(&Script::Raw(bytes_sent, end_of(framing)), "/chat/x");
    assert!(!answer.is_complete);
    assert!(!answer.body.contains("id: 2"), "{answer:?}");
    assert_eq!(fixture.seen(), 1);
}

#[test_case(Framing::Length; "length")]
#[test_case(Framing::Chunked; "chunked")]
#[test_case(Framing::Close; "ends with the connection")]
fn a_stream_that_ends_inside_an_event_is_resumed_where_the_route_allows_it(framing: Framing) {
    let fixture = fixture();
    let bytes_sent = raw(framing, "text/event-stream", PART_OF_AN_EVENT, true);
    let answer = fixture.answer(&Script::Raw(bytes_sent, end_of(framing)), "/brief/x");
    // Both upstreams break off inside the same event, the second one after it was resumed there.
    assert!(!answer.is_complete);
    assert_eq!(answer.body.matches("id: 1").count(), 1, "{answer:?}");
    assert!(!answer.body.contains("id: 2"), "{answer:?}");
    let resumed = fixture.engines().flat_map(Engine::seen);
    let from: Vec<_> = resumed
        .map(|seen| seen.header("last-event-id").map(str::to_owned))
        .collect();
    assert_eq!(from.len(), 2);
    assert!(from.contains(&Some("1".to_owned())), "{from:?}");
}
