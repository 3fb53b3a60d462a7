//! What an instance believes of the upstreams: which there are, how busy and how sound they are.

mod health;
mod load;
mod state;

pub use health::{Health, Outcome};
pub use load::Load;
pub use state::{Cause, Stage, Upstream, UpstreamEntry, Upstreams};
