//! Decision logic of the carobwheel gateway.
//!
//! Nothing in this crate performs I/O, starts a thread or reads a clock by itself: time is passed
//! in as an argument, and messages and effects are returned as values. The same code therefore runs
//! in the daemon, in seeded randomised tests and in experiments.

pub mod admit;
pub mod autoscale;
pub mod brittle;
pub mod crash;
pub mod document;
pub mod duty;
pub mod evidence;
pub mod fleet;
pub mod id;
pub mod identity;
pub mod lease;
pub mod limit;
pub mod member;
pub mod memory;
pub mod once;
pub mod order;
pub mod reach;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod slot;
pub mod status;
pub mod time;
pub mod upstream_limit;
pub mod usage;
