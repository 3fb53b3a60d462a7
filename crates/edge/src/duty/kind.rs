//! Kinds of duties.

use serde::{Deserialize, Serialize};

/// Kind of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reports of the requests of each account, for the whole fleet.
    UsageReport,
    /// Number of engines, for each region.
    Autoscale,
    /// A kind that this build does not know and does not perform.
    #[serde(other)]
    Unknown,
}

impl DutyKind {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UsageReport => "usage_report",
            Self::Autoscale => "autoscale",
            Self::Unknown => "unknown",
        }
    }
}
