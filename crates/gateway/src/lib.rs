//! Library of the carobwheel daemon.
//!
//! A request passes through the modules `intake`, `decide`, `dispatch` and `relay`; `peers`,
//! `platform` and `report` run beside them, and `daemon` starts and joins the threads. `front` and
//! `caller_memory` limit what callers make the process hold.

pub mod caller_memory;
pub mod daemon;
pub mod decide;
pub mod dispatch;
pub mod front;
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
