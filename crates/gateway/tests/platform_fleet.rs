//! Tests of several instances that cooperate on the platform.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Caller, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script, Store,
};
use serde_json::json;
use std::time::{Duration, Instant};

/// Options of an instance that is connected to the store directly.
fn options(name: &'static str, region: &'static str, store: &Store) -> InstanceOptions {
    InstanceOptions {
        name,
        region,
        store: store.address,
    }
}

/// Waits until all instances receive each other's gossip.
fn wait_for_links(instances: &[&Instance]) {
    for instance in instances {
        wait_until("the instances receive gossip from each other", || {
            let heard = format!("carobwheel_instances_heard {}", instances.len());
            instance.metrics_text().contains(&heard)
        });
    }
}

#[test]
fn a_request_bound_to_another_region_runs_there() {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"]});
    let config = ConfigBuilder::new(1).route("/read/", "idempotent", "registry", 2, homes);
    store.publish(&config);
    let (north, south) = (Engine::start("i-n"), Engine::start("i-s"));
    north.register(&store, "registry", "north-a", "ready");
    south.register(&store, "registry", "south-a", "ready");
    let first = Instance::start_ready(&options("north-1", "north", &store));
    let second = Instance::start_ready(&options("south-1", "south", &store));
    wait_for_links(&[&first, &second]);
    let mut caller = first.caller();
    let mut status = 0;
    wait_until("the request is served", || {
        caller.send("GET", "/read/x?q=1", "a-1", "", "");
        status = caller.answer().status;
        status == 200
    });
    assert!(north.seen().is_empty());
    let seen = south.seen();
    assert_eq!(seen[0].line, "GET /read/x?q=1 HTTP/1.1");
    assert_eq!(seen[0].header("x-carobwheel-tenant"), Some("valuers"));
    assert!(seen[0]
        .headers
        .iter()
        .all(|(name, _)| !name.starts_with("cw-")));
}

#[test]
fn a_forwarded_stream_completes_during_a_graceful_stop() {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"], "timeoutMs": 8_000});
    store.publish(&ConfigBuilder::new(1).route("/chat/", "streaming", "model", 1, homes));
    let engine = Engine::start("i-s");
    engine.register(&store, "model", "south-a", "ready");
    let first = Instance::start_ready(&options("north-1", "north", &store));
    let mut second = Instance::start_ready(&options("south-1", "south", &store));
    wait_for_links(&[&first, &second]);
    // Instances are linked a little before their gossip reports the other region's upstreams.
    let whole = |until, pause_ms| Script::Events {
        until,
        pause_ms,
        is_complete: true,
    };
    engine.script([whole(1, 0)]);
    let mut early = first.caller();
    wait_until("requests are forwarded", || {
        early.send("POST", "/chat/x", "early", "", "");
        early.answer().status == 200
    });
    let before = engine.seen().len();
    engine.script([whole(50, 100)]);
    let mut caller = first.caller();
    caller.write(
        "POST /chat/x HTTP/1.1\r\nHost: rugs.example\r\nX-Carobwheel-Attempt-Id: a-1\r\n\
         X-Carobwheel-Deadline-Ms: 8000\r\nX-Carobwheel-Key: key-of-valuers\r\nContent-Length: 0\r\n\r\n",
    );
    wait_until("the stream is running", || engine.seen().len() > before);
    second.signal("-TERM");
    let answer = caller.answer();
    assert!(answer.is_complete, "{}", answer.body.len());
    assert_eq!(second.wait(), Some(0));
}

