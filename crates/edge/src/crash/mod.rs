//! Connection of the request path to the detection of prompt parts that crash engines.
//!
//! Evidence comes from each send ([`SendWatch`]) and from other instances; requests with a held
//! part are refused before they are sent.

mod evidence;
mod gate;
mod send_watch;

pub use gate::{HoldDecision, HOLD_REFUSAL, SUSPECT_REFUSAL};
pub use send_watch::SendWatch;
