//! In-memory store with the JSON API of etcd v3.
//!
//! It counts every call. Faults of a real store can be injected: refused connections, slow answers,
//! lost answers to writes that took effect, and watches that send nothing.

mod api;
mod counts;
mod state;
mod watch;

pub use counts::StoreCounts;

use crate::http::{RecordedRequest, Server};
use crate::lock;
use carobwheel_core::time::Clock;
use rand::{rngs::StdRng, Rng, SeedableRng};
use state::State;
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
};

/// Denominator of probabilities in parts per million.
const PPM_DENOMINATOR: u32 = 1_000_000;

/// Options of a store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Maximum number of changes kept for watches and reads of old revisions.
    pub max_history: usize,
    /// Interval of progress notifications on idle watches that request them, in milliseconds.
    pub progress_interval_ms: u64,
    /// Seed of the random number generator for faults.
    pub seed: u64,
    /// Number of threads that serve calls.
    pub workers: usize,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            addr: (Ipv4Addr::LOCALHOST, 0).into(),
            max_history: 100_000,
            progress_interval_ms: 600_000,
            seed: 1,
            workers: 1,
        }
    }
}

/// Availability of the store, with the way in which it fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Calls are answered normally.
    #[default]
    Up,
    /// Connections are refused and open ones are closed.
    Refusing,
    /// Calls are answered with 503.
    Unavailable,
    /// Calls are accepted but never answered and have no effect; watches send nothing.
    Hanging,
}

/// Active faults.
#[derive(Clone, Debug, Default)]
struct Faults {
    availability: Availability,
    read_delay_ms: u64,
    write_delay_ms: u64,
    lost_answers: u32,
    lost_answers_ppm: u32,
    is_watch_silent: bool,
}

struct Shared {
    clock: Clock,
    state: Mutex<State>,
    faults: Mutex<Faults>,
    rng: Mutex<StdRng>,
    counts: Mutex<StoreCounts>,
    revision: tokio::sync::watch::Sender<i64>,
    progress_interval_ms: u64,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    /// Expires leases and notifies watches when the revision has changed.
    fn expire_and_notify(&self) {
        let mut state = self.state();
        state.expire_leases(self.clock.now());
        let revision = state.revision();
        self.revision
            .send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
    }

    fn is_watch_silent(&self) -> bool {
        let faults = lock(&self.faults);
        faults.is_watch_silent || faults.availability == Availability::Hanging
    }

    /// Returns true if the answer to the write that just took effect must be dropped.
    fn loses_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            return true;
        }
        lock(&self.rng).random_range(0..PPM_DENOMINATOR) < faults.lost_answers_ppm
    }
}

/// Copy of everything that a store held at some time.
pub struct StoreCopy(State);

/// Handle of a running store. Dropping it stops the store.
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

/// Starts a store on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn start(options: &StoreOptions) -> io::Result<Store> {
    let shared = Arc::new(Shared {
        clock: Clock::default(),
        state: Mutex::new(State::new(options.max_history)),
        faults: Mutex::default(),
        rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
        counts: Mutex::default(),
        revision: tokio::sync::watch::Sender::new(0),
        progress_interval_ms: options.progress_interval_ms,
    });
    let handler_shared = shared.clone();
    let handler = move |request: RecordedRequest, responder| {
        let answer = api::answer(handler_shared.clone(), request, responder);
        Box::pin(answer) as futures::future::BoxFuture<'static, _>
    };
    let server = Server::start("store", options.addr, options.workers, Arc::new(handler))?;
    Ok(Store { server, shared })
}

impl Store {
    /// Address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr
    }

    /// Base URL of the store.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr)
    }

    /// Sets the availability of the store. Leases continue to expire while it is down.
    pub fn set_availability(&self, availability: Availability) {
        lock(&self.shared.faults).availability = availability;
        self.server
            .set_refusing(availability == Availability::Refusing);
        if matches!(
            availability,
            Availability::Refusing | Availability::Unavailable
        ) {
            self.server.close_connections();
        }
    }

    /// Delays reads by `read_ms` and writes by `write_ms` milliseconds.
    pub fn set_delay(&self, read_ms: u64, write_ms: u64) {
        let mut faults = lock(&self.shared.faults);
        faults.read_delay_ms = read_ms;
        faults.write_delay_ms = write_ms;
    }

    /// Drops the answers to the next `count` writes after they take effect.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.shared.faults).lost_answers = count;
    }

    /// Drops the answers to random writes after they take effect, with a probability of `ppm` parts
    /// per 1,000,000.
    pub fn set_lost_answers_ppm(&self, ppm: u32) {
        lock(&self.shared.faults).lost_answers_ppm = ppm;
    }

    /// Stops or resumes the messages of all watches, both open and new ones.
    pub fn set_watch_silent(&self, is_silent: bool) {
        lock(&self.shared.faults).is_watch_silent = is_silent;
    }

    /// Copies everything that the store holds.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.shared.state().clone())
    }

    /// Goes back to a copy: what was written since is lost, and its revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        self.shared.state().restore(&copy.0);
        self.server.close_connections();
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.server.close_connections();
    }

    /// Returns the current counters.
    pub fn counts(&self) -> StoreCounts {
        lock(&self.shared.counts).clone()
    }

    /// Reads `key` directly, without a counted call.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let request = carobwheel_wire::etcd::RangeRequest {
            key: key.as_bytes().to_vec(),
            ..Default::default()
        };
        let found = self.shared.state().range(&request).ok()?;
        found.kvs.into_iter().next().map(|kv| kv.value)
    }

    /// Writes `key` directly, without a counted call.
    pub fn set_value(&self, key: &str, value: &[u8]) {
        let request = carobwheel_wire::etcd::PutRequest {
            key: key.as_bytes().to_vec(),
            value: value.to_vec(),
            lease: 0,
        };
        let written = self.shared.state().put(&request);
        assert!(written.is_ok(), "the value of `{key}` is too large");
        self.shared.expire_and_notify();
    }

    /// Returns the current revision, that of the last change.
    pub fn revision(&self) -> i64 {
        self.shared.state().revision()
    }

    /// Stops the store and waits for its thread.
    pub fn stop(mut self) {
        self.server.stop();
    }
}
