//! Client of the platform's key-value store.
//!
//! Every call has a timeout and at most one retry, on a new connection. The outcome of a write
//! whose answer was lost is determined by repeating the same compare-and-swap and reading the key
//! back; see `docs/design/store.md`.

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

/// Options of a store client.
#[derive(Clone, Debug)]
pub struct StoreClientOptions {
    /// Base URL of the store, without a path.
    pub url: String,
    /// Name of this writer, unique among all processes and all starts of this instance.
    pub writer: String,
    /// Timeout of one attempt of a call, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Maximum time that a call waits for the call budget, in milliseconds.
    pub budget_timeout_ms: u64,
    /// Maximum time without data on a watch before it moves to a new connection, in milliseconds.
    pub watch_idle_timeout_ms: u64,
    /// Number of instances that share the fleet's call rates (1 or more).
    pub instances: u32,
    /// Back-off of calls while the store does not answer.
    pub backoff: BackoffOptions,
    /// Seed of the random jitter.
    pub seed: u64,
}

impl StoreClientOptions {
    /// Creates options with the default timeouts, for a fleet of one.
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
    /// Client that reuses idle connections.
    pooled: ArcSwap<reqwest::Client>,
    /// Client that opens a new connection for each call.
    fresh: reqwest::Client,
    next_mark: AtomicU64,
    budget: Mutex<CallBudget>,
    backoff: Mutex<Backoff>,
    rng: Mutex<StdRng>,
}

/// Client of the store. Clones share connections, budget and back-off.
#[derive(Clone)]
pub struct StoreClient {
    inner: Arc<Inner>,
}

impl StoreClient {
    /// Creates a client without sending anything.
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

    /// Sets the number of instances that share the fleet's call rates.
    pub fn set_instances(&self, instances: u32) {
        lock(&self.inner.budget).set_fleet(instances, self.inner.clock.now());
    }

    /// Whether calls back off because the store did not answer the last ones.
    pub fn is_backing_off(&self) -> bool {
        lock(&self.inner.backoff).is_open()
    }

    /// Returns a mark that is unique to one write.
    fn next_mark(&self) -> String {
        let number = self.inner.next_mark.fetch_add(1, Ordering::Relaxed);
        format!("{}.{number}", self.inner.options.writer)
    }

    /// Returns a random number from 0 up to 1.
    fn jitter(&self) -> f64 {
        lock(&self.inner.rng).random_range(0.0..1.0)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
