//! What callers connect to.

mod body;
mod conn;
mod handler;
mod listen;
mod side;

pub use body::read_body;
pub use conn::Connections;
pub use handler::handle;
pub use listen::{bind, serve_callers, serve_side};
pub use side::{Interface, Question, SideHandler};
