//! Tests of what counts as a crash of an engine and what clears a prompt part.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store,
};
use serde_json::json;
use std::{thread, time::Duration};
use test_case::test_case;

/// Interval of crashes, which is longer than the time within which crashes count as one.
const CRASH_INTERVAL: Duration = Duration::from_millis(350);
/// Number of crashes after which the part has to be held.
const MAX_CRASHES: usize = 8;

struct Setup {
    _store: Store,
    engines: Vec<Engine>,
    instance: Instance,
}

fn start(engine_count: usize) -> Setup {
    let store = Store::start();
    let resumable = json!({"resumable": true, "timeoutMs": 10_000});
    store.publish(&ConfigBuilder::new(1).route("/brief/", "streaming", "model", 2, resumable));
    let engines: Vec<Engine> = (0..engine_count)
        .map(|number| Engine::start(&format!("i-m{number}")))
        .collect();
    for engine in &engines {
        engine.register(&store, "model", "north-a", "ready");
    }
    let instance = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    Setup {
        _store: store,
        engines,
        instance,
    }
}

impl Setup {
    /// Sends a request with these shared parts, which any engine answers with `script`. Returns the
    /// status and whether the answer is complete.
    fn ask(&self, number: usize, parts: &str, script: &Script) -> (u16, bool) {
        for engine in &self.engines {
            engine.replace_script([script.clone()]);
        }
        let mut caller = self.instance.caller();
        let headers = format!(
            "X-Carobwheel-Prompt-Prefix: {parts},f{number:x}:20\r\n\
             X-Carobwheel-Token-Usage: 100,10\r\n"
        );
        caller.send("POST", "/brief/x", &format!("a-{number}"), &headers, "");
        let answer = caller.answer();
        (answer.status, answer.is_complete)
    }

    fn sends(&self) -> usize {
        self.engines.iter().map(|engine| engine.seen().len()).sum()
    }
}

/// Guards against an engine that ends before the first event of a stream without a length.
#[test_case(""; "before any byte of an event")]
#[test_case("id: 1\ndata: pie"; "inside the first event")]
fn a_connection_that_ends_before_the_first_event_is_a_crash(events: &str) {
    let setup = start(2);
    let bytes = format!(
        "HTTP/1.1 200 X\r\nx-carobwheel-attempt-id: {{id}}\r\nx-carobwheel-server-seal: sealed\r\n\
         content-type: text/event-stream\r\n\r\n{events}"
    );
    let script = Script::Raw(bytes.into_bytes(), RawEnd::Close);
    let (_, is_complete) = setup.ask(1, "aa:40,bb:40", &script);
    assert!(!is_complete);
    assert_eq!(setup.sends(), 1);
    let crashes = || setup.instance.logged("crash_seen").len();
    wait_until("the crash is logged", || crashes() > 0);
    assert_eq!(crashes(), 1);
}

/// Guards against malformed requests that clear a part which crashes engines.
#[test]
fn an_error_answer_does_not_clear_a_part() {
    let setup = start(MAX_CRASHES + 2);
    let sound = Script::Events {
        until: 1,
        pause_ms: 5,
        is_complete: true,
    };
    let mut crashes = 0;
    let mut number = 0;
    while setup.instance.logged("part_held").is_empty() {
        assert!(crashes < MAX_CRASHES, "not held after {crashes} crashes");
        setup.ask(number, "c0:40,5afe:40", &sound);
        setup.ask(number + 1, "c0:40,dead:40", &Script::Close);
        setup.ask(number + 2, "c0:40,dead:40", &Script::Answer(400, "bad"));
        number += 3;
        crashes += 1;
        thread::sleep(CRASH_INTERVAL);
    }
}
