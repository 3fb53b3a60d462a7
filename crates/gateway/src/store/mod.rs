//! Client of the platform's key-value store.
//!
//! Every call has a deadline and at most one more attempt, on a connection of its own. A write
//! whose answer was lost is settled by repeating the same compare-and-swap and reading back, see
//! `docs/design/store.md`.

mod backoff;
mod budget;
mod call;
mod error;
mod lease;
mod read;
mod record;
mod watch;
mod write;

pub use backoff::{Backoff, BackoffOptions};
pub use budget::{CallBudget, CallKind, FLEET_READS_PER_S, FLEET_WRITES_PER_S};
pub use error::StoreError;
pub use lease::LeaseState;
pub use read::{KeyRange, Snapshot};
pub use record::{StoredRecord, PLAIN_PREFIX};
pub use watch::{Change, Watch, WatchUpdate};
pub use write::WriteOutcome;

use arc_swap::ArcSwap;
use carobwheel_core::time::Clock;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::sync::{
    atomic::{AtomicU64, Ordering},
    Arc, Mutex, MutexGuard, PoisonError,
};

/// How to reach the store.
#[derive(Clone, Debug)]
pub struct StoreClientOptions {
    /// Base URL of the store, without a path.
    pub url: String,
    /// Name of this writer; no other process and no earlier start of this one may have the same.
    pub writer: String,
    /// Longest time for one attempt of a call, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Longest time that a call waits for its place in the budget, in milliseconds.
    pub budget_timeout_ms: u64,
    /// Longest silence of a watch before it moves to a new connection, in milliseconds.
    pub watch_idle_timeout_ms: u64,
    /// Number of instances that share the store's rates (1 or more).
    pub instances: u32,
    /// Pauses between attempts to reach a store that does not answer.
    pub backoff: BackoffOptions,
    /// Seed of the jitter.
    pub seed: u64,
}

impl StoreClientOptions {
    /// Options with the usual deadlines, for a fleet of one.
    pub fn new(url: impl Into<String>, writer: impl Into<String>) -> Self {
        Self {
            url: url.into(),
            writer: writer.into(),
            attempt_timeout_ms: 1_500,
            budget_timeout_ms: 1_000,
            watch_idle_timeout_ms: 10_000,
            instances: 1,
            backoff: BackoffOptions::default(),
            seed: rand::random(),
        }
    }
}

struct Inner {
    options: StoreClientOptions,
    clock: Clock,
    /// Keeps idle connections for the next call.
    pooled: ArcSwap<reqwest::Client>,
    /// Opens a connection for each call.
    fresh: reqwest::Client,
    next_mark: AtomicU64,
    budget: Mutex<CallBudget>,
    backoff: Mutex<Backoff>,
    rng: Mutex<StdRng>,
}

/// A client of the store. Cloning it shares connections and budget.
#[derive(Clone)]
pub struct StoreClient {
    inner: Arc<Inner>,
}

impl StoreClient {
    /// Creates a client; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Fails when the HTTP client cannot be set up.
    pub fn new(options: StoreClientOptions) -> Result<Self, StoreError> {
        let clock = Clock::default();
        let inner = Inner {
            pooled: ArcSwap::from_pointee(call::build_client(true)?),
            fresh: call::build_client(false)?,
            next_mark: AtomicU64::new(1),
            budget: Mutex::new(CallBudget::for_fleet(options.instances, clock.now())),
            backoff: Mutex::new(Backoff::new(options.backoff)),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            clock,
            options,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Adapts the budget to the number of instances that share the store.
    pub fn set_instances(&self, instances: u32) {
        lock(&self.inner.budget).set_fleet(instances, self.inner.clock.now());
    }

    /// Reports whether the last calls found the store not answering.
    pub fn is_backing_off(&self) -> bool {
        lock(&self.inner.backoff).is_open()
    }

    /// A mark that no other write carries.
    fn next_mark(&self) -> String {
        let number = self.inner.next_mark.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number}", self.inner.options.writer)
    }

    /// A random number below one.
    fn jitter(&self) -> f64 {
        lock(&self.inner.rng).random_range(0.0..1.0)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
