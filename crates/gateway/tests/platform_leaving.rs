//! Upstreams that state in their responses that they are leaving.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    start_region, wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, RawEnd, Script,
    Store,
};
use std::{
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

/// Time after the first such response from which the upstream must get no request.
const DRAIN: Duration = Duration::from_secs(4);
/// Interval of requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Store with a configuration, and two upstreams that are registered as ready.
fn start() -> (Store, Engine, Engine) {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (first, second) = (Engine::start("i-1"), Engine::start("i-2"));
    for engine in [&first, &second] {
        engine.register(&store, "registry", "north-a", "ready");
    }
    (store, first, second)
}

/// Sends requests for a time; returns the statuses.
fn send_for(instance: &Instance, path: &str, duration: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut statuses = Vec::new();
    let mut caller = instance.caller();
    while start.elapsed() < duration {
        let id = format!("{path}-{}", rand::random::<u32>()).replace('/', "");
        caller.send("GET", path, &id, "", "");
        let answer = caller.answer();
        statuses.push(answer.status);
        if !answer.is_complete {
            caller = instance.caller();
        }
        thread::sleep(INTERVAL);
    }
    statuses
}

/// Makes the upstream that gets the requests of idle times leave; returns it and the other one.
fn make_used_one_leave(
    instance: &Instance,
    path: &str,
    engines: (Engine, Engine),
) -> (Engine, Engine) {
    send_for(instance, path, 4 * INTERVAL);
    let (first, second) = engines;
    let (leaving, other) = if first.seen().len() > second.seen().len() {
        (first, second)
    } else {
        (second, first)
    };
    leaving.state_leaving(Some("1"));
    (leaving, other)
}

/// Number of requests that arrived later than `DRAIN` after `from`.
fn late(engine: &Engine, from: Instant) -> usize {
    let arrivals = engine.arrivals();
    arrivals.iter().filter(|at| **at > from + DRAIN).count()
}

/// Requests were sent to a leaving upstream for as long as its entry in the store said ready.
#[test_case("/read/x", &[Script::Answer(200, "ok")]; "whole answers")]
#[test_case("/read/x", &[Script::Answer(404, "no")]; "answers other than success")]
#[test_case("/read/x", &[Script::NotRun]; "refusals")]
#[test_case("/brief/x", &[Script::Events { until: 2, pause_ms: 5, is_complete: true }]; "streams")]
#[test_case("/brief/x", &[Script::Events { until: 2, pause_ms: 5, is_complete: false }]; "streams that break and are resumed")]
fn an_upstream_that_says_it_leaves_gets_no_more_requests(path: &str, scripts: &[Script]) {
    let (store, first, second) = start();
    for engine in [&first, &second] {
        if path.starts_with("/brief") {
            engine.register(&store, "model", "north-a", "ready");
        }
        engine.script(scripts.iter().cycle().take(2_000).cloned());
    }
    let instances = start_region(store.address, &["north-1"]);
    let (leaving, other) = make_used_one_leave(&instances[0], path, (first, second));
    let stated_at = Instant::now() + 2 * INTERVAL;
    store.set_silent(true);
    send_for(&instances[0], path, DRAIN + 10 * INTERVAL);
    assert_eq!(late(&leaving, stated_at), 0);
    assert!(late(&other, stated_at) > 0, "nothing is sent at all");
    assert!(!instances[0].logged("upstream_leaving").is_empty());
    let metrics = instances[0].metrics_text();
    assert!(metrics.contains("carobwheel_upstreams_leaving 1\n"));
}

/// An entry of the same process that is read later made the upstream usable again.
#[test]
fn an_older_entry_does_not_undo_what_an_upstream_has_said_and_a_new_process_is_free() {
    let (store, first, second) = start();
    let instances = start_region(store.address, &["north-1"]);
    let instance = &instances[0];
    let (leaving, other) = make_used_one_leave(instance, "/read/x", (first, second));
    let stated_at = Instant::now() + 2 * INTERVAL;
    send_for(instance, "/read/x", 4 * INTERVAL);
    store.put("servers/i-other", &serde_json::json!({}));
    leaving.register(&store, "registry", "north-a", "ready");
    send_for(instance, "/read/x", DRAIN + 10 * INTERVAL);
    assert_eq!(late(&leaving, stated_at), 0);
    leaving.state_leaving(None);
    leaving.register_life(&store, "registry", "north-a", "ready", 2);
    other.state_leaving(Some("1"));
    let before = leaving.seen().len();
    wait_until("the new process is used", || {
        send_for(instance, "/read/x", INTERVAL);
        leaving.seen().len() > before
    });
}

/// Each instance sent requests until it had an answer of its own.
#[test]
fn the_instances_of_the_region_tell_each_other_which_upstreams_leave() {
    let (store, first, second) = start();
    let instances = start_region(store.address, &["north-1", "north-2"]);
    let (leaving, _other) = make_used_one_leave(&instances[0], "/read/x", (first, second));
    send_for(&instances[0], "/read/x", 4 * INTERVAL);
    wait_until("the other instance hears of it", || {
        let metrics = instances[1].metrics_text();
        metrics.contains("carobwheel_upstreams_leaving 1\n")
    });
    let before = leaving.seen().len();
    let statuses = send_for(&instances[1], "/read/x", 10 * INTERVAL);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(leaving.seen().len(), before);
}

/// A health response that says it is the only news while the store cannot be reached.
#[test]
fn an_upstream_that_says_in_its_health_responses_that_it_leaves_gets_no_requests() {
    let (store, first, second) = start();
    for engine in [&first, &second] {
        engine.register(&store, "model", "north-a", "ready");
        engine.script(std::iter::repeat_n(
            Script::Events {
                until: 1,
                pause_ms: 1,
                is_complete: true,
            },
            2_000,
        ));
    }
    let instances = start_region(store.address, &["north-1"]);
    store.set_refusing(true);
    wait_until("the upstreams are asked", || first.health_checks() > 0);
    first.state_leaving(Some("1"));
    wait_until("the health response is read", || {
        !instances[0].logged("upstream_leaving").is_empty()
    });
    send_for(&instances[0], "/brief/x", 10 * INTERVAL);
    assert!(first.seen().is_empty());
}

/// Values that say nothing, and a late refusal of another request, took an upstream out of use.
#[test_case(Some("0"), &[]; "zero")]
#[test_case(Some("soon"), &[]; "not a number")]
#[test_case(None, b"HTTP/1.1 503 X\r\nx-carobwheel-attempt-id: other\r\nx-carobwheel-not-executed: 1\r\nserver-leaving: 1\r\ncontent-length: 0\r\n\r\n"; "of another request")]
fn a_statement_that_is_not_valid_takes_no_upstream_out_of_use(text: Option<&str>, raw: &[u8]) {
    let (store, first, second) = start();
    let instances = start_region(store.address, &["north-1"]);
    for engine in [&first, &second] {
        engine.state_leaving(text);
        if !raw.is_empty() {
            engine.script([Script::Raw(raw.to_vec(), RawEnd::Open)]);
        }
    }
    let mut statuses = send_for(&instances[0], "/read/x", 10 * INTERVAL);
    statuses.drain(..2);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert!(instances[0].logged("upstream_leaving").is_empty());
    assert_eq!(
        instances[0].logged("upstream_leaving_ignored").is_empty(),
        text.is_none()
    );
}

/// Callers waited for upstreams that would take nothing.
#[test]
fn requests_are_refused_at_once_while_all_upstreams_leave() {
    let (store, first, second) = start();
    let instances = start_region(store.address, &["north-1"]);
    for engine in [&first, &second] {
        engine.state_leaving(Some("1"));
    }
    let stated_at = Instant::now() + 6 * INTERVAL;
    send_for(&instances[0], "/read/x", DRAIN);
    let asked_at = Instant::now();
    let mut caller = instances[0].caller();
    caller.send("GET", "/read/x", "refused", "", "");
    let answer = caller.answer();
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(asked_at.elapsed() < Duration::from_secs(1));
    for engine in [&first, &second] {
        assert_eq!(late(engine, stated_at), 0);
        engine.state_leaving(None);
        engine.register_life(&store, "registry", "north-a", "ready", 2);
    }
    wait_until("requests are served again", || {
        send_for(&instances[0], "/read/x", INTERVAL) == [200]
    });
}

/// Sends actions to an instance whose region has one upstream, which leaves, loses its entry
/// and registers again in `state`. Returns the number of requests that reached it too late.
fn late_after_return(states_leaving: bool, state: &str) -> usize {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (leaving, other) = (Engine::start("i-1"), Engine::start("i-2"));
    leaving.register(&store, "registry", "north-a", "ready");
    other.register(&store, "registry", "south-a", "ready");
    let address = store.address;
    let start = |name, region| {
        Instance::start_ready(&InstanceOptions {
            name,
            region,
            store: address,
        })
    };
    let (north, south) = (start("north-1", "north"), start("south-1", "south"));
    for instance in [&north, &south] {
        wait_until("the instances hear each other", || {
            instance
                .metrics_text()
                .contains("carobwheel_instances_heard 2\n")
        });
    }
    send_for(&north, "/read/x", 4 * INTERVAL);
    assert!(!leaving.seen().is_empty());
    if states_leaving {
        leaving.state_leaving(Some("1"));
    } else {
        leaving.register(&store, "registry", "north-a", "draining");
    }
    let left_at = Instant::now() + 2 * INTERVAL;
    send_for(&north, "/read/x", DRAIN);
    store.remove("servers/i-1");
    send_for(&north, "/read/x", 10 * INTERVAL);
    wait_until("the upstream is forgotten", || {
        !north.logged("upstream_forgotten").is_empty()
    });
    leaving.register(&store, "registry", "north-a", state);
    let statuses = send_for(&north, "/read/x", 20 * INTERVAL);
    assert!(other.seen().len() > 10, "nothing runs elsewhere");
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    late(&leaving, left_at)
}

/// Guards against requests at an upstream that had been leaving for long, when its entry had gone and come
/// back: it was taken for one that had just begun to leave, or for one that stays.
#[test_case(false, "draining"; "that its entry says it drains")]
#[test_case(true, "ready"; "that it has said so itself")]
#[test_case(true, "draining"; "that it has said so itself and its entry says it drains")]
fn an_upstream_that_leaves_gets_no_requests_when_its_entry_comes_back(
    states_leaving: bool,
    state: &str,
) {
    assert_eq!(late_after_return(states_leaving, state), 0);
}

/// Guards against requests at an upstream that had been draining for long when this instance started.
#[test]
fn an_instance_that_starts_sends_nothing_to_an_upstream_that_drains() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (draining, other) = (Engine::start("i-1"), Engine::start("i-2"));
    draining.register(&store, "registry", "north-a", "draining");
    other.register(&store, "registry", "south-a", "ready");
    let north = Instance::start_ready(&InstanceOptions {
        name: "north-1",
        region: "north",
        store: store.address,
    });
    send_for(&north, "/read/x", 10 * INTERVAL);
    assert!(draining.seen().is_empty());
}
