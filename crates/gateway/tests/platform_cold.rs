//! Rate of requests to engines that become cold, over all instances.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{start_region, wait_until, ConfigBuilder, Engine, Instance, Store};
use serde_json::json;
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
    /// Waits until the last line about the data centre says so on all instances.
    fn wait_for_evacuation(&self, is_evacuated: bool) {
        wait_until("the order is applied", || {
            self.instances.iter().all(|instance| {
                let lines = instance.logged("evacuated");
                lines
                    .last()
                    .is_some_and(|line| line["is_evacuated"] == is_evacuated)
            })
        });
    }

    /// Sends requests to all instances for a time, `every` so often to each, without waiting for
    /// their answers.
    fn send_for(&self, time: Duration, every: Duration) {
        let end = Instant::now() + time;
        let mut callers = Vec::new();
        while Instant::now() < end {
            for instance in &self.instances {
                let mut caller = instance.caller();
                caller.send("POST", "/chat/x", &format!("a-{}", callers.len()), "", "");
                callers.push(caller);
            }
            thread::sleep(every);
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

/// Guards against the end of an evacuation that is read before the engines' entries.
#[test]
fn an_engine_whose_evacuation_ends_before_its_entry_is_read_is_not_flooded() {
    let region = start(&["north-1", "north-2"]);
    region.store.put("op/evacuate/north-a", &json!({}));
    region.wait_for_evacuation(true);
    region.store.hold_back(Some("servers/"));
    region.engine.become_cold(COLD_MS);
    let start = Instant::now();
    region
        .engine
        .register(&region.store, "model", "north-a", "ready");
    region.store.remove("op/evacuate/north-a");
    region.wait_for_evacuation(false);
    region.send_for(Duration::from_millis(1_500), Duration::from_millis(60));
    let most = region.most_in_a_second(start);
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
    assert!(most > 0, "the engine is not used");
}

/// Guards against instances that cannot learn from the store that an engine has become cold.
#[test_case(&["north-1"]; "one instance")]
#[test_case(&["north-1", "north-2"]; "two instances")]
fn an_engine_that_becomes_cold_while_the_store_is_away_is_not_flooded(names: &[&'static str]) {
    let region = start(names);
    region.store.set_refusing(true);
    for instance in &region.instances {
        wait_until("the store is missed", || {
            !instance.logged("dependency_lost").is_empty()
        });
    }
    let every = Duration::from_millis(60 * names.len() as u64);
    region.send_for(Duration::from_millis(2_500), every);
    let before = region.most_in_a_second(Instant::now() - Duration::from_millis(1_200));
    assert!(
        before > MAX_IN_A_SECOND,
        "{before}: the engine is not used as a warm one"
    );
    region.engine.become_cold(COLD_MS);
    let start = Instant::now();
    region.send_for(Duration::from_millis(2_000), every);
    let most = region.most_in_a_second(start);
    assert!(most <= MAX_IN_A_SECOND, "{most} in a second");
}
