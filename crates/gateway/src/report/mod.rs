//! Metrics, histograms, logs and the status page.

mod logs;

pub use logs::start as start_logs;
