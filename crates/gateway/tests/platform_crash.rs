//! Tests of prompts that crash the engines which answer them, on the platform's path.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Answer, ConfigBuilder, CrashEngine, CrashOptions, Instance, InstanceOptions, Store,
};
use serde_json::json;
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};
use test_case::test_case;

/// Identifier of the part that crashes engines.
const CRASH_PART: &str = "dead";
/// Interval of requests with that part, which is longer than the time within which crashes count
/// as one.
const CRASH_INTERVAL: Duration = Duration::from_millis(350);
/// Number of engine crashes by which requests with the part have to be refused.
const MAX_CRASHES: usize = 5;

/// Number of the next request.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Fleet with a store and engines of the service `model`.
struct Fleet {
    store: Store,
    instances: Vec<Instance>,
    engines: Vec<CrashEngine>,
}

/// Starts instances and engines with these names, which begin with their region.
fn fleet(instances: &[&'static str], engines: &[&str], options: &CrashOptions) -> Fleet {
    let store = Store::start();
    let home = json!({"resumable": true, "homeRegions": ["north", "south"]});
    store.publish(&ConfigBuilder::new(1).route("/brief/", "streaming", "model", 2, home));
    let region = |name: &str| {
        if name.starts_with("north") {
            "north"
        } else {
            "south"
        }
    };
    let engines = engines
        .iter()
        .map(|name| CrashEngine::start(name, &format!("{}-a", region(name)), &store, options))
        .collect();
    let instances: Vec<Instance> = instances
        .iter()
        .map(|&name| {
            Instance::start_ready(&InstanceOptions {
                name,
                region: region(name),
                store: store.address,
            })
        })
        .collect();
    for instance in &instances {
        wait_until("the instances receive gossip from each other", || {
            let heard = format!("carobwheel_instances_heard {}", instances.len());
            instance.metrics_text().contains(&heard)
        });
    }
    Fleet {
        store,
        instances,
        engines,
    }
}

impl Fleet {
    fn crashes(&self) -> usize {
        self.engines.iter().map(CrashEngine::crashes).sum()
    }

    fn received_with(&self, part: &str) -> usize {
        let received = self.engines.iter().map(|engine| engine.received_with(part));
        received.sum()
    }

    /// Sends sound requests until one is answered, so that their shared parts count as answered.
    fn warm_up(&self) {
        for instance in &self.instances {
            wait_until("sound requests are served", || {
                ask(instance, "5afe").status == 200
            });
        }
    }

    /// Sends requests with the part to an instance at intervals until they are refused.
    fn crash_until_refused(&self, instance: &Instance) -> Answer {
        let end = Instant::now() + Duration::from_secs(12);
        loop {
            let answer = ask(instance, CRASH_PART);
            if answer.status == 503 && answer.body.contains("is held") {
                return answer;
            }
            assert!(Instant::now() < end, "never refused: {answer:?}");
            for instance in &self.instances {
                ask(instance, "5afe");
            }
            thread::sleep(CRASH_INTERVAL);
        }
    }
}

/// Sends a request whose second part is `part`; the first is common to all, the last is its own.
fn ask(instance: &Instance, part: &str) -> Answer {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let extra = format!(
        "X-Carobwheel-Prompt-Prefix: c0:40,{part}:40,{:x}:20\r\nX-Carobwheel-Token-Usage: 100,10\r\n",
        0xf000_0000 + number
    );
    let mut caller = instance.caller();
    caller.send("POST", "/brief/x", &format!("a-{number}"), &extra, "");
    caller.answer()
}

#[test]
fn a_part_that_crashes_each_engine_stops_reaching_engines() {
    let engines = ["north-e1", "north-e2", "north-e3", "north-e4"];
    let fleet = fleet(&["north-1"], &engines, &CrashOptions::default());
    fleet.warm_up();
    let refused = fleet.crash_until_refused(&fleet.instances[0]);
    assert!(refused.header("retry-after").is_some(), "{}", refused.head);
    let crashes = fleet.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes}");
    let received = fleet.received_with(CRASH_PART);
    for _ in 0..20 {
        assert_eq!(ask(&fleet.instances[0], CRASH_PART).status, 503);
        let sound = ask(&fleet.instances[0], "5afe");
        assert!(sound.status == 200 && sound.is_complete, "{sound:?}");
    }
    assert_eq!(fleet.received_with(CRASH_PART), received);
    let held = fleet.instances[0].logged("part_held");
    assert_eq!(held.len(), 1, "{held:?}");
    assert_eq!(held[0]["part"], CRASH_PART);
    wait_until("the crashes are logged", || {
        !fleet.instances[0].logged("crash_seen").is_empty()
    });
    let refusals = fleet.instances[0].logged("hold_applied");
    assert!(refusals.iter().all(|line| line["part"] == CRASH_PART));
}

