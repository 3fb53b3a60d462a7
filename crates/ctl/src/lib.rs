//! Library of `carobctl`, the command-line tool of carobwheel for operation and measurement.

pub mod config;
pub mod demo;
pub mod experiment;
pub mod explain;
pub mod key;
pub mod load;
pub mod options;
pub mod place;
pub mod status;
