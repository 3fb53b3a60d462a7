//! Orders (commands) to engines: load a model version or an adapter, or change the role.
//!
//! One instance per region issues orders while it holds a store lease ([`OrderLease`]). The store
//! revision at which the lease's key was created is the fencing number of its orders; it increases
//! with each holder. Engines that check fencing numbers refuse orders of an earlier holder. For
//! engines that do not, a new holder first waits until orders of the previous one can no longer
//! arrive.
//!
//! Orders are declarative: they contain the target state of an engine. The issuer reads the actual
//! state, sends an order if it differs, and reads the state again ([`Issuer`]).

mod issuer;
mod lease;

pub use crate::lease::{FencingNumber, LeaseAnswer, LeaseEffect, LeaseRecord};
pub use issuer::{
    EngineAnswer, EngineTarget, Issuer, IssuerEffect, Order, Role, READ_BACK_DELAY_MS,
    REREAD_INTERVAL_MS,
};
pub use lease::{
    order_lease_key, OrderLease, LEASE_TTL_MS, MAX_ORDER_LATENCY_MS, PAUSE_ALLOWANCE_MS,
};
