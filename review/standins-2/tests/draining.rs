//! A draining engine is cut off from the store for some seconds, so that its entry goes and comes back.

use crate::{
    client::send,
    engine::Engine,
    instance::{Instance, Zones},
    record::Record,
    store::Store,
    Outcome,
};
use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, AtomicU8, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

pub const ZONES: Zones<'_> = &[("ljubljana-a", "ljubljana"), ("maribor-a", "maribor"), ("koper-a", "koper")];
/// `heartbeatMs` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `drainMs` of the small deployments, in seconds.
const DRAIN_S: f64 = 4.0;
/// Interval between two requests at a machine.
const INTERVAL: Duration = Duration::from_millis(40);
/// Time from the start of traffic until the engine reports that it is draining.
const DRAIN_AT: Duration = Duration::from_secs(8);
/// Time from that report until the engine is cut off from the store, and the length of the cut.
const CUT_AFTER: Duration = Duration::from_millis(500);
const CUT: Duration = Duration::from_secs(5);
/// Time for which the engine goes on serving after that report, until it exits.
const SERVES: Duration = Duration::from_millis(6_600);
/// Time for which clients go on after that.
const TAIL: Duration = Duration::from_secs(4);
/// Number of clients, and the time between their starts, so that some requests are always under way.
const CLIENTS: usize = 6;
const STAGGER: Duration = Duration::from_millis(17);

/// State of the engine's entry.
pub const READY: u8 = 0;
pub const DRAINING: u8 = 1;
pub const SILENT: u8 = 2;

pub fn run(record: &Arc<Record>, work: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.write("op/config", CONFIG);
    let leaving = Engine::start(record, "i-koper-1", "bowl-ledger", "koper-a");
    let other = Engine::start(record, "i-ljubljana-1", "bowl-ledger", "ljubljana-a");
    let state = Arc::new(AtomicU8::new(READY));
    beat(&store, &leaving, &state);
    beat(&store, &other, &Arc::new(AtomicU8::new(READY)));
    // The other servers of the deployment: 13 in all, of which one is cut off.
    let zones = [("bowl-ledger", "maribor-a", 1), ("bowl-model", "ljubljana-a", 5)];
    for (service, zone, count) in zones.into_iter().chain([("bowl-model", "maribor-a", 3), ("bowl-model", "koper-a", 2)]) {
        for number in 1..=count {
            let engine = Engine::start(record, &format!("i-{service}-{zone}-{number}"), service, zone);
            beat(&store, &engine, &Arc::new(AtomicU8::new(READY)));
        }
    }
    let mut machines: Vec<Instance> = [("edge-koper-a-1", "koper-a"), ("edge-ljubljana-a-1", "ljubljana-a")]
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
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        clients.push(call(record, &machines[0], client, &is_over));
        thread::sleep(STAGGER);
    }
    thread::sleep(DRAIN_AT);
    leaving.report(&store, "draining");
    let drained_at = Instant::now();
    let drained_s = record.now();
    record.line("the store has accepted that i-koper-1 is draining");
    state.store(DRAINING, Ordering::Relaxed);
    if has_trouble {
        cut(record, &store, &leaving, &state, drained_at);
    }
    thread::sleep(SERVES.saturating_sub(drained_at.elapsed()));
    state.store(SILENT, Ordering::Relaxed);
    store.remove("servers/i-koper-1");
    leaving.end("exits, as planned");
    thread::sleep(TAIL);
    is_over.store(true, Ordering::Relaxed);
    let mut total = (0, 0);
    for client in clients {
        let (served, lost) = client.join().unwrap_or_default();
        total = (total.0 + served, total.1 + lost);
    }
    check(record, &leaving, &other, drained_s, total)
}

/// Writes the entry of an engine at each heartbeat while it is not silent.
pub fn beat(store: &Arc<Store>, engine: &Arc<Engine>, state: &Arc<AtomicU8>) {
    engine.beat(store);
    let (store, engine, state) = (Arc::clone(store), Arc::clone(engine), Arc::clone(state));
    thread::spawn(move || loop {
        thread::sleep(HEARTBEAT);
        match state.load(Ordering::Relaxed) {
            READY => engine.beat(&store),
            DRAINING => engine.report(&store, "draining"),
            _ => {}
        }
    });
}

