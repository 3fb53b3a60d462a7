//! Links between instances over QUIC.
//!
//! Each instance dials every other one. Its link carries its gossip as datagrams, and the requests
//! that it forwards as one HTTP exchange on a stream each. Certificates are made at the start and
//! pinned by the digest that stands in the instance's entry in the store.

mod accept;
mod congestion;
mod dial;
mod exchange;
mod pull;
mod tls;

pub use dial::Links;
pub(crate) use exchange::{exchange, ExchangeError};
pub use pull::pull;
pub use tls::{Identity, PeerError};

use crate::node::Gossip;
use std::time::Duration;

/// Header with the [`RequestMeta`](crate::pipeline::FarTicket) of a forwarded request.
pub(crate) const TICKET_HEADER: &str = "cw-ticket";
/// Header of an answer that the other instance itself gave.
pub(crate) const REFUSED_HEADER: &str = "cw-refused";
/// Header of a question for a part of the store.
pub(crate) const PULL_HEADER: &str = "cw-pull";
/// Silence after which a link counts as lost.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longest gossip message, in bytes.
const MAX_GOSSIP_BYTES: usize = 256 * 1024;

fn encode(gossip: &Gossip) -> Result<Vec<u8>, PeerError> {
    postcard::to_stdvec(gossip).map_err(|err| PeerError(err.to_string()))
}

fn decode(bytes: &[u8]) -> Result<Gossip, PeerError> {
    postcard::from_bytes(bytes).map_err(|err| PeerError(err.to_string()))
}
