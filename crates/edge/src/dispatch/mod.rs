//! Sending requests to upstreams.
//!
//! One connection carries one request at a time, and is used again only after a whole answer. The
//! library client that the rest of the project uses does not tell whether a request has left, so
//! connections are held here.

mod connect;
mod load_guard;
mod pool;
mod send;

pub use connect::set_liveness;
pub use load_guard::LoadGuard;
pub use pool::{Connection, Pools};
pub(crate) use send::is_hop_header;
pub use send::{send, ConnectionCheckout, Reply, SendError, Target};