/// Head of a request without a body, after the method and the path.
fn head_of(id: &str, deadline_ms: u64) -> String {
    format!(
        "HTTP/1.1\r\nHost: rugs.example\r\nX-Carobwheel-Attempt-Id: {id}\r\n\
         X-Carobwheel-Deadline-Ms: {deadline_ms}\r\nX-Carobwheel-Key: key-of-valuers\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Time for which the instance that relays an answer stands still.
const SILENCE: Duration = Duration::from_millis(3_500);

/// A request to `north` whose stream of 4 s is relayed by `south`.
struct ForwardedStream {
    caller: Caller,
    sent_at: Instant,
    south: Instance,
    north: Instance,
    _engine: Engine,
    store: Store,
}

impl ForwardedStream {
    fn start(deadline_ms: u64) -> Self {
        let store = Store::start();
        let homes = json!({"homeRegions": ["south"], "timeoutMs": 20_000});
        store.publish(&ConfigBuilder::new(1).route("/chat/", "streaming", "model", 1, homes));
        let engine = Engine::start("i-s");
        engine.register(&store, "model", "south-a", "ready");
        let north = Instance::start_ready(&options("north-1", "north", &store));
        let south = Instance::start_ready(&options("south-1", "south", &store));
        wait_for_links(&[&north, &south]);
        let events = |until, pause_ms| Script::Events {
            until,
            pause_ms,
            is_complete: true,
        };
        engine.script([events(1, 0)]);
        let mut early = north.caller();
        wait_until("requests are forwarded", || {
            early.send("POST", "/chat/x", "early", "", "");
            early.answer().status == 200
        });
        let before = engine.seen().len();
        engine.script([events(40, 100)]);
        let mut caller = north.caller();
        let sent_at = Instant::now();
        caller.write(&format!("POST /chat/x {}", head_of("a-1", deadline_ms)));
        wait_until("the stream is running", || engine.seen().len() > before);
        std::thread::sleep(Duration::from_millis(500));
        Self {
            caller,
            sent_at,
            south,
            north,
            _engine: engine,
            store,
        }
    }

    /// Another process of the instance in the south.
    fn start_south(&self) -> Instance {
        Instance::start(&options("south-1", "south", &self.store))
    }
}

#[test]
fn a_forwarded_answer_is_not_cut_while_its_link_is_silent() {
    let mut stream = ForwardedStream::start(15_000);
    stream.south.signal("-STOP");
    std::thread::sleep(SILENCE);
    stream.south.signal("-CONT");
    let answer = stream.caller.answer();
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete, "{} bytes", answer.body.len());
}

/// Time after a deadline by which a request has to end.
const MAX_PAST_DEADLINE: Duration = Duration::from_millis(500);

#[test]
fn a_forwarded_answer_ends_at_its_deadline_although_its_link_is_silent() {
    let deadline = Duration::from_millis(4_000);
    let mut stream = ForwardedStream::start(4_000);
    stream.south.signal("-STOP");
    let answer = stream.caller.answer();
    let took = stream.sent_at.elapsed();
    stream.south.signal("-CONT");
    assert!(!answer.is_complete);
    assert!(took >= deadline, "{took:?}");
    assert!(took <= deadline + MAX_PAST_DEADLINE, "{took:?}");
}

#[test]
fn an_answer_of_a_killed_process_ends_when_its_successor_is_known() {
    let mut stream = ForwardedStream::start(15_000);
    let seen = || stream.north.logged("member_seen").len();
    let before = seen();
    stream.south.signal("-KILL");
    let _successor = stream.start_south();
    wait_until("the successor is known", || seen() > before);
    let since = Instant::now();
    let answer = stream.caller.answer();
    assert!(!answer.is_complete);
    assert!(
        since.elapsed() < Duration::from_secs(2),
        "{:?}",
        since.elapsed()
    );
}

/// Bytes of an answer that fit into the windows of a link, but not into a socket's buffer.
const LARGE_BYTES: usize = 1024 * 1024;

#[test]
fn a_forwarded_answer_arrives_before_the_instance_that_relays_it_exits() {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"], "timeoutMs": 20_000});
    store.publish(&ConfigBuilder::new(1).route("/read/", "idempotent", "registry", 1, homes));
    let engine = Engine::start("i-s");
    engine.register(&store, "registry", "south-a", "ready");
    let north = Instance::start_ready(&options("north-1", "north", &store));
    let mut south = Instance::start_ready(&options("south-1", "south", &store));
    wait_for_links(&[&north, &south]);
    let mut caller = north.caller();
    wait_until("requests are forwarded", || {
        caller.send("GET", "/read/x", "early", "", "");
        caller.answer().status == 200
    });
    let head = format!(
        "HTTP/1.1 200 X\r\nx-carobwheel-attempt-id: {{id}}\r\nx-carobwheel-server-seal: sealed\r\n\
         content-length: {LARGE_BYTES}\r\n\r\n"
    );
    let slow = RawEnd::Slow(&[b'x'; 64 * 1024], 100);
    let before = engine.seen().len();
    engine.replace_script([Script::Raw(head.into_bytes(), slow)]);
    caller.write(&format!("GET /read/x {}", head_of("large", 15_000)));
    wait_until("the answer is under way", || engine.seen().len() > before);
    south.signal("-TERM");
    std::thread::sleep(Duration::from_millis(400));
    north.signal("-STOP");
    // Longer than a stop takes that waits for nothing.
    std::thread::sleep(Duration::from_millis(4_500));
    north.signal("-CONT");
    let answer = caller.answer();
    assert!(answer.is_complete, "{} bytes", answer.body.len());
    assert_eq!(south.wait(), Some(0));
}

#[test]
fn a_stopping_instance_refuses_forwarded_requests() {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"], "timeoutMs": 8_000});
    store.publish(&ConfigBuilder::new(1).route("/chat/", "streaming", "model", 1, homes));
    let engine = Engine::start("i-s");
    engine.register(&store, "model", "south-a", "ready");
    let first = Instance::start_ready(&options("north-1", "north", &store));
    let second = Instance::start_ready(&options("south-1", "south", &store));
    let third = Instance::start_ready(&options("south-2", "south", &store));
    wait_for_links(&[&first, &second, &third]);
    let whole = Script::Events {
        until: 1,
        pause_ms: 0,
        is_complete: true,
    };
    engine.script(std::iter::repeat_n(whole, 200));
    let mut caller = first.caller();
    let serve = |caller: &mut Caller, id: &str| {
        caller.send("POST", "/chat/x", id, "", "");
        caller.answer().status
    };
    for instance in [&second, &third] {
        wait_until("requests are forwarded to both", || {
            serve(&mut caller, "early") == 200 && !instance.logged("placed").is_empty()
        });
    }
    second.signal("-TERM");
    wait_until("the instance is stopping", || {
        !second.logged("stopping").is_empty()
    });
    for number in 0..40 {
        assert_eq!(serve(&mut caller, &format!("late-{number}")), 200);
    }
    let late = |line: &serde_json::Value| {
        let request = line["request"].as_str();
        request.is_some_and(|id| id.starts_with("late"))
    };
    assert!(!second.logged("placed").iter().any(late));
    assert!(third.logged("placed").iter().any(late));
}

#[test]
fn an_instance_without_the_store_pulls_changes_from_others() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-n");
    engine.register(&store, "registry", "north-a", "ready");
    let first = Instance::start_ready(&options("north-1", "north", &store));
    let second_address = store.second_address();
    let second = Instance::start_ready(&InstanceOptions {
        name: "north-2",
        region: "north",
        store: second_address.address,
    });
    wait_for_links(&[&first, &second]);
    second_address.block();
    wait_until("the outage of the store is noticed", || {
        !second.logged("dependency_lost").is_empty()
    });
    store.publish(&ConfigBuilder::new(2).without("/read/"));
    let mut caller = second.caller();
    wait_until("the change is in force", || {
        caller.send("GET", "/read/x", "a-1", "", "");
        caller.answer().status == 404
    });
    wait_until("the pull is logged", || !second.logged("pulled").is_empty());
}

