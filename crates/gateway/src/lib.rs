//! The carobwheel daemon as a library.
//!
//! The folders follow a request's way: `intake`, `decide`, `dispatch`, with `peers`, `platform`
//! and `report` beside them.

pub mod decide;
pub mod dispatch;
pub mod intake;
pub mod peers;
pub mod platform;
pub mod report;
pub mod ring;
pub mod settings;
pub mod store;
