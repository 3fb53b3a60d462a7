//! The way of one request: identify, admit, place, send, relay.

mod answer;
mod forward;
mod identify;
mod refusal;
mod run;
mod send_once;
mod stream;
mod take;
mod ticket;

pub use answer::Answer;
pub use identify::{identify, Caller, Identified};
pub use refusal::Refusal;
pub use run::{run_anywhere, run_here};
pub use ticket::{FarTicket, Ticket};