#[test]
fn the_directory_lists_ready_instances_of_the_callers_region() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let first = Instance::start_ready(&options("north-1", "north", &store));
    let mut second = Instance::start_ready(&options("south-1", "south", &store));
    wait_for_links(&[&first, &second]);
    let listed = |region: &str| {
        let body = first.resolve(region).body;
        let answer: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        answer["addresses"].clone()
    };
    wait_until("each region lists its own instance", || {
        listed("north") == json!([first.callers]) && listed("south") == json!([second.callers])
    });
    second.signal("-TERM");
    wait_until("the leaving instance is no longer listed", || {
        listed("south") == json!([first.callers])
    });
    assert_eq!(second.wait(), Some(0));
}

#[test]
fn two_instances_share_an_accounts_limit() {
    let store = Store::start();
    let account = json!({"name": "valuers", "apiKeys": ["key-of-valuers"], "plainTokens": 100,
        "ratePerS": 2_000, "burst": 2_000});
    store.publish(&ConfigBuilder::new(1).account(account));
    let engine = Engine::start("i-n");
    engine.register(&store, "registry", "north-a", "ready");
    let first = Instance::start_ready(&options("north-1", "north", &store));
    let second = Instance::start_ready(&options("north-2", "north", &store));
    wait_for_links(&[&first, &second]);
    let started = Instant::now();
    let mut callers = [first.caller(), second.caller()];
    let mut served = 0;
    while started.elapsed() < Duration::from_secs(4) {
        for caller in &mut callers {
            caller.send("GET", "/read/x", "a", "", "");
            served += u32::from(caller.answer().status == 200);
        }
    }
    let seconds = started.elapsed().as_secs_f64();
    // Rate and burst, plus a margin for the delay of one gossip period and for the start.
    let most = (2_000.0 * seconds + 2_000.0) * 1.1 / 100.0 + 20.0;
    assert!(f64::from(served) <= most, "{served} served, {most} allowed");
    assert!(
        f64::from(served) >= 0.6 * 20.0 * seconds,
        "only {served} served"
    );
}

