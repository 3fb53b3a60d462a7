//! The share of the store's rates that one instance may use.

use carobwheel_core::time::Millis;

/// Reads that all instances together may make, in calls a second. A waiting watch counts as one.
pub const FLEET_READS_PER_S: f64 = 1_600.0;
/// Writes that all instances together may make, in calls a second.
pub const FLEET_WRITES_PER_S: f64 = 300.0;
/// Burst of reads. It is small, since news makes all instances read at the same time.
const READ_BURST: Burst = Burst {
    yield_s: 0.25,
    min_calls: 1.0,
};
/// Burst of writes. Callers' actions come independently of each other, and a small burst would
/// refuse many of them.
const WRITE_BURST: Burst = Burst {
    yield_s: 1.0,
    min_calls: 4.0,
};

/// Calls that may be made at once.
#[derive(Clone, Copy, Debug)]
struct Burst {
    /// The yield of this time, in seconds.
    yield_s: f64,
    /// Smallest burst, in calls.
    min_calls: f64,
}

/// Kind of a call, by the rate that it counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads and opening a watch.
    Read,
    /// Writes and calls about leases.
    Write,
}

/// A token bucket of calls.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    burst: Burst,
    calls_per_s: f64,
    level_calls: f64,
    filled_at: Millis,
}

impl Bucket {
    fn new(burst: Burst, calls_per_s: f64, now: Millis) -> Self {
        let mut bucket = Self {
            burst,
            calls_per_s,
            level_calls: 0.0,
            filled_at: now,
        };
        bucket.level_calls = bucket.burst_calls();
        bucket
    }

    fn burst_calls(&self) -> f64 {
        (self.calls_per_s * self.burst.yield_s).max(self.burst.min_calls)
    }

    fn refill(&mut self, now: Millis) {
        let yielded = ms_to_s(now.since(self.filled_at)) * self.calls_per_s;
        self.level_calls = (self.level_calls + yielded).min(self.burst_calls());
        self.filled_at = self.filled_at.max(now);
    }
}

/// Calls that one instance may make.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
}

impl CallBudget {
    /// The share of one of `instances` instances. Each holds one waiting watch.
    pub fn for_fleet(instances: u32, now: Millis) -> Self {
        let (reads_per_s, writes_per_s) = shares(instances);
        Self {
            reads: Bucket::new(READ_BURST, reads_per_s, now),
            writes: Bucket::new(WRITE_BURST, writes_per_s, now),
        }
    }

    /// Changes the number of instances that share the store.
    pub fn set_fleet(&mut self, instances: u32, now: Millis) {
        self.reads.refill(now);
        self.writes.refill(now);
        (self.reads.calls_per_s, self.writes.calls_per_s) = shares(instances);
    }

    /// Takes the place of one call.
    ///
    /// # Errors
    ///
    /// Returns the time after which a place is free, in milliseconds.
    pub fn take(&mut self, kind: CallKind, now: Millis) -> Result<(), u64> {
        let bucket = self.bucket(kind);
        bucket.refill(now);
        if bucket.level_calls >= 1.0 {
            bucket.level_calls -= 1.0;
            return Ok(());
        }
        Err(s_to_ms((1.0 - bucket.level_calls) / bucket.calls_per_s))
    }

    /// Counts a call that has to be made; later calls wait for it.
    pub fn charge(&mut self, kind: CallKind, now: Millis) {
        let bucket = self.bucket(kind);
        bucket.refill(now);
        bucket.level_calls -= 1.0;
    }

    /// Gives up saved calls, so that the fleet does not spend them all when the store returns.
    pub fn drain(&mut self, now: Millis) {
        for bucket in [&mut self.reads, &mut self.writes] {
            bucket.refill(now);
            bucket.level_calls = bucket.level_calls.min(0.0);
        }
    }

    fn bucket(&mut self, kind: CallKind) -> &mut Bucket {
        match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        }
    }
}

fn shares(instances: u32) -> (f64, f64) {
    let instances = f64::from(instances.max(1));
    let waiting_watches = instances;
    let reads_per_s = (FLEET_READS_PER_S - waiting_watches).max(1.0) / instances;
    (reads_per_s, FLEET_WRITES_PER_S / instances)
}

#[allow(clippy::cast_precision_loss)]
fn ms_to_s(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn s_to_ms(s: f64) -> u64 {
    (s * 1_000.0).ceil() as u64
}
