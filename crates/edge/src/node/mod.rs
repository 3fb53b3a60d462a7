//! One instance: its state, and what changes it.

mod apply;
mod evidence;
mod gossip;
mod state;
mod tick;

pub use evidence::SendIds;
pub use gossip::Gossip;
pub use state::{urgency, Node, PlacementRequest, State};
pub use tick::Pull;
