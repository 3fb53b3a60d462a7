//! State of the instance, and the operations that read and change it.

mod apply;
mod brittle;
mod catch_up;
mod cut_off;
mod digest;
mod duty;
mod evidence;
mod gossip;
mod leaving;
mod limits;
mod links;
mod news;
mod placement;
mod reach;
mod receive;
mod relay;
mod restart;
mod restore;
mod scaling;
mod state;
mod tick;
mod usage;

pub use catch_up::{CatchUp, Pull};
pub use digest::{Digest, DigestScope, FleetReport, LinkCursor, TrialSum};
pub use evidence::SendIds;
pub use gossip::{Additions, DutyReport, ForecastReport, Gossip, TrialReport};
pub use limits::KeyedLimitReport;
pub(crate) use limits::LimitWait;
pub use placement::PlacementRequest;
pub use reach::ReachTable;
pub use relay::{RelayedReport, ReportCursor, ReportRelay};
pub(crate) use scaling::scaling_of;
pub use scaling::UnmetLoad;
pub use state::{urgency, Node, State};
pub(crate) use usage::usage_of;
