//! Processes that get little processor time.

use std::{
    process::Command,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Turns of a process: it runs, and then is suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Duty {
    pub(crate) run: Duration,
    pub(crate) pause: Duration,
}

/// Suspends processes in turns until it is dropped, so that their event loops are late.
pub(crate) struct Throttle {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Throttle {
    /// Starts with each process at another point of its period.
    pub(crate) fn start(process_ids: &[u32], duty: Duty) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let period = duty.run + duty.pause;
        let count = u32::try_from(process_ids.len()).unwrap();
        let threads = process_ids.iter().zip(0..).map(|(id, index)| {
            let (id, stop) = (*id, Arc::clone(&stop));
            thread::spawn(move || run_in_turns(id, duty, period * index / count, &stop))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
    }
}

fn run_in_turns(id: u32, duty: Duty, phase: Duration, stop: &AtomicBool) {
    let mut next = Instant::now() + phase;
    while !stop.load(Ordering::SeqCst) {
        wait_for(next);
        signal(id, "-STOP");
        wait_for(next + duty.pause);
        signal(id, "-CONT");
        next += duty.pause + duty.run;
    }
}

fn wait_for(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn signal(id: u32, signal: &str) {
    let status = Command::new("kill")
        .args([signal, &id.to_string()])
        .status();
    assert!(status.unwrap().success());
}
