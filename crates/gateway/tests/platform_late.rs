//! Changes of the configuration under load and failures, in a fleet whose event loops are late.

#![allow(clippy::unwrap_used)]

mod platform_support;

use platform_support::{
    wait_until, Caller, ConfigBuilder, Duty, Engine, Instance, InstanceOptions, Script, Store,
    Throttle, HOST, KEY,
};
use serde_json::json;
use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

const NAMES: [&str; 12] = [
    "north-1", "north-2", "north-3", "north-4", "north-5", "north-6", "north-7", "north-8",
    "north-9", "south-1", "south-2", "south-3",
];
/// Time from the confirmation of a version until it has to be in force everywhere.
const MAX_APPLY: Duration = Duration::from_secs(5);
/// Versions in quick succession, and the pause between two of them.
const VERSIONS: u64 = 10;
const VERSION_PAUSE: Duration = Duration::from_millis(150);
/// Key that the last version no longer has.
const REVOKED_KEY: &str = "key-that-is-revoked";
/// Turns of each process.
const DUTY: Duty = Duty {
    run: Duration::from_millis(100),
    pause: Duration::from_millis(900),
};
/// Engines of each region, of which every other one fails.
const ENGINES: usize = 4;
const FAILURES: usize = 10_000;
/// Pause between two requests of the load at one instance.
const REQUEST_PAUSE: Duration = Duration::from_millis(250);

fn region(name: &str) -> &'static str {
    if name.starts_with("north") {
        "north"
    } else {
        "south"
    }
}

fn start_all(store: &Store) -> Vec<Instance> {
    let start = |name: &'static str| {
        Instance::start(&InstanceOptions {
            name,
            region: region(name),
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

/// Configuration in which the account has these keys.
fn config(version: u64, keys: &[&str]) -> ConfigBuilder {
    let account = json!({"name": "valuers", "apiKeys": keys, "plainTokens": 200,
        "ratePerS": 1_000_000, "burst": 1_000_000});
    ConfigBuilder::new(version).account(account)
}

fn start_engines(store: &Store) -> Vec<Engine> {
    let mut engines = Vec::new();
    for region in ["north", "south"] {
        for number in 0..ENGINES {
            let engine = Engine::start(&format!("i-{region}-{number}"));
            engine.register(store, "model", &format!("{region}-a"), "ready");
            if number % 2 == 0 {
                engine.script(std::iter::repeat_n(Script::Close, FAILURES));
            }
            engines.push(engine);
        }
    }
    engines
}

/// Sends prompts of several subjects to an instance until it is stopped.
fn load(callers: SocketAddr, number: usize, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        for request in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let headers = format!(
                "X-Carobwheel-Prompt-Prefix: a:40,b{:x}:40,c{number:x}{request:x}:20\r\n\
                 X-Carobwheel-Token-Usage: 100,10\r\n",
                request % 7
            );
            let mut caller = Caller::connect(callers);
            let id = format!("load-{number}-{request}");
            caller.send("POST", "/brief/x", &id, &headers, "");
            caller.answer();
            thread::sleep(REQUEST_PAUSE);
        }
    })
}

/// Sends a request with the revoked key.
fn send_revoked(instance: &Instance) -> Caller {
    let mut caller = instance.caller();
    caller.write(&format!(
        "GET /read/x HTTP/1.1\r\nHost: {HOST}\r\nX-Carobwheel-Attempt-Id: revoked\r\n\
         X-Carobwheel-Deadline-Ms: 10000\r\nX-Carobwheel-Key: {REVOKED_KEY}\r\n\r\n"
    ));
    caller
}

fn unix_now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

/// Time after `confirmed_at_ms` at which the last version came into force at an instance.
fn delay_ms(instance: &Instance, confirmed_at_ms: u64) -> Option<u64> {
    let lines = instance.logged("config_in_force");
    let line = lines.iter().find(|line| line["version"] == VERSIONS)?;
    let at_ms = line["time_unix_ms"].as_u64().unwrap();
    Some(at_ms.saturating_sub(confirmed_at_ms))
}

#[test]
fn a_revoked_key_is_refused_in_time_by_instances_whose_event_loops_are_late() {
    let store = Store::start();
    store.publish(&config(1, &[KEY, REVOKED_KEY]));
    let _engines = start_engines(&store);
    let instances = start_all(&store);
    let stop = Arc::new(AtomicBool::new(false));
    let numbered = instances.iter().enumerate();
    let loads: Vec<JoinHandle<()>> = numbered
        .map(|(number, instance)| load(instance.callers, number, &stop))
        .collect();
    let process_ids: Vec<u32> = instances.iter().map(Instance::process_id).collect();
    let throttle = Throttle::start(&process_ids, DUTY);
    thread::sleep(Duration::from_secs(4));
    for version in 2..VERSIONS {
        store.publish(&config(version, &[KEY, REVOKED_KEY]));
        thread::sleep(VERSION_PAUSE);
    }
    store.publish(&config(VERSIONS, &[KEY]));
    let (confirmed_at, confirmed_at_ms) = (Instant::now(), unix_now_ms());
    thread::sleep(MAX_APPLY.saturating_sub(confirmed_at.elapsed()));
    let mut callers: Vec<Caller> = instances.iter().map(send_revoked).collect();
    let answers = callers.iter_mut().map(Caller::answer);
    let statuses: Vec<u16> = answers.map(|answer| answer.status).collect();
    stop.store(true, Ordering::SeqCst);
    drop(throttle);
    loads.into_iter().for_each(|load| load.join().unwrap());
    let delays_ms: Vec<Option<u64>> = instances
        .iter()
        .map(|instance| delay_ms(instance, confirmed_at_ms))
        .collect();
    assert_eq!(
        statuses,
        [401; NAMES.len()],
        "in force after {delays_ms:?} ms"
    );
}
