//! An engine turns requests away with 503 and `Retry-After`.

use crate::{
    draining::{beat, call, CONFIG, READY, ZONES},
    engine::Engine,
    instance::Instance,
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
    time::Duration,
};

/// Time that the engine wants for itself, in seconds.
const RETRY_AFTER_S: u64 = 3;
/// Time from an answer with `Retry-After` from which the rule counts, in seconds.
const FROM_S: f64 = 0.5;
/// Requests that may reach the engine in that time.
const ALLOWED: usize = 2;
/// Time for which the engine turns requests away.
const TROUBLE: Duration = Duration::from_secs(8);

pub fn run(record: &Arc<Record>, work: &Path, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.write("op/config", CONFIG);
    let busy = Engine::start(record, "i-koper-1", "bowl-ledger", "koper-a");
    let other = Engine::start(record, "i-ljubljana-1", "bowl-ledger", "ljubljana-a");
    for engine in [&busy, &other] {
        beat(&store, engine, &Arc::new(AtomicU8::new(READY)));
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
    let client = call(record, &machines[0], &is_over);
    thread::sleep(TROUBLE);
    if has_trouble {
        busy.retry_after_s.store(RETRY_AFTER_S, Ordering::Relaxed);
    }
    thread::sleep(TROUBLE);
    busy.retry_after_s.store(0, Ordering::Relaxed);
    thread::sleep(TROUBLE / 4);
    is_over.store(true, Ordering::Relaxed);
    let served = client.join().unwrap_or(0);
    check(record, &busy, served)
}

/// BUDGET: more than two requests reach the engine from the machine between half a second after it has
/// answered that machine 503 with `Retry-After` and the end of that time. Only the machine of its region
/// sends to it.
fn check(record: &Record, busy: &Engine, served: u32) -> Outcome {
    let rejections = busy.rejections.lock().unwrap();
    let mut most = (0, 0.0);
    for stated_s in rejections.iter() {
        let span = stated_s + FROM_S..stated_s + RETRY_AFTER_S as f64;
        let reached = rejections.iter().filter(|at| span.contains(at)).count();
        if reached > most.0 {
            most = (reached, *stated_s);
        }
    }
    let (reached, stated_s) = most;
    record.line(&format!("{served} requests served, {} turned away", rejections.len()));
    if served < 50 {
        return Outcome::CouldNotRun("too few requests were served".to_owned());
    }
    if reached <= ALLOWED {
        return Outcome::Held;
    }
    Outcome::Broken(format!(
        "BUDGET: {reached} requests reached the engine from the machine in 0.5 to {RETRY_AFTER_S} s after its 503 \
         at {stated_s:.3} s"
    ))
}
