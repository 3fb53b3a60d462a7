//! Orders to engines: load a model, a version or an adapter, change role.
//!
//! One instance a region issues orders, under a lease of the store ([`OrderLease`]). The revision
//! at which the lease's key was written is the fencing number of its orders; it grows with each
//! holder. Engines that check fencing numbers refuse an order of an earlier holder. For those that
//! do not, a new holder first waits until orders of the former one can no longer arrive.
//!
//! Orders are declarative: they name the state that an engine is to be in. The issuer reads the
//! engine's state, orders what differs, and reads back ([`Issuer`]).

mod issuer;
mod lease;

pub use issuer::{
    EngineAnswer, EngineTarget, Issuer, IssuerEffect, Order, Role, READ_BACK_DELAY_MS,
    REREAD_INTERVAL_MS,
};
pub use lease::{
    order_lease_key, FencingNumber, LeaseAnswer, LeaseEffect, LeaseRecord, OrderLease,
    LEASE_TTL_MS, MAX_ORDER_LATENCY_MS, PAUSE_ALLOWANCE_MS,
};
