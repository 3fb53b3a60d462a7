//! Lease that allows one instance per region to issue orders.

use crate::id::{InstanceId, RegionId};
use crate::lease::{FencingNumber, Lease, LeaseAnswer, LeaseEffect, LeaseTimes};
use crate::once::WriterId;
use crate::time::Millis;

/// Time to live of the lease, in milliseconds.
pub const LEASE_TTL_MS: u64 = 30_000;
/// Maximum time between sending an order and its arrival, in milliseconds. The call that carries the
/// order has this deadline.
pub const MAX_ORDER_LATENCY_MS: u64 = 5_000;
/// Maximum process pause between the last clock reading and the sending of an order that a new
/// holder allows for, in milliseconds.
pub const PAUSE_ALLOWANCE_MS: u64 = 20_000;
/// Time between two attempts to acquire the lease for rank 0, in milliseconds.
const ACQUIRE_RETRY_MS: u64 = 2_000;
/// Times of the order lease.
const TIMES: LeaseTimes = LeaseTimes {
    ttl_ms: LEASE_TTL_MS,
    renewal_interval_ms: LEASE_TTL_MS / 3,
    max_latency_ms: MAX_ORDER_LATENCY_MS,
    retry_ms: ACQUIRE_RETRY_MS,
};

/// Returns the store key of the order lease of `region`.
pub fn order_lease_key(region: &RegionId) -> String {
    format!("orders/{region}")
}

/// State machine of one instance that competes for the order lease of its region.
#[derive(Clone, Debug)]
pub struct OrderLease(Lease);

impl OrderLease {
    /// Creates the state machine of instance `holder`. `rank` is its rank among the candidates of the
    /// region; a higher rank waits longer between attempts.
    pub fn new(holder: InstanceId, rank: u64) -> Self {
        Self(Lease::new(holder, rank, TIMES))
    }

    /// Acquires, renews or expires the lease according to the time. `writer` has to be a new random
    /// identifier for each call.
    pub fn tick(&mut self, writer: WriterId, now: Millis) -> Vec<LeaseEffect> {
        self.0.tick(writer, now)
    }

    /// Handles the result of call `call`.
    pub fn step(&mut self, call: u32, answer: LeaseAnswer, now: Millis) -> Vec<LeaseEffect> {
        self.0.step(call, answer, now)
    }

    /// Returns the fencing number for an order that is sent now, or none if it must not be sent.
    ///
    /// Has to be called immediately before sending, because a process pause may have outlasted the
    /// lease. An order sent now arrives before the lease ends. An engine that does not check
    /// fencing numbers gets its first order only when orders of the previous holder can no longer
    /// arrive.
    #[must_use]
    pub fn permit_send(&self, checks_fencing: bool, now: Millis) -> Option<FencingNumber> {
        let initial_wait_ms = if checks_fencing {
            0
        } else {
            MAX_ORDER_LATENCY_MS + PAUSE_ALLOWANCE_MS
        };
        self.0.permit_send(initial_wait_ms, now)
    }

    /// Returns the fencing number while the lease is held according to this instance's clock.
    pub fn number(&self, now: Millis) -> Option<FencingNumber> {
        self.0.number(now)
    }
}
