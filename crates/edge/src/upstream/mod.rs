//! An instance's view of the upstreams: their entries, load and health.

mod health;
mod load;
mod retained;
mod state;
mod table;

pub use health::{Health, Outcome};
pub use load::Load;
pub use state::{Stage, Upstream, UpstreamEntry};
pub use table::Upstreams;
