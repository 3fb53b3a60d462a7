//! Rate limits for one instance's calls to the store.

use carobwheel_core::time::Millis;

/// Rate of reads of the whole fleet, in calls per second. An open watch counts as one call per
/// second.
pub const FLEET_READS_PER_S: f64 = 1_600.0;
/// Rate of writes of the whole fleet, in calls per second.
pub const FLEET_WRITES_PER_S: f64 = 300.0;
/// Burst of reads. It is small, because an update causes all instances to read at the same time.
const READ_BURST: Burst = Burst {
    fill_s: 0.25,
    min_calls: 1.0,
};
/// Burst of writes. Callers' actions arrive independently of each other, and a small burst would
/// refuse many of them.
const WRITE_BURST: Burst = Burst {
    fill_s: 1.0,
    min_calls: 4.0,
};

/// Size of a bucket, relative to its rate.
#[derive(Clone, Copy, Debug)]
struct Burst {
    /// Time over which an empty bucket fills, in seconds.
    fill_s: f64,
    /// Minimum size, in calls.
    min_calls: f64,
}

/// Kind of a call, which determines the rate limit that it counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read, or the opening of a watch.
    Read,
    /// A write, or a call about a lease.
    Write,
}

/// Token bucket of calls.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    burst: Burst,
    calls_per_s: f64,
    available_calls: f64,
    refilled_at: Millis,
}

impl Bucket {
    fn new(burst: Burst, calls_per_s: f64, now: Millis) -> Self {
        let mut bucket = Self {
            burst,
            calls_per_s,
            available_calls: 0.0,
            refilled_at: now,
        };
        bucket.available_calls = bucket.burst_calls();
        bucket
    }

    fn burst_calls(&self) -> f64 {
        (self.calls_per_s * self.burst.fill_s).max(self.burst.min_calls)
    }

    fn refill(&mut self, now: Millis) {
        let refilled = ms_to_s(now.since(self.refilled_at)) * self.calls_per_s;
        self.available_calls = (self.available_calls + refilled).min(self.burst_calls());
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// Rate limits of one instance's calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct CallBudget {
    reads: Bucket,
    writes: Bucket,
}

impl CallBudget {
    /// Creates the budget of one instance in a fleet of `instances`, each with one open watch.
    pub fn for_fleet(instances: u32, now: Millis) -> Self {
        let (reads_per_s, writes_per_s) = rates_per_instance(instances);
        Self {
            reads: Bucket::new(READ_BURST, reads_per_s, now),
            writes: Bucket::new(WRITE_BURST, writes_per_s, now),
        }
    }

    /// Sets the number of instances that share the store's rates.
    pub fn set_fleet(&mut self, instances: u32, now: Millis) {
        self.reads.refill(now);
        self.writes.refill(now);
        (self.reads.calls_per_s, self.writes.calls_per_s) = rates_per_instance(instances);
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    ///
    /// Returns the time until a call is available, in milliseconds.
    pub fn take(&mut self, kind: CallKind, now: Millis) -> Result<(), u64> {
        let bucket = self.bucket(kind);
        bucket.refill(now);
        if bucket.available_calls >= 1.0 {
            bucket.available_calls -= 1.0;
            return Ok(());
        }
        Err(s_to_ms((1.0 - bucket.available_calls) / bucket.calls_per_s))
    }

    /// Charges a call that is made in any case. The bucket may go below zero, which delays later
    /// calls.
    pub fn charge(&mut self, kind: CallKind, now: Millis) {
        let bucket = self.bucket(kind);
        bucket.refill(now);
        bucket.available_calls -= 1.0;
    }

    /// Empties the buckets, so that the fleet does not send a burst when the store recovers.
    pub fn drain(&mut self, now: Millis) {
        for bucket in [&mut self.reads, &mut self.writes] {
            bucket.refill(now);
            bucket.available_calls = bucket.available_calls.min(0.0);
        }
    }

    fn bucket(&mut self, kind: CallKind) -> &mut Bucket {
        match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        }
    }
}

fn rates_per_instance(instances: u32) -> (f64, f64) {
    let instances = f64::from(instances.max(1));
    let open_watches = instances;
    let reads_per_s = (FLEET_READS_PER_S - open_watches).max(1.0) / instances;
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
