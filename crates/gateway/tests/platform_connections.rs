//! Tests of callers' connections that close, or must not close, under a request that was read.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Caller, ConfigBuilder, Engine, Instance, InstanceOptions, Script, Store, HOST, KEY,
};
use serde_json::json;
use std::time::Duration;
use test_case::test_case;

/// Instance with a store and two upstreams that serve streams.
struct Fixture {
    store: Store,
    model: [Engine; 2],
    instance: Instance,
}

impl Fixture {
    fn new(config: &ConfigBuilder) -> Self {
        let store = Store::start();
        store.publish(config);
        let model = ["i-m1", "i-m2"].map(Engine::start);
        for engine in &model {
            engine.register(&store, "model", "north-a", "ready");
        }
        let instance = Instance::start_ready(&InstanceOptions {
            name: "north-1",
            region: "north",
            store: store.address,
        });
        Self {
            store,
            model,
            instance,
        }
    }

    /// Scripts the next answer of each upstream.
    fn script_all(&self, script: &Script) {
        for engine in &self.model {
            engine.script([script.clone()]);
        }
    }

    fn wait_for_request(&self) {
        wait_until("the request is running", || {
            self.model.iter().any(|engine| !engine.seen().is_empty())
        });
    }

    /// Request, closing side and reason of each logged close under a request.
    fn closes(&self) -> Vec<[String; 3]> {
        let lines = self.instance.logged("connection_closed");
        let field = |line: &serde_json::Value, name: &str| line[name].as_str().unwrap().to_owned();
        let fields = |line| ["request", "closed_by", "reason"].map(|name| field(line, name));
        lines.iter().map(fields).collect()
    }
}

/// Configuration whose streams have enough time for pauses.
fn config(version: u64) -> ConfigBuilder {
    let chat = json!({"timeoutMs": 10_000});
    ConfigBuilder::new(version).route("/chat/", "streaming", "model", 1, chat)
}

/// Sends a request that leaves the answer 10 s.
fn ask(caller: &mut Caller, path: &str) {
    caller.write(&format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: a-1\r\n\
         X-Carobwheel-Deadline-Ms: 10000\r\nX-Carobwheel-Key: {KEY}\r\n\
         Content-Length: 8\r\n\r\nquestion"
    ));
}

const fn events(until: u64, pause_ms: u64, is_complete: bool) -> Script {
    Script::Events {
        until,
        pause_ms,
        is_complete,
    }
}

#[test]
fn a_stream_that_the_upstream_breaks_is_logged_as_closed_by_the_instance() {
    let fixture = Fixture::new(&ConfigBuilder::new(1));
    fixture.script_all(&events(2, 10, false));
    let mut caller = fixture.instance.caller();
    caller.send("POST", "/chat/x", "a-1", "", "question");
    assert!(!caller.answer().is_complete);
    wait_until("the close is logged", || !fixture.closes().is_empty());
    let [[request, closed_by, reason]] = &fixture.closes()[..] else {
        panic!("{:?}", fixture.closes());
    };
    assert_eq!((&**request, &**closed_by), ("a-1", "instance"));
    assert!(reason.contains("body"), "{reason}");
}

#[test]
fn a_caller_that_leaves_before_the_answer_is_logged() {
    let fixture = Fixture::new(&ConfigBuilder::new(1));
    fixture.script_all(&Script::Silent);
    let mut caller = fixture.instance.caller();
    caller.send("POST", "/chat/x", "a-1", "", "question");
    fixture.wait_for_request();
    drop(caller);
    wait_until("the close is logged", || !fixture.closes().is_empty());
    let [[request, closed_by, _]] = &fixture.closes()[..] else {
        panic!("{:?}", fixture.closes());
    };
    assert_eq!((&**request, &**closed_by), ("a-1", "caller"));
}

#[test]
fn a_shorter_idle_limit_does_not_cut_a_stream_that_pauses() {
    let fixture = Fixture::new(&config(1));
    fixture.script_all(&events(2, 2_000, true));
    let mut caller = fixture.instance.caller();
    ask(&mut caller, "/chat/x");
    fixture.wait_for_request();
    fixture.store.publish(&config(2).idle_timeout_ms(300));
    let answer = caller.answer();
    assert!(answer.is_complete, "{answer:?} {:?}", fixture.closes());
}

