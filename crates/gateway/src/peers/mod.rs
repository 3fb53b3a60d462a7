//! Links between instances: a thread with `quinn` endpoints and mutual TLS.
//!
//! [`start`] starts the link thread. Other threads send commands to it through a [`Handle`] with a
//! bounded queue, and receive [`Inbound`] events and [`IncomingForward`] requests through closures
//! that must not block. Small messages are sent as datagrams; large messages, documents and
//! forwarded requests as streams.
//!
//! The name of a peer is bound to its certificate: the dialling side requires the certificate of
//! the instance that it dials, and the accepting side checks the name that the peer claims against
//! the peer's certificate. A link on which messages get no reply is replaced by one from a new local
//! port, because a middlebox on the path may have lost the state of the old flow. The old link stays
//! open while requests are in progress on it, up to the lost timeout.

mod counters;
mod dial;
mod document;
mod error;
mod forward;
mod handle;
mod link;
mod links;
mod pump;
mod run;
mod serve;
mod settings;
mod shared;
mod tls;

pub use counters::PeerStats;
pub use error::{ForwardError, PeerError, QueueFull};
pub use forward::{BodyChunk, ForwardAnswer, ForwardReply, IncomingForward, ReplyBody};
pub use handle::{start, Handle, Inbound, Sinks};
pub use settings::{PeerSettings, TlsMaterial};
