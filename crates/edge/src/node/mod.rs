//! State of the instance, and the operations that read and change it.

mod apply;
mod evidence;
mod gossip;
mod leaving;
mod limits;
mod news;
mod placement;
mod restore;
mod state;
mod tick;

pub use evidence::SendIds;
pub use gossip::{Additions, Gossip};
pub use limits::KeyedLimitReport;
pub(crate) use limits::LimitWait;
pub use news::HealthChecks;
pub use placement::PlacementRequest;
pub use state::{urgency, Node, State};
pub use tick::Pull;
