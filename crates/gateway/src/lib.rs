//! Library of the carobwheel daemon.
//!
//! A request passes through the modules `intake`, `decide`, `dispatch` and `relay`; `peers`,
//! `platform` and `report` run beside them, and `daemon` starts and joins the threads.

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