#[test]
fn early_bytes_of_the_next_request_do_not_cut_the_answer() {
    let fixture = Fixture::new(&config(1));
    fixture.script_all(&events(2, 2_500, true));
    let mut caller = fixture.instance.caller();
    ask(&mut caller, "/chat/x");
    let mut head = [0; 20];
    std::io::Read::read_exact(&mut caller.stream, &mut head).unwrap();
    caller.write("GET /nowh");
    let rest = String::from_utf8_lossy(&caller.read_until("0\r\n\r\n")).into_owned();
    assert!(
        rest.ends_with("0\r\n\r\n"),
        "{rest:?} {:?}",
        fixture.closes()
    );
    caller.write("ere/x HTTP/1.1\r\nHost: rugs.example\r\n\r\n");
    assert_eq!(caller.answer().status, 404);
}

#[test]
fn a_request_that_arrives_while_the_instance_is_suspended_is_answered() {
    let fixture = Fixture::new(&config(1).idle_timeout_ms(300));
    let mut callers: Vec<_> = (0..20).map(|_| fixture.instance.caller()).collect();
    // One tick in ten sweeps the connections.
    for round in 0..24 {
        for caller in &mut callers {
            caller.send("GET", "/nowhere/x", "a-1", "", "");
            assert_eq!(caller.answer().status, 404, "round {round}");
        }
        fixture.instance.signal("-STOP");
        for caller in &mut callers {
            caller.send("GET", "/nowhere/x", "a-1", "", "");
        }
        std::thread::sleep(Duration::from_millis(350));
        fixture.instance.signal("-CONT");
        for caller in &mut callers {
            assert_eq!(caller.answer().status, 404, "round {round}");
        }
    }
}

#[test]
fn a_caller_that_does_not_read_its_answer_is_disconnected() {
    let fixture = Fixture::new(&config(1).idle_timeout_ms(500));
    fixture.script_all(&Script::Flood);
    let mut caller = fixture.instance.caller();
    ask(&mut caller, "/chat/x");
    wait_until("the close is logged", || !fixture.closes().is_empty());
    assert_eq!(
        fixture.closes(),
        [["a-1", "instance", "the caller does not read the answer"].map(str::to_owned)]
    );
}

#[test_case(1, &Script::Silent; "no attempt is left")]
#[test_case(2, &Script::NotRun; "the other upstream refuses")]
#[test_case(2, &Script::Close; "the other upstream fails")]
fn a_silent_upstream_does_not_end_a_stream_that_cannot_be_resumed(attempts: u32, other: &Script) {
    let resumable = json!({"resumable": true, "timeoutMs": 10_000});
    let config = config(1).route("/brief/", "streaming", "model", attempts, resumable);
    let fixture = Fixture::new(&config);
    let mut caller = fixture.instance.caller();
    // Both upstreams answer in turn; the one that gets the request first pauses.
    fixture.script_all(&events(2, 1_400, true));
    ask(&mut caller, "/brief/x");
    fixture.wait_for_request();
    for engine in &fixture.model {
        if engine.seen().is_empty() {
            engine.replace_script([other.clone()]);
        }
    }
    let answer = caller.answer();
    assert!(answer.is_complete, "{answer:?} {:?}", fixture.closes());
    let pieces = answer.body.matches("data: piece").count();
    assert_eq!(pieces, 2, "{answer:?}");
}

#[test]
fn an_answered_request_is_not_logged_as_closed() {
    let fixture = Fixture::new(&ConfigBuilder::new(1));
    let mut caller = fixture.instance.caller();
    for _ in 0..2 {
        fixture.script_all(&events(2, 10, true));
    }
    for (method, path) in [
        ("POST", "/chat/x"),
        ("GET", "/nowhere/x"),
        ("GET", "/chat/x"),
    ] {
        caller.send(method, path, "a-1", "", "");
        assert!(caller.answer().is_complete);
    }
    drop(caller);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(fixture.closes(), Vec::<[String; 3]>::new());
}
