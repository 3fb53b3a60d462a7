//! Connections to upstreams.
//!
//! A connection carries one request at a time and is reused only after a complete response. The
//! client library that the rest of the project uses does not report whether a request was sent, so
//! the connections are pooled here.

mod connect;
mod ended;
mod interim;
mod load_guard;
mod pool;
mod send;
mod upstream_stream;

pub(crate) use connect::is_accepting;
pub use connect::set_liveness;
pub use load_guard::LoadGuard;
pub use pool::{Connection, Pools};
pub(crate) use send::{is_closed_by_upstream, is_hop_header};
pub use send::{send, ConnectionCheckout, Reply, SendError, Target};
pub use upstream_stream::UpstreamStream;
