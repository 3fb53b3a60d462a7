//! Endpoints that callers connect to.

mod aux_endpoint;
mod body;
mod connections;
mod handler;
mod listen;
mod tracked_body;

pub use aux_endpoint::{AuxEndpoint, AuxInterface, DirectoryQuery};
pub use body::read_body;
pub use connections::Connections;
pub use listen::{bind, serve_aux, serve_callers};