#[test]
fn a_bad_version_is_reverted() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (old, new) = (Engine::start("i-old"), Engine::start("i-new"));
    old.register(&store, "registry", "north-a", "ready");
    let instance = Instance::start_ready(&options("north-1", "north", &store));
    let order = json!({"service": "registry", "target": "v2", "durationS": 30});
    store.put("op/rollout/registry", &order);
    let entry = json!({"service": "registry", "address": new.address, "zone": "north-a",
        "version": "v2", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1});
    store.put("servers/i-new", &entry);
    new.script(vec![Script::Answer(500, "fault"); 200]);
    let mut caller = instance.caller();
    let mut sent = 0_usize;
    wait_until("the version is reverted", || {
        for _ in 0..10 {
            sent += 1;
            caller.send("POST", "/write/x", &format!("a-{sent}"), "", "");
            caller.answer();
        }
        store
            .get("status/rollout/registry")
            .is_some_and(|state| state["state"] == "reverted")
    });
    let at_new = new.seen().len();
    assert!(
        at_new <= 50 + sent / 10,
        "{at_new} of {sent} reached the bad version"
    );
    for n in 0..50 {
        caller.send("POST", "/write/x", &format!("b-{n}"), "", "");
        assert_eq!(caller.answer().status, 200);
    }
    assert_eq!(new.seen().len(), at_new);
}

#[test]
fn an_instance_that_starts_in_a_rollout_does_not_complete_it() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (old, new) = (Engine::start("i-old"), Engine::start("i-new"));
    old.register(&store, "registry", "north-a", "ready");
    let order = json!({"service": "registry", "target": "v2", "durationS": 3});
    store.put("op/rollout/registry", &order);
    let entry = json!({"service": "registry", "address": new.address, "zone": "north-a",
        "version": "v2", "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1});
    store.put("servers/i-new", &entry);
    let instance = Instance::start_ready(&options("north-1", "north", &store));
    let mut caller = instance.caller();
    let mut sent = 0;
    let mut state = String::new();
    wait_until("there is a verdict", || {
        sent += 1;
        caller.send("POST", "/write/x", &format!("a-{sent}"), "", "");
        caller.answer();
        let recorded = store.get("status/rollout/registry");
        state = recorded.map_or_else(String::new, |value| value["state"].to_string());
        !matches!(state.as_str(), "" | "\"active\"")
    });
    assert_eq!(state, "\"reverted\"");
}
