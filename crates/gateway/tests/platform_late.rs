//! Changes of the configuration in a fleet whose event loops are late.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, ConfigBuilder, Duty, Instance, InstanceOptions, Store, Throttle,
};
use std::{
    net::TcpStream,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const NAMES: [&str; 12] = [
    "north-1", "north-2", "north-3", "north-4", "north-5", "north-6", "north-7", "north-8",
    "north-9", "south-1", "south-2", "south-3",
];
/// Time from the confirmation of a version until it has to be in force everywhere.
const MAX_APPLY_MS: u64 = 5_000;
/// Versions in quick succession, and the pause between two of them.
const VERSIONS: u64 = 10;
const VERSION_PAUSE: Duration = Duration::from_millis(150);
/// Turns of each process.
const DUTY: Duty = Duty {
    run: Duration::from_millis(100),
    pause: Duration::from_millis(900),
};

fn start_all(store: &Store) -> Vec<Instance> {
    let start = |name: &'static str| {
        let region = if name.starts_with("north") {
            "north"
        } else {
            "south"
        };
        Instance::start(&InstanceOptions {
            name,
            region,
            store: store.address,
        })
    };
    let instances: Vec<Instance> = NAMES.into_iter().map(start).collect();
    let heard = format!("carobwheel_instances_heard {}\n", NAMES.len());
    for instance in &instances {
        wait_until("the instance listens", || {
            TcpStream::connect(instance.metrics).is_ok()
        });
        wait_until("all instances hear each other", || {
            instance.metrics_text().contains(&heard)
        });
    }
    instances
}

fn unix_now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

/// Time at which a version, or a later one, came into force at an instance.
fn in_force_at(instance: &Instance, version: u64) -> Option<u64> {
    let lines = instance.logged("config_in_force");
    let mut lines = lines
        .iter()
        .filter(|line| line["version"].as_u64().unwrap() >= version);
    lines
        .next()
        .map(|line| line["time_unix_ms"].as_u64().unwrap())
}

#[test]
fn versions_are_in_force_in_time_at_instances_whose_event_loops_are_late() {
    let store = Store::start();
    store.publish(&ConfigBuilder::new(1));
    let instances = start_all(&store);
    let process_ids: Vec<u32> = instances.iter().map(Instance::process_id).collect();
    let throttle = Throttle::start(&process_ids, DUTY);
    thread::sleep(Duration::from_secs(6));
    for version in 2..=VERSIONS {
        store.publish(&ConfigBuilder::new(version));
        thread::sleep(VERSION_PAUSE);
    }
    let confirmed_at = unix_now_ms();
    thread::sleep(Duration::from_millis(2 * MAX_APPLY_MS));
    drop(throttle);
    let delays_ms: Vec<Option<u64>> = instances
        .iter()
        .map(|instance| Some(in_force_at(instance, VERSIONS)?.saturating_sub(confirmed_at)))
        .collect();
    let is_late = |delay_ms: &Option<u64>| delay_ms.is_none_or(|ms| ms > MAX_APPLY_MS);
    assert!(!delays_ms.iter().any(is_late), "{delays_ms:?}");
}
