//! Demand at other instances.

use super::{DEMAND_TIMEOUT_MS, MIN_REPORTED_MS};
use crate::rate::MeanRate;
use carobwheel_core::time::Millis;

/// Demand reported by another instance, or by a delegate for several.
#[derive(Clone, Debug)]
pub(super) struct PeerDemand {
    pub(super) life: u64,
    pub(super) requested_tokens: u64,
    pub(super) demand: MeanRate,
    /// Rate that a delegate has added up, in tokens a second; replaces `demand`.
    pub(super) summed_per_s: Option<f64>,
    /// Number of instances that the report covers.
    pub(super) instances: usize,
    /// Start of the reports without a gap.
    pub(super) since: Millis,
    pub(super) received_at: Millis,
}

impl PeerDemand {
    /// Demand at the time of the report, in tokens a second.
    pub(super) fn per_s(&self) -> f64 {
        let reported_ms = self.received_at.since(self.since);
        self.summed_per_s
            .unwrap_or_else(|| self.demand.per_s_over(reported_ms, self.received_at))
    }

    /// Whether the last report is too old to tell the demand.
    pub(super) fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.received_at) > DEMAND_TIMEOUT_MS
    }

    /// Whether the reports cover enough time to tell the demand.
    pub(super) fn is_known(&self) -> bool {
        self.summed_per_s.is_some() || self.received_at.since(self.since) >= MIN_REPORTED_MS
    }
}

/// Demand for an account at several instances, added up by a delegate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SummedDemand {
    /// Demand, in tokens a second.
    pub per_s: f64,
    /// Number of instances that it covers.
    pub instances: usize,
}
