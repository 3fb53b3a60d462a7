//! Links between instances: one thread with a `quinn` endpoint and mutual TLS.
//!
//! [`start`] runs the thread. The rest of the program talks to it through a [`Handle`]: bounded
//! commands go in, and [`Inbound`] messages and [`IncomingForward`] requests come out through
//! closures that must not block. Datagrams carry small messages, streams carry larger ones,
//! documents and forwarded requests.
//!
//! The name of a peer is bound to its certificate: whoever dials demands the certificate of the
//! instance it means to reach, and whoever accepts checks the caller's claimed name against its
//! certificate. A link on which nothing of use arrives while we send is dropped and dialled again
//! from a new local port, because something between the two ends may have lost the old flow.

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
