//! The carobwheel daemon as a library.
//!
//! The folders follow a request's way: `intake`, `decide`, `dispatch`, `relay`, with `peers`,
//! `platform` and `report` beside them; `daemon` joins the threads.

pub mod daemon;
pub mod decide;
pub mod dispatch;
pub mod in_flight;
pub mod in_force;
pub mod intake;
pub mod options;
pub mod peers;
pub mod platform;
pub mod refusal;
pub mod relay;
pub mod report;
pub mod ring;
pub mod settings;
pub mod store;
