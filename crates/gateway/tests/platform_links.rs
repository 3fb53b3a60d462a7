//! Links of a fleet that is larger than its delegates.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Engine, Instance, InstanceOptions, Script, Store,
};
use serde_json::json;
use std::{
    net::TcpStream,
    time::{Duration, Instant},
};

const NORTH: [&str; 8] = [
    "north-1", "north-2", "north-3", "north-4", "north-5", "north-6", "north-7", "north-8",
];
const SOUTH: [&str; 4] = ["south-1", "south-2", "south-3", "south-4"];
/// Time after which a killed instance is no longer listed for callers.
const MAX_LISTED: Duration = Duration::from_secs(3);

fn start_all(store: &Store) -> Vec<Instance> {
    let north = NORTH.iter().map(|name| (*name, "north"));
    let south = SOUTH.iter().map(|name| (*name, "south"));
    let instances: Vec<Instance> = north
        .chain(south)
        .map(|(name, region)| {
            Instance::start(&InstanceOptions {
                name,
                region,
                store: store.address,
            })
        })
        .collect();
    wait_for_fleet(&instances, instances.len());
    instances
}

/// Waits until each instance hears all others.
fn wait_for_fleet(instances: &[Instance], heard: usize) {
    let heard = format!("carobwheel_instances_heard {heard}\n");
    for instance in instances {
        wait_until("the instance listens", || {
            TcpStream::connect(instance.metrics).is_ok()
        });
        wait_until("all instances hear each other", || {
            instance.metrics_text().contains(&heard)
        });
    }
}

fn metric(instance: &Instance, name: &str) -> usize {
    let text = instance.metrics_text();
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.unwrap().parse().unwrap()
}

#[test]
fn an_instance_that_is_no_delegate_links_to_delegates_and_a_few_others() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let instances = start_all(&store);
    let links: Vec<(usize, usize)> = instances
        .iter()
        .map(|instance| {
            let dialled = metric(instance, "carobwheel_links_dialled");
            (metric(instance, "carobwheel_is_delegate"), dialled)
        })
        .collect();
    let delegates: usize = links.iter().map(|(is_delegate, _)| is_delegate).sum();
    assert_eq!(delegates, 4, "{links:?}");
    // Two delegates of the own region and two instances of the other one; a moment's other choice may
    // linger.
    for (is_delegate, dialled) in links {
        assert!(is_delegate == 1 || dialled <= 6, "{dialled} links");
    }
}

#[test]
fn the_fleet_hears_of_a_killed_delegate_in_time_and_keeps_hearing_the_rest() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let mut instances = start_all(&store);
    let killed = instances.remove(0);
    let callers = killed.callers.to_string();
    drop(killed);
    let since = Instant::now();
    for instance in &instances[..NORTH.len() - 1] {
        wait_until("the killed instance is no longer listed", || {
            !instance.resolve("north").body.contains(&callers)
        });
    }
    assert!(since.elapsed() <= MAX_LISTED, "{:?}", since.elapsed());
    wait_for_fleet(&instances, instances.len());
}

#[test]
fn a_request_is_forwarded_by_an_instance_that_is_no_delegate() {
    let store = Store::start();
    let homes = json!({"homeRegions": ["south"]});
    let config = ConfigBuilder::new(1).route("/read/", "idempotent", "registry", 2, homes);
    store.publish(&config);
    let engine = Engine::start("i-s");
    engine.register(&store, "registry", "south-a", "ready");
    let instances = start_all(&store);
    let mut caller = instances[5].caller();
    engine.script(std::iter::repeat_n(Script::Answer(200, "ok"), 50));
    let mut status = 0;
    wait_until("the request is served in the other region", || {
        caller.send("GET", "/read/x", "a-1", "", "");
        status = caller.answer().status;
        status == 200
    });
    assert!(!engine.seen().is_empty());
}

/// Requests that each of two engines takes at a time.
const SLOTS: usize = 6;
const REQUESTS: usize = 10;

/// Load that delegates add up keeps instances from sending more to an engine than it has slots.
#[test]
fn instances_that_are_no_delegates_know_each_others_load() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let engines = [Engine::start("i-1"), Engine::start("i-2")];
    for engine in &engines {
        engine.register(&store, "registry", "north-a", "ready");
        engine.script(std::iter::repeat_n(Script::Silent, REQUESTS));
    }
    let instances = start_all(&store);
    let senders = instances[2..NORTH.len()].iter().cycle().take(REQUESTS);
    let mut callers: Vec<_> = senders.map(Instance::caller).collect();
    for (index, caller) in callers.iter_mut().enumerate() {
        caller.send("POST", "/write/x", &format!("a-{index}"), "", "");
        std::thread::sleep(Duration::from_millis(400));
    }
    let counts = engines.each_ref().map(|engine| engine.seen().len());
    assert_eq!(counts.iter().sum::<usize>(), REQUESTS);
    assert!(counts.iter().all(|count| *count <= SLOTS), "{counts:?}");
}

/// Prompts that fail at the same engine.
const FAILED_PROMPTS: usize = 60;

/// Guards against gossip that fills links because each report on a known crash was announced.
#[test]
fn one_failing_engine_is_announced_to_the_fleet_once() {
    let store = Store::start();
    let resumable = json!({"resumable": true, "timeoutMs": 10_000});
    store.publish(&ConfigBuilder::new(1).route("/brief/", "streaming", "model", 1, resumable));
    let engine = Engine::start("i-1");
    engine.register(&store, "model", "north-a", "ready");
    engine.script(std::iter::repeat_n(Script::Close, FAILED_PROMPTS));
    let instances = start_all(&store);
    let delegates = &instances[..2];
    let announced = |instance: &Instance| metric(instance, "carobwheel_gossip_announced_total");
    let counts = || -> Vec<usize> { delegates.iter().map(announced).collect() };
    let mut before = counts();
    wait_until("the start is no longer announced", || {
        std::thread::sleep(Duration::from_millis(500));
        std::mem::replace(&mut before, counts()) == before
    });
    for number in 0..FAILED_PROMPTS {
        let mut caller = instances[2 + number % 6].caller();
        let headers = format!(
            "X-Carobwheel-Prompt-Prefix: a{number:x}:40,f{number:x}:20\r\n\
             X-Carobwheel-Token-Usage: 100,10\r\n"
        );
        caller.send("POST", "/brief/x", &format!("a-{number}"), &headers, "");
        caller.answer();
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(!instances[2].logged("crash_seen").is_empty());
    for (delegate, before) in delegates.iter().zip(before) {
        let links = metric(delegate, "carobwheel_links_dialled")
            + metric(delegate, "carobwheel_links_accepted");
        let sent_early = announced(delegate) - before;
        assert!(
            sent_early <= links,
            "{sent_early} messages on {links} links"
        );
    }
}
