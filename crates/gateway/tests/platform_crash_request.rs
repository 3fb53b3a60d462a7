//! Tests of single requests that crash the upstreams which run them, on the platform's path.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Answer, ConfigBuilder, CrashEngine, CrashOptions, Instance, InstanceOptions, Store,
};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};
use test_case::test_case;

/// Text that crashes upstreams.
const CRASH_TEXT: &str = "broken";
/// Crashes after which sends are counted, and sends that may follow.
const MAX_SENDS: usize = 3 + 3;
/// Time between two rounds of requests, in which crashed upstreams return.
const ROUND: Duration = Duration::from_millis(600);

/// Number of the next request.
static NEXT: AtomicUsize = AtomicUsize::new(0);

struct Fleet {
    store: Store,
    instances: Vec<Instance>,
    engines: Vec<CrashEngine>,
}

/// Request without its id.
#[derive(Clone, Copy)]
struct Call {
    method: &'static str,
    path: &'static str,
    body: &'static str,
}

const LOOKUP: Call = Call {
    method: "GET",
    path: "/read/broken",
    body: "",
};
const SOUND_LOOKUP: Call = Call {
    path: "/read/sound",
    ..LOOKUP
};
const RECORD: Call = Call {
    method: "POST",
    path: "/write/x",
    body: "a broken record",
};
const SOUND_RECORD: Call = Call {
    body: "a sound record",
    ..RECORD
};
const BRIEF: Call = Call {
    method: "POST",
    path: "/brief/x",
    body: "a broken prompt",
};
const SOUND_BRIEF: Call = Call {
    body: "a sound prompt",
    ..BRIEF
};

fn region(name: &str) -> &'static str {
    if name.starts_with("north") {
        "north"
    } else {
        "south"
    }
}

/// Starts three instances in two regions, and three upstreams of the service.
fn start(service: &'static str) -> Fleet {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let options = CrashOptions {
        service,
        crash_text: Some(CRASH_TEXT),
        sends_head: service == "model",
        down_ms: 400,
        ..CrashOptions::default()
    };
    let engines = ["north-e1", "north-e2", "south-e1"]
        .map(|name| CrashEngine::start(name, &format!("{}-a", region(name)), &store, &options));
    let instances = ["north-1", "north-2", "south-1"].map(|name| {
        Instance::start_ready(&InstanceOptions {
            name,
            region: region(name),
            store: store.address,
        })
    });
    for instance in &instances {
        wait_until("the instances receive gossip from each other", || {
            let heard = "carobwheel_instances_heard 3\n";
            instance.metrics_text().contains(heard)
        });
    }
    Fleet {
        store,
        instances: instances.into(),
        engines: engines.into(),
    }
}

impl Fleet {
    fn sends(&self, text: &str) -> usize {
        let received = self.engines.iter().map(|engine| engine.received_text(text));
        received.sum()
    }

    /// Sends both requests to each instance in turn, some rounds long. Returns the last answer to
    /// the one that crashes upstreams.
    fn play(&self, crashing: Call, sound: Call, rounds: usize) -> Answer {
        let mut last = None;
        for _ in 0..rounds {
            for instance in &self.instances {
                last = Some(ask(instance, crashing));
                thread::sleep(ROUND / 2);
                ask(instance, sound);
                thread::sleep(ROUND / 2);
            }
        }
        last.unwrap()
    }
}

/// Sends a request as a caller does who repeats it: with a new id.
fn ask(instance: &Instance, call: Call) -> Answer {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let mut caller = instance.caller();
    let id = format!("a-{number}");
    caller.send(call.method, call.path, &id, "", call.body);
    caller.answer()
}

/// Guards against a request without prompt parts that is sent to upstream after upstream.
#[test_case("registry", LOOKUP, SOUND_LOOKUP; "a request that may be repeated")]
#[test_case("registry", RECORD, SOUND_RECORD; "one that may not")]
#[test_case("model", BRIEF, SOUND_BRIEF; "a prompt")]
fn a_request_that_has_crashed_three_upstreams_reaches_few_more(
    service: &'static str,
    crashing: Call,
    sound: Call,
) {
    let fleet = start(service);
    for instance in &fleet.instances {
        assert_eq!(ask(instance, sound).status, 200);
    }
    let last = fleet.play(crashing, sound, 5);
    let sends = fleet.sends(CRASH_TEXT);
    assert!(sends <= MAX_SENDS, "{sends} sends");
    assert_eq!(last.status, 503, "{}", last.head);
    assert!(last.header("retry-after").is_some(), "{}", last.head);
    thread::sleep(2 * ROUND);
    for instance in &fleet.instances {
        assert_eq!(ask(instance, sound).status, 200);
    }
}

/// Guards against a held request that an instance which was just started sends again.
#[test]
fn an_instance_that_was_just_started_does_not_send_a_held_request() {
    let fleet = start("registry");
    fleet.play(LOOKUP, SOUND_LOOKUP, 3);
    let sends = fleet.sends(CRASH_TEXT);
    let started = Instance::start_ready(&InstanceOptions {
        name: "south-2",
        region: "south",
        store: fleet.store.address,
    });
    assert_eq!(ask(&started, LOOKUP).status, 503);
    assert_eq!(fleet.sends(CRASH_TEXT), sends);
}

/// Guards against sound requests that are refused because upstreams are killed under them.
#[test]
fn a_request_that_is_often_asked_is_not_held_while_upstreams_are_killed() {
    let fleet = start("registry");
    thread::scope(|scope| {
        scope.spawn(|| {
            for round in 0..9 {
                thread::sleep(ROUND);
                fleet.engines[round % 3].crash();
            }
        });
        for instance in &fleet.instances {
            scope.spawn(move || {
                for _ in 0..150 {
                    ask(instance, SOUND_LOOKUP);
                }
            });
        }
    });
    for instance in &fleet.instances {
        assert!(instance.logged("request_held").is_empty());
        assert!(instance.logged("hold_applied").is_empty());
    }
}