/// Cuts the engine off from the store: its entry is removed after three heartbeats of silence, and is back
/// when the cut ends.
fn cut(record: &Record, store: &Store, engine: &Engine, state: &AtomicU8, drained_at: Instant) {
    thread::sleep(CUT_AFTER);
    state.store(SILENT, Ordering::Relaxed);
    record.line("i-koper-1 is cut off from the store");
    thread::sleep(HEARTBEAT * 3);
    store.remove("servers/i-koper-1");
    record.line("the entry of i-koper-1 is removed after three heartbeats of silence");
    thread::sleep((CUT_AFTER + CUT).saturating_sub(drained_at.elapsed()));
    engine.report(store, "draining");
    record.line("the cut ends; the entry of i-koper-1 is back: draining");
    state.store(DRAINING, Ordering::Relaxed);
}

/// Sends requests that may not be repeated to a machine until the end. Returns the number of those that were
/// served, and of those that may have run and got no answer of an engine.
fn call(
    record: &Arc<Record>,
    machine: &Instance,
    client: usize,
    is_over: &Arc<AtomicBool>,
) -> thread::JoinHandle<(u32, u32)> {
    let (record, address, is_over) = (Arc::clone(record), machine.callers, Arc::clone(is_over));
    thread::spawn(move || {
        let (mut served, mut lost) = (0, 0);
        let mut number = 0;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("pledge-{client}-{number}");
            let head = format!(
                "POST /pledge/x HTTP/1.1\r\nHost: rounds.example\r\nX-Carobwheel-Attempt-Id: {id}\r\n\
                 X-Carobwheel-Deadline-Ms: 2500\r\nX-Carobwheel-Key: key-1\r\nContent-Length: 6\r\n\r\n"
            );
            record.line(&format!("client sends {id}"));
            let answer = send(&record, address, &id, &head, b"pledge", Duration::from_secs(3));
            let is_served = answer.status == 200 && answer.is_sealed && answer.is_whole;
            served += u32::from(is_served);
            lost += u32::from(!is_served && answer.status != 503);
            thread::sleep(INTERVAL);
        }
        (served, lost)
    })
}

/// DRAIN: a request reaches the engine later than `drainMs` after the store has acknowledged that it is
/// draining. All machines are in touch and the store is stable throughout.
fn check(
    record: &Record,
    leaving: &Engine,
    other: &Engine,
    drained_s: f64,
    (served, lost): (u32, u32),
) -> Outcome {
    let late: Vec<(f64, String)> =
        leaving.arrivals.lock().unwrap().iter().filter(|(at, _)| *at > drained_s + DRAIN_S).cloned().collect();
    for (at, id) in &late {
        let after_s = at - drained_s;
        record.line(&format!("{id} reached i-koper-1 {after_s:.3} s after it was draining"));
    }
    let (before, elsewhere) = (leaving.arrivals.lock().unwrap().len(), other.arrivals.lock().unwrap().len());
    record.line(&format!("{served} requests served, {lost} lost; {before} ran at i-koper-1, {elsewhere} elsewhere"));
    if served < 50 || before < 20 || elsewhere < 10 {
        return Outcome::CouldNotRun("too few requests were served".to_owned());
    }
    if late.is_empty() {
        return Outcome::Held;
    }
    Outcome::Broken(format!("DRAIN: {} requests reached a draining engine too late, {lost} were lost", late.len()))
}

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-pledge","host":"rounds.example","pathPrefix":"/pledge/",
"routeType":"non_idempotent","timeoutMs":1200,"targetLatencyMs":400,"priority":2,"service":"bowl-ledger",
"maxAttempts":1,"noAuth":false,"affinity":false,"resumable":false,"gapAimMs":0,"homeRegions":[]}],
"services":[{"name":"bowl-ledger","healthCheck":"/health","maxConnections":96,"protocol":"h1","tls":false,
"coldS":0.0,"coldPerS":0.0},{"name":"bowl-model","healthCheck":"/health","maxConnections":360,"protocol":"h1",
"tls":false,"coldS":3.0,"coldPerS":2.4,"engine":{"slots":64,"kvCapacity":276278,"kvTokenBytes":18432,
"linkMbps":370000.0,"moves":true,"backups":true,"stride":7,"most":12,"pinMs":4000.0,"holdMs":2000.0,
"handle_s":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"kitchen","apiKeys":["key-1"],"priority":1,"unit":"token_count","plainTokens":200,
"ratePerS":294350,"burst":294350,"homeRegions":[]}]}"#;