#[test]
fn a_part_held_by_one_instance_is_not_sent_by_the_others() {
    let engines = ["north-e1", "north-e2", "north-e3", "south-e1"];
    let names = ["north-1", "north-2", "south-1"];
    let fleet = fleet(&names, &engines, &CrashOptions::default());
    fleet.warm_up();
    fleet.crash_until_refused(&fleet.instances[0]);
    thread::sleep(Duration::from_millis(400));
    let received = fleet.received_with(CRASH_PART);
    for instance in &fleet.instances {
        assert_eq!(ask(instance, CRASH_PART).status, 503);
        assert_eq!(ask(instance, "5afe").status, 200);
    }
    assert_eq!(fleet.received_with(CRASH_PART), received);
}

#[test]
fn an_instance_that_was_just_started_does_not_send_a_held_part() {
    let engines = ["north-e1", "north-e2", "north-e3", "south-e1"];
    let fleet = fleet(&["north-1", "south-1"], &engines, &CrashOptions::default());
    fleet.warm_up();
    fleet.crash_until_refused(&fleet.instances[0]);
    thread::sleep(Duration::from_millis(400));
    let received = fleet.received_with(CRASH_PART);
    let started = Instance::start(&InstanceOptions {
        name: "north-2",
        region: "north",
        store: fleet.store.address,
    });
    wait_until("the instance is linked", || {
        !started.logged("link_up").is_empty()
    });
    thread::sleep(Duration::from_millis(20));
    assert_eq!(ask(&started, CRASH_PART).status, 503);
    assert_eq!(fleet.received_with(CRASH_PART), received);
}

#[test]
fn an_ordinary_crash_holds_nothing_and_its_waiting_requests_are_repeated() {
    let options = CrashOptions {
        think_ms: 300,
        down_ms: 400,
        ..CrashOptions::default()
    };
    let fleet = fleet(&["north-1"], &["north-e1", "north-e2"], &options);
    fleet.warm_up();
    for _ in 0..4 {
        let statuses: Vec<(u16, bool)> = thread::scope(|scope| {
            let asked: Vec<_> = (0..6)
                .map(|_| scope.spawn(|| ask(&fleet.instances[0], "5afe")))
                .collect();
            thread::sleep(Duration::from_millis(150));
            let busy = fleet
                .engines
                .iter()
                .max_by_key(|engine| engine.received_with("5afe"));
            busy.unwrap().crash();
            let answers = asked.into_iter().map(|asked| asked.join().unwrap());
            answers
                .map(|answer| (answer.status, answer.is_complete))
                .collect()
        });
        assert!(
            statuses.iter().all(|status| *status == (200, true)),
            "{statuses:?}"
        );
        thread::sleep(Duration::from_millis(1_200));
    }
    assert!(fleet.instances[0].logged("part_held").is_empty());
    assert!(fleet.instances[0].logged("hold_applied").is_empty());
}

#[test_case(true; "after the head")]
#[test_case(false; "before the head")]
fn a_request_under_which_an_engine_crashed_is_not_sent_to_another_engine(sends_head: bool) {
    let options = CrashOptions {
        sends_head,
        ..CrashOptions::default()
    };
    let engines = ["north-e1", "north-e2", "south-e1"];
    let fleet = fleet(&["north-1", "south-1"], &engines, &options);
    fleet.warm_up();
    let answer = ask(&fleet.instances[0], CRASH_PART);
    assert!(!answer.is_complete || answer.status == 502, "{answer:?}");
    thread::sleep(Duration::from_millis(300));
    assert_eq!((fleet.crashes(), fleet.received_with(CRASH_PART)), (1, 1));
}
