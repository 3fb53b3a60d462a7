//! The way of one request: identify, admit, place, send, relay.

mod answer;
mod attempts;
mod context;
mod forward;
mod identify;
mod refusal;
mod run;
mod send_once;
mod stream;

pub use answer::Answer;
pub use context::{FarTicket, Ticket};
pub use identify::{identify, Caller, Identified};
pub use refusal::Refusal;
pub use run::{run_anywhere, run_here};
