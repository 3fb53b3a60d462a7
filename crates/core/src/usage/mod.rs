//! Requests of each account that engines began to run, counted by windows of true time.
//!
//! [`UsageTable`] holds the counters of this process and what others have told, [`UsageLink`] decides what
//! to send to one other instance, and [`ReportLog`] decides which windows the holder of the duty commits
//! and sends. Accounts, processes and regions are identified by hashes of their names.

mod link;
mod report_log;
mod table;

pub use link::{Counter, Recipient, UsageLink, UsageMessage};
pub use report_log::{
    ReportInput, ReportLog, ReportStep, ReportTimes, StoredReports, WindowReport,
};
pub use table::{Counts, Source, UsageTable};
