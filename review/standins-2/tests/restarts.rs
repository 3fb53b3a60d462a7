//! Machines are stopped and started in turn while streams from another region run.

use crate::{
    client::{send, Answer},
    engine::Engine,
    instance::{Instance, Zones},
    record::Record,
    store::Store,
    Outcome,
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const ZONES: Zones<'_> = &[("ljubljana-a", "ljubljana"), ("maribor-a", "maribor"), ("koper-a", "koper")];
/// Machines of the smallest deployment with their zones, in the order in which they are stopped and started.
const MACHINES: [(&str, &str); 6] = [
    ("edge-maribor-a-1", "maribor-a"),
    ("edge-maribor-a-2", "maribor-a"),
    ("edge-koper-a-1", "koper-a"),
    ("edge-maribor-a-3", "maribor-a"),
    ("edge-ljubljana-a-1", "ljubljana-a"),
    ("edge-ljubljana-a-2", "ljubljana-a"),
];
/// Delay from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Pause between two stops.
const GAP: Duration = Duration::from_millis(2_200);
/// Events of a stream, 150 ms apart: it takes 6.3 s, less than the grace.
const EVENTS: u64 = 42;
/// Interval between two streams at a machine.
const INTERVAL: Duration = Duration::from_millis(250);
/// Length of the run after the start.
const LENGTH: Duration = Duration::from_secs(70);
/// First stop after the start of traffic.
const FIRST_STOP: Duration = Duration::from_secs(14);
/// Number of times that all machines are stopped and started in turn, and the time between two of these.
const ROUNDS: u32 = 2;
const ROUND: Duration = Duration::from_secs(32);
/// Time for which clients go on to use a machine after it has ceased to be ready: less than `ttlS` of the
/// directory.
const STALE: Duration = Duration::from_millis(2_000);
/// `graceS` of the small deployments.
const GRACE_S: f64 = 8.0;

struct Sent {
    id: String,
    machine: String,
    started_s: f64,
    answer: Answer,
}

pub fn run(record: &Arc<Record>, work: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.write("op/config", CONFIG);
    let engines: Vec<Arc<Engine>> = ["ljubljana-a"; 3]
        .iter()
        .zip(1..)
        .map(|(zone, number)| Engine::start(record, &format!("i-{number}"), "bowl-model", zone))
        .collect();
    beat_all(&engines, &store);
    let mut machines: Vec<Instance> = MACHINES
        .iter()
        .map(|(name, zone)| Instance::new(record, work, name, zone, ZONES, store.address))
        .collect();
    for machine in &mut machines {
        machine.start();
    }
    if !machines.iter().all(Instance::wait_ready) {
        return Outcome::CouldNotRun("a machine is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let machines = Arc::new(Mutex::new(machines));
    let start = Instant::now();
    let mut clients = Vec::new();
    let fronts: Vec<(String, SocketAddr)> = {
        let machines = machines.lock().unwrap();
        machines.iter().map(|machine| (machine.name.clone(), machine.callers)).collect()
    };
    for (name, address) in fronts {
        let (record, sent, machines) = (Arc::clone(record), Arc::clone(&sent), Arc::clone(&machines));
        clients.push(thread::spawn(move || call(&record, &sent, &machines, &name, address, start)));
    }
    let stops = if has_trouble { stop_in_turn(&machines, start, record) } else { Vec::new() };
    if !has_trouble {
        thread::sleep(LENGTH);
    }
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    check(record, &sent, &engines, &stops)
}

fn beat_all(engines: &[Arc<Engine>], store: &Arc<Store>) {
    for engine in engines {
        engine.beat(store);
    }
    let (engines, store) = (engines.to_vec(), Arc::clone(store));
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1_200));
        for engine in &engines {
            engine.beat(&store);
        }
    });
}

