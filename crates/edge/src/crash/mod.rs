//! Connection of the request path to the detection of prompt parts, and of whole requests, that
//! crash upstreams.
//!
//! Evidence comes from each send ([`SendWatch`]) and from other instances; held requests, and
//! requests with a held part, are refused before they are sent.

mod evidence;
mod fingerprint;
mod gate;
mod send_watch;

pub use fingerprint::Fingerprint;
pub use gate::{held_reason, suspected_reason, HoldDecision};
pub use send_watch::SendWatch;
