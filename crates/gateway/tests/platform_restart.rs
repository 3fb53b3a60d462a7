//! Rate of requests to engines that crash and start again, cold, under their id and address.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    start_region, wait_until, Caller, ConfigBuilder, Engine, Instance, Script, Store,
};
use std::{
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

/// Requests that a cold engine bears in any second: 2 a second of the configuration, 1.5 times and
/// 3 more.
const MAX_IN_A_SECOND: usize = 6;
/// Time for which an engine is cold, in milliseconds; the configuration says the same.
const COLD_MS: u64 = 3_000;
/// Interval of requests to each instance.
const EVERY: Duration = Duration::from_millis(60);

struct Region {
    store: Store,
    engine: Engine,
    instances: Vec<Instance>,
}

/// Starts instances of one region that hear each other, and its only engine.
fn start(names: &[&'static str]) -> Region {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engine = Engine::start("i-1");
    engine.register(&store, "model", "north-a", "ready");
    let instances = start_region(store.address, names);
    Region {
        store,
        engine,
        instances,
    }
}

impl Region {
    /// Opens a stream from the engine at each of the first `count` instances.
    fn open_streams(&self, count: usize) -> Vec<Caller> {
        let stream = Script::Events {
            until: 10_000,
            pause_ms: 20,
            is_complete: true,
        };
        self.engine.script(vec![stream; count]);
        let open = |instance: &Instance| {
            let mut caller = instance.caller();
            caller.send("POST", "/chat/x", "stream", "", "");
            caller.read_until("piece 1\n\n\r\n");
            caller
        };
        self.instances[..count].iter().map(open).collect()
    }

    /// Sends requests to the instances from the index `first` on for a time, without waiting for their
    /// answers.
    fn send_for(&self, first: usize, time: Duration) {
        let end = Instant::now() + time;
        let mut callers = Vec::new();
        while Instant::now() < end {
            for instance in &self.instances[first..] {
                let mut caller = instance.caller();
                caller.send("POST", "/chat/x", &format!("a-{}", callers.len()), "", "");
                callers.push(caller);
            }
            thread::sleep(EVERY);
        }
    }

    /// Most requests in one second from `start` on.
    fn most_in_a_second(&self, start: Instant) -> usize {
        let arrivals = self.engine.arrivals();
        let later: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= start).collect();
        let within = |from: &Instant| {
            let end = *from + Duration::from_secs(1);
            later.iter().filter(|at| *at >= from && **at < end).count()
        };
        later.iter().map(within).max().unwrap_or_default()
    }
}

/// Guards against instances that take a broken connection for no sign of a restart.
#[test_case(0; "back at once")]
#[test_case(400; "back after a pause")]
fn instances_whose_connections_broke_do_not_flood_an_upstream_that_restarted_under_its_id(
    down_ms: u64,
) {
    let region = start(&["north-1", "north-2"]);
    let _streams = region.open_streams(2);
    region.engine.stop();
    thread::sleep(Duration::from_millis(down_ms));
    let start = Instant::now();
    region.engine.start_again(COLD_MS);
    region.send_for(0, Duration::from_millis(2_500));
    let most = region.most_in_a_second(start);
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    assert!(most > 0, "the engine is not used");
}

/// Guards against instances that had no connection and do not hear of the restart from the others.
#[test_case(false; "the store is up")]
#[test_case(true; "the store is away")]
fn instances_that_saw_nothing_do_not_flood_an_upstream_that_restarted_under_its_id(is_away: bool) {
    let region = start(&["north-1", "north-2", "north-3"]);
    let _streams = region.open_streams(1);
    region.store.set_refusing(is_away);
    region.engine.stop();
    thread::sleep(Duration::from_millis(200));
    let start = Instant::now();
    region.engine.start_again(COLD_MS);
    region.send_for(1, Duration::from_millis(2_500));
    let most = region.most_in_a_second(start);
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    assert!(most > 0, "the engine is not used");
}

/// Guards against entries that arrive late: a last one of the process that has ended, then that of the
/// next.
#[test]
fn late_entries_do_not_let_an_upstream_that_restarted_be_flooded() {
    let region = start(&["north-1", "north-2", "north-3"]);
    let _streams = region.open_streams(1);
    region.engine.stop();
    region
        .engine
        .register(&region.store, "model", "north-a", "ready");
    let start = Instant::now();
    region.engine.start_again(COLD_MS);
    region.send_for(0, Duration::from_millis(600));
    region
        .engine
        .register_life(&region.store, "model", "north-a", "ready", 2);
    region.send_for(0, Duration::from_millis(1_900));
    let most = region.most_in_a_second(start);
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    assert!(most > 0, "the engine is not used");
}

/// Guards against a false alarm, which must not limit a warm engine for the whole cold time.
#[test]
fn a_warm_upstream_that_breaks_all_connections_is_soon_used_again() {
    let region = start(&["north-1", "north-2"]);
    let _streams = region.open_streams(2);
    let checks = region.engine.health_checks();
    region.engine.break_connections();
    wait_until("the engine is asked", || {
        region.engine.health_checks() > checks
    });
    let start = Instant::now();
    region.send_for(0, Duration::from_millis(1_000));
    let most = region.most_in_a_second(start);
    assert!(most > 2 * MAX_IN_A_SECOND, "{most} in a second");
}

impl Region {
    /// Sends short streams at each instance and reads them to their ends, so that only idle connections to
    /// the engine are left.
    fn leave_idle_connections(&self, at_each: usize) {
        let short = Script::Events {
            until: 2,
            pause_ms: 40,
            is_complete: true,
        };
        self.engine
            .script(vec![short; at_each * self.instances.len()]);
        let mut callers = Vec::new();
        for instance in &self.instances {
            for number in 0..at_each {
                let mut caller = instance.caller();
                caller.send("POST", "/chat/x", &format!("idle-{number}"), "", "");
                callers.push(caller);
            }
        }
        for caller in &mut callers {
            assert!(caller.answer().is_complete);
        }
    }
}

/// Guards against an engine that ends and starts again between two requests: the end of idle connections was no
/// sign, so that all requests went there as to a warm engine.
#[test_case(&["north-1"], 0; "one instance, back at once")]
#[test_case(&["north-1"], 200; "one instance, back after a pause")]
#[test_case(&["north-1", "north-2", "north-3"], 200; "three instances")]
fn an_upstream_that_restarts_while_only_idle_connections_are_open_is_not_flooded(
    names: &[&'static str],
    down_ms: u64,
) {
    let region = start(names);
    region.leave_idle_connections(4);
    region.engine.stop();
    thread::sleep(Duration::from_millis(down_ms));
    region.engine.start_again(COLD_MS);
    // The time of a health check and of its report to the region.
    thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    region.send_for(0, Duration::from_millis(2_500));
    let most = region.most_in_a_second(start);
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    assert!(most > 0, "the engine is not used");
}

/// Guards against a sound engine that counts as cold since it closes idle connections.
#[test]
fn an_upstream_that_closes_idle_connections_stays_warm() {
    let region = start(&["north-1"]);
    region.leave_idle_connections(4);
    let checks = region.engine.health_checks();
    region.engine.break_connections();
    wait_until("the engine is asked", || {
        region.engine.health_checks() > checks
    });
    let instance = &region.instances[0];
    assert!(instance.logged("upstream_assumed_cold").is_empty());
    let start = Instant::now();
    region.send_for(0, Duration::from_millis(1_000));
    assert!(region.most_in_a_second(start) > MAX_IN_A_SECOND);
}

/// Guards against checks without end of an engine that closes each connection after its response.
#[test]
fn an_upstream_that_closes_each_connection_is_asked_now_and_then() {
    let region = start(&["north-1"]);
    region.leave_idle_connections(1);
    let checks = region.engine.health_checks();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        region.engine.break_connections();
        thread::sleep(Duration::from_millis(5));
    }
    let asked = region.engine.health_checks() - checks;
    assert!((1..=6).contains(&asked), "{asked}");
}