/// Sends streams to a machine while it says that it is ready, and a little longer.
fn call(
    record: &Arc<Record>,
    sent: &Arc<Mutex<Vec<Sent>>>,
    machines: &Arc<Mutex<Vec<Instance>>>,
    name: &str,
    address: SocketAddr,
    start: Instant,
) {
    let mut number = 0;
    let mut ready_at = Instant::now();
    let mut streams = Vec::new();
    while start.elapsed() < LENGTH {
        thread::sleep(INTERVAL);
        let is_ready = {
            let machines = machines.lock().unwrap();
            machines.iter().any(|machine| machine.name == name && machine.is_ready())
        };
        if is_ready {
            ready_at = Instant::now();
        } else if ready_at.elapsed() > STALE {
            continue;
        }
        number += 1;
        let id = format!("{name}-{number}");
        let (record, sent, machine) = (Arc::clone(record), Arc::clone(sent), name.to_owned());
        streams.push(thread::spawn(move || {
            let body = EVENTS.to_string();
            let head = format!(
                "POST /chat/x HTTP/1.1\r\nHost: rounds.example\r\nX-Carobwheel-Attempt-Id: {id}\r\n\
                 X-Carobwheel-Model: m\r\nX-Carobwheel-Token-Usage: 100,240\r\n\
                 X-Carobwheel-Prompt-Prefix: a1:40,{number:x}ff:60\r\nX-Carobwheel-Deadline-Ms: 12000\r\n\
                 X-Carobwheel-Key: key-1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            record.line(&format!("client sends {id} to {machine}"));
            let started_s = record.now();
            let answer = send(&record, address, &id, &head, body.as_bytes(), Duration::from_secs(13));
            sent.lock().unwrap().push(Sent { id, machine, started_s, answer });
        }));
    }
    for stream in streams {
        let _ = stream.join();
    }
}

/// Stops the machines in turn and starts them again once they have ended. Returns the times of SIGTERM.
fn stop_in_turn(machines: &Arc<Mutex<Vec<Instance>>>, start: Instant, record: &Record) -> Vec<(String, f64)> {
    let mut stops: Vec<(String, f64)> = Vec::new();
    let mut down_since: Vec<(String, Instant)> = Vec::new();
    while start.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        let mut machines = machines.lock().unwrap();
        let next = stops.len();
        let (round, turn) = ((next / MACHINES.len()) as u32, next % MACHINES.len());
        if round < ROUNDS && start.elapsed() >= FIRST_STOP + ROUND * round + GAP * turn as u32 {
            let (name, _) = MACHINES[turn];
            if let Some(machine) = machines.iter().find(|machine| machine.name == name) {
                machine.signal("TERM");
            }
            stops.push((name.to_owned(), record.now()));
        }
        for machine in machines.iter_mut() {
            let is_down = down_since.iter().position(|(name, _)| *name == machine.name);
            match is_down {
                Some(at) if down_since[at].1.elapsed() >= RESTART_DELAY => {
                    down_since.remove(at);
                    machine.start();
                }
                Some(_) => {}
                None if machine.has_ended() => {
                    down_since.push((machine.name.clone(), Instant::now()));
                }
                None => {}
            }
        }
    }
    stops
}

/// LOST around a SIGTERM of the machine that took the request: it was passed on to an engine, and its
/// channel ends without a complete answer, until 1 s after `graceS`.
fn check(record: &Record, sent: &[Sent], engines: &[Arc<Engine>], stops: &[(String, f64)]) -> Outcome {
    let mut lost = 0;
    let mut whole = 0;
    for request in sent {
        let run = engines.iter().find_map(|engine| engine.runs.lock().unwrap().get(&request.id).cloned());
        whole += usize::from(request.answer.status == 200 && request.answer.is_whole);
        let Some(run) = run else {
            continue;
        };
        if request.answer.is_whole {
            continue;
        }
        let mut own_stops = stops.iter().filter(|(name, _)| *name == request.machine);
        let ended_s = request.answer.ended_s;
        // Excused: the engine was still at work in the last sixth of the grace on a request that was sent no
        // later than 3 s after the signal; the time limit or the route's timeout was reached.
        let is_counted = own_stops.any(|(_, stop_s)| {
            ended_s >= *stop_s && ended_s <= stop_s + GRACE_S * 5.0 / 6.0
        });
        let lasted_s = ended_s - request.started_s;
        record.line(&format!(
            "{} of {} ended after {lasted_s:.3} s without its end; the engine had sent {} events; {}",
            request.id,
            request.machine,
            run.events,
            if is_counted { "counted" } else { "not counted" }
        ));
        lost += usize::from(is_counted && lasted_s < 11.0);
    }
    record.line(&format!("{} requests sent, {whole} answered whole, {lost} lost", sent.len()));
    if whole < sent.len() / 2 || sent.len() < 50 {
        return Outcome::CouldNotRun("too few requests were answered".to_owned());
    }
    if lost > 0 {
        let reason = format!("LOST: {lost} requests that an engine ran ended without a complete answer");
        return Outcome::Broken(reason);
    }
    Outcome::Held
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-chat","host":"rounds.example","pathPrefix":"/chat/",
"routeType":"streaming","timeoutMs":12000,"targetLatencyMs":600,"priority":0,"service":"bowl-model",
"maxAttempts":1,"noAuth":false,"affinity":true,"resumable":false,"gapAimMs":300,
"homeRegions":["ljubljana"]}],"services":[{"name":"bowl-model","healthCheck":"/health",
"maxConnections":360,"protocol":"h1","tls":false,"coldS":3.0,"coldPerS":2.4,"engine":{"slots":64,
"kvCapacity":276278,"kvTokenBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":7,
"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kitchen","apiKeys":["key-1"],"priority":1,"unit":"token_count","plainTokens":200,
"ratePerS":294350,"burst":294350,"homeRegions":[]}]}"#;
