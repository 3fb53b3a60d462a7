//! Instances that drain while nobody passes on that they are alive.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Caller, ConfigBuilder, Engine, Instance, InstanceOptions, Script, Store, HOST, KEY,
};
use serde_json::json;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time after which an instance without an entry that nobody hears is removed from the table.
const REMOVED_AFTER: Duration = Duration::from_secs(10);
/// Pause between two events of a stream.
const EVENT_PAUSE_MS: u64 = 100;

/// A region of three instances, whose first two tell the other region who is alive, and an instance in the
/// region of the upstream.
struct Fixture {
    store: Store,
    engine: Engine,
    norths: Vec<Instance>,
    south: Instance,
}

impl Fixture {
    fn start() -> Self {
        let store = Store::start();
        let homes = json!({"homeRegions": ["south"], "timeoutMs": 25_000});
        store.publish(&ConfigBuilder::new(1).route("/chat/", "streaming", "model", 1, homes));
        let engine = Engine::start("i-s");
        engine.register(&store, "model", "south-a", "ready");
        let address = store.address;
        let start = |name, region| {
            let options = InstanceOptions {
                name,
                region,
                store: address,
            };
            let bounds = json!({"stop_grace_s": 30, "retry_share": 0.2, "retry_window_s": 10,
                "retry_extra": 52, "limit_extra_tokens": 110_000, "trial_share": 0.1,
                "directory_ttl_s": 5});
            Instance::start_with(&options, &json!({"bounds": bounds}))
        };
        let norths: Vec<Instance> = ["north-1", "north-2", "north-3"]
            .map(|name| start(name, "north"))
            .into();
        let south = start("south-1", "south");
        let fixture = Self {
            store,
            engine,
            norths,
            south,
        };
        fixture.wait_for_links();
        fixture
    }

    fn wait_for_links(&self) {
        for instance in self.norths.iter().chain([&self.south]) {
            wait_until("the instances hear of each other", || {
                instance.is_ready() && instance.metrics_text().contains("instances_heard 4")
            });
        }
        for north in &self.norths {
            self.engine.replace_script([events(1)]);
            let mut caller = north.caller();
            wait_until("requests are forwarded", || {
                caller.send("POST", "/chat/x", "early", "", "");
                caller.answer().status == 200
            });
        }
    }

    /// Starts a stream of `lasts` at an instance of the north.
    fn start_stream(&self, north: usize, lasts: Duration) -> Caller {
        let before = self.engine.seen().len();
        let count = u64::try_from(lasts.as_millis()).unwrap() / EVENT_PAUSE_MS;
        self.engine.replace_script([events(count)]);
        let mut caller = self.norths[north].caller();
        caller.write(&format!(
            "POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: a-{north}\r\n\
             X-Carobwheel-Deadline-Ms: 25000\r\nX-Carobwheel-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
        ));
        wait_until("the stream is running", || {
            self.engine.seen().len() > before
        });
        caller
    }
}

fn events(until: u64) -> Script {
    Script::Events {
        until,
        pause_ms: EVENT_PAUSE_MS,
        is_complete: true,
    }
}

/// Guards against streams that are cut since the instances that pass on who is alive drain as well: the
/// relaying instance took the one that it answers for a process that had ended.
#[test]
fn a_stream_of_a_draining_instance_goes_on_while_the_delegates_drain() {
    let mut fixture = Fixture::start();
    let lasting = REMOVED_AFTER + Duration::from_secs(8);
    let delegates: Vec<Caller> = (0..2)
        .map(|north| fixture.start_stream(north, lasting))
        .collect();
    let stopped_at = Instant::now();
    for north in &fixture.norths[..2] {
        north.signal("-TERM");
    }
    thread::sleep(Duration::from_secs(4));
    let mut caller = fixture.start_stream(2, REMOVED_AFTER);
    fixture.norths[2].signal("-TERM");
    let answer = caller.answer();
    let forgotten = fixture.south.logged("member_forgotten");
    assert!(
        answer.is_complete,
        "cut {:?} after the delegates were stopped: {forgotten:?}",
        stopped_at.elapsed()
    );
    assert!(stopped_at.elapsed() > REMOVED_AFTER);
    for mut delegate in delegates {
        assert!(delegate.answer().is_complete);
    }
    for north in &mut fixture.norths {
        assert_eq!(north.wait(), Some(0));
    }
    drop(fixture.store);
}
/// Guards against delegates that pass nothing on while they drain, although the others still count on them:
/// the instances of other regions then take all of the region for gone.
#[test]
fn delegates_that_drain_still_tell_other_regions_who_is_alive() {
    let fixture = Fixture::start();
    let _streams: Vec<Caller> = (0..2)
        .map(|north| fixture.start_stream(north, Duration::from_secs(10)))
        .collect();
    for north in &fixture.norths[..2] {
        north.signal("-TERM");
    }
    let listed = || {
        let body = fixture.south.resolve("north").body;
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        answer["addresses"].clone()
    };
    let ready = json!([fixture.norths[2].callers]);
    wait_until("only the third instance takes callers", || {
        listed() == ready
    });
    // Longer than an unheard instance is listed, and shorter than the streams.
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        assert_eq!(listed(), ready);
        thread::sleep(Duration::from_millis(50));
    }
}
