//! Data shown on the status page.

use super::tally::LabelStatus;
use crate::decide::CrashStatus;
use arc_swap::ArcSwap;
use carobwheel_core::id::{DataCentreId, InstanceId, RegionId};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc};

/// Member of the fleet, as seen by this instance.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Identifier of the member.
    pub instance: InstanceId,
    /// Number that distinguishes successive runs of the same instance.
    pub incarnation: u64,
    /// Region of the member.
    pub region: RegionId,
    /// Data centre of the member.
    pub data_centre: DataCentreId,
    /// `Alive`, `Suspect`, `Leaving` or `Gone`.
    pub state: String,
    /// Whether messages from the member's region arrive.
    pub is_reachable: bool,
    /// Revision of the document in force on the member.
    pub revision: u64,
    /// Number of slots that the member owns.
    pub slots: usize,
}

/// Upstream, as seen by this instance.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// Identifier of the upstream.
    pub upstream: String,
    /// Number of requests in flight there from this instance and its peers in the region.
    pub requests: u64,
    /// Whether the upstream gets no new requests because it is leaving.
    pub is_leaving: bool,
    /// Whether the upstream gets no new requests because it was ejected for failing.
    pub is_ejected: bool,
}

/// Status published by the decision thread.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DecisionStatus {
    /// Revision of the document in force; none before the first one.
    pub revision: Option<u64>,
    /// Members of the fleet, this instance included.
    pub members: Vec<MemberStatus>,
    /// Upstreams of the document in force.
    pub upstreams: Vec<UpstreamStatus>,
    /// Number of requests queued for an upstream.
    pub waiting: usize,
    /// Number of placements that have not been settled.
    pub placed: usize,
    /// Number of charges that have not been settled.
    pub charges: usize,
    /// Number of loans taken from other owners.
    pub loans_taken: usize,
    /// Number of loans given to other instances.
    pub loans_given: usize,
    /// Crashes of engines and the requests refused because of them.
    pub crashes: CrashStatus,
    /// Number of retries since the start.
    pub retries: u64,
    /// State of each rollout.
    pub rollouts: BTreeMap<String, String>,
}

/// Status published by the reporting thread.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestStatus {
    /// Request statistics by account and class.
    pub labels: Vec<LabelStatus>,
    /// Number of refusals by cause.
    pub refusals: BTreeMap<&'static str, u64>,
}

/// Status shared with the operators' server. Each thread replaces its part about once a second.
#[derive(Clone, Debug, Default)]
pub struct StatusBoard {
    /// Status published by the decision thread.
    pub decisions: Arc<ArcSwap<DecisionStatus>>,
    /// Status published by the reporting thread.
    pub requests: Arc<ArcSwap<RequestStatus>>,
}
