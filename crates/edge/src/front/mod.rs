//! Endpoints that callers connect to.

mod aux_endpoint;
mod body;
mod connections;
mod eviction;
mod handler;
mod listen;
mod listing;
mod min_rate;
mod tracked_body;
mod tracked_stream;

pub use aux_endpoint::{AuxEndpoint, AuxInterface, DirectoryQuery};
pub use body::{read_body, ReceivedBody};
pub use connections::{ConnectionLimits, Connections, Timeouts};
pub use listen::{bind, serve_aux, serve_callers};
pub use listing::{listed_addresses, ListedInstance};
pub use tracked_stream::{StreamEvent, TrackedStream};
