//! Limits on the rate of requests that upstreams state in their responses.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{start_region, wait_until, ConfigBuilder, Engine, Instance, Script, Store};
use std::{
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

/// Window in which requests are counted, in seconds.
const WINDOW_S: f64 = 4.0;
/// Time after the first limit from which requests are counted.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Sends requests to a path at an interval; returns the status, time and `Retry-After` of each.
fn send_all(
    instance: &Instance,
    path: &str,
    count: usize,
    every: Duration,
) -> Vec<(u16, Duration, Option<f64>)> {
    let mut caller = instance.caller();
    let mut answers = Vec::new();
    for number in 0..count {
        let sent_at = Instant::now();
        let id = format!("{path}-{number}").replace('/', "");
        caller.send("GET", path, &id, "", "");
        let answer = caller.answer();
        let retry_after = answer
            .header("retry-after")
            .map(|text| text.parse().unwrap());
        answers.push((answer.status, sent_at.elapsed(), retry_after));
        thread::sleep(every.saturating_sub(sent_at.elapsed()));
    }
    answers
}

/// Most requests in a window from some time after `from`.
fn most_in_window(engine: &Engine, from: Instant) -> usize {
    let arrivals = engine.arrivals();
    let later: Vec<_> = arrivals.iter().filter(|at| **at >= from + SETTLE).collect();
    let in_window = |start: &&Instant| {
        let end = **start + Duration::from_secs_f64(WINDOW_S);
        later
            .iter()
            .filter(|at| **at >= *start && ***at < end)
            .count()
    };
    later.iter().map(in_window).max().unwrap_or_default()
}

/// Events of a stream with this pause after each.
fn events(pause_ms: u64) -> Script {
    Script::Events {
        until: 2,
        pause_ms,
        is_complete: true,
    }
}

#[test_case("/read/x", &Script::Answer(200, "ok"), &Script::Late(20, "ok"); "whole answers")]
#[test_case("/brief/x", &events(5), &events(25); "streams")]
fn an_upstream_that_names_a_limit_gets_no_more_than_that(
    path: &str,
    script: &Script,
    slower: &Script,
) {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let (first, second) = (Engine::start("i-1"), Engine::start("i-2"));
    for engine in [&first, &second] {
        for service in ["registry", "model"] {
            if path.starts_with("/read") == (service == "registry") {
                engine.register(&store, service, "north-a", "ready");
            }
        }
        engine.script(std::iter::repeat_n(script.clone(), 2_000));
    }
    let instances = start_region(store.address, &["north-1", "north-2"]);
    send_all(&instances[0], path, 10, Duration::ZERO);
    // Idle upstreams are used in a fixed order.
    let (limited, other) = if first.seen().len() > second.seen().len() {
        (first, second)
    } else {
        (second, first)
    };
    // Of two that are equally quick either may be preferred.
    other.replace_script(std::iter::repeat_n(slower.clone(), 2_000));
    limited.state_limit(Some("2.0"));
    let named_at = Instant::now();
    let answers: Vec<_> = thread::scope(|scope| {
        let senders: Vec<_> = instances
            .iter()
            .map(|instance| {
                scope.spawn(|| send_all(instance, path, 200, Duration::from_millis(40)))
            })
            .collect();
        let sent = senders
            .into_iter()
            .flat_map(|sender| sender.join().unwrap());
        sent.collect()
    });
    let most = most_in_window(&limited, named_at);
    let allowed = 1.5 * 2.0 * WINDOW_S + 5.0;
    assert!(most as f64 <= allowed, "{most} of {allowed} in 4 s");
    assert!(most >= 4, "{most}: the limit is not used");
    assert!(answers.iter().all(|(status, ..)| *status == 200));
    for instance in &instances {
        let metrics = instance.metrics_text();
        assert!(metrics.contains("carobwheel_upstreams_limited 1\n"));
    }
    limited.state_limit(None);
    wait_until("the upstream is used again", || {
        let before = limited.seen().len();
        for instance in &instances {
            send_all(instance, path, 10, Duration::ZERO);
        }
        limited.seen().len() >= before + 8
    });
}

#[test]
fn requests_beyond_the_limit_of_an_only_upstream_are_refused_early() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-1");
    engine.register(&store, "registry", "north-a", "ready");
    let instances = start_region(store.address, &["north-1", "north-2"]);
    engine.state_limit(Some("0.5"));
    let first = send_all(&instances[0], "/read/x", 1, Duration::ZERO);
    assert_eq!(first[0].0, 200);
    let answers = send_all(&instances[0], "/read/x", 20, Duration::from_millis(100));
    let refused: Vec<_> = answers
        .iter()
        .filter(|(status, ..)| *status == 503)
        .collect();
    assert!(refused.len() >= 15, "{answers:?}");
    let refused_waits = || {
        let waits = instances[0].logged("limit_waited");
        let is_refusal = |line: &&serde_json::Value| line["is_placed"] == false;
        waits.iter().filter(is_refusal).count()
    };
    wait_until("the refusals are logged", || {
        refused_waits() >= refused.len()
    });
    assert_eq!(refused_waits(), refused.len());
    for (_, took, retry_after) in &refused {
        // Half of the target latency of the route.
        assert!(*took < Duration::from_millis(450), "{took:?}");
        let retry_after = retry_after.unwrap();
        assert!((0.3..=4.0).contains(&retry_after), "{retry_after}");
    }
}

#[test]
fn a_limit_that_is_no_positive_number_has_no_effect() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-1");
    engine.register(&store, "registry", "north-a", "ready");
    let instances = start_region(store.address, &["north-1", "north-2"]);
    for text in ["0", "-1", "NaN", "1e400", "soon"] {
        engine.state_limit(Some(text));
        let answers = send_all(&instances[0], "/read/x", 10, Duration::from_millis(5));
        assert!(answers.iter().all(|(status, ..)| *status == 200), "{text}");
    }
    wait_until("the texts are logged", || {
        !instances[0].logged("upstream_limit_ignored").is_empty()
    });
}

#[test]
fn an_instance_that_does_not_use_a_limited_upstream_hands_requests_over() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-1");
    engine.register(&store, "registry", "north-a", "ready");
    let names = [
        "north-1", "north-2", "north-3", "north-4", "north-5", "north-6",
    ];
    let instances = start_region(store.address, &names);
    engine.state_limit(Some("20"));
    send_all(&instances[0], "/read/x", 1, Duration::ZERO);
    wait_until("all instances know the limit", || {
        let knows = |instance: &Instance| !instance.logged("upstream_limited").is_empty();
        instances.iter().all(knows)
    });
    for instance in &instances {
        let answers = send_all(instance, "/read/x", 5, Duration::from_millis(200));
        assert!(
            answers.iter().all(|(status, ..)| *status == 200),
            "{answers:?}"
        );
    }
    let used: usize = instances
        .iter()
        .filter(|instance| instance.logged("placed").len() >= 5)
        .count();
    assert!(used <= 4, "{used} instances use the upstream");
}
