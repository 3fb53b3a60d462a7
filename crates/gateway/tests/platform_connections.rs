//! Tests of callers' connections that close, or must not close, under a request that was read.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, Script, Store,
};

/// Instance with a store and two upstreams that serve streams.
struct Fixture {
    _store: Store,
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
            _store: store,
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
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert_eq!(fixture.closes(), Vec::<[String; 3]>::new());
}
