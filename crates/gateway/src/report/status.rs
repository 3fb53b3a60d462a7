//! What the status page shows.

use super::tally::LabelStatus;
use arc_swap::ArcSwap;
use carobwheel_core::id::{DataCentreId, InstanceId, RegionId};
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc};

/// One member of the fleet as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Name of the member.
    pub instance: InstanceId,
    /// Number that separates a restarted instance from its past.
    pub incarnation: u64,
    /// Region of the member.
    pub region: RegionId,
    /// Data centre of the member.
    pub data_centre: DataCentreId,
    /// `Alive`, `Suspect`, `Leaving` or `Gone`.
    pub state: String,
    /// News from the member's region arrives.
    pub is_reachable: bool,
    /// Revision of the document in force there.
    pub revision: u64,
    /// Slots that the member owns.
    pub slots: usize,
}

/// One upstream as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: String,
    /// Requests in flight there, of this instance and its peers in the region.
    pub requests: u64,
    /// The upstream gets no new work because it is leaving.
    pub is_leaving: bool,
    /// The upstream gets no new work because it fails.
    pub is_ejected: bool,
}

/// The deciding thread's part of the status.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Decisions {
    /// Revision of the document in force; none before the first one.
    pub revision: Option<u64>,
    /// Members of the fleet, this instance included.
    pub members: Vec<MemberStatus>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Requests that wait for room at an upstream.
    pub waiting: usize,
    /// Placements that have not been settled.
    pub placed: usize,
    /// Charges that have not been settled.
    pub charges: usize,
    /// Loans taken from other owners.
    pub loans_taken: usize,
    /// Loans given to other instances.
    pub loans_given: usize,
    /// Retries since the start.
    pub retries: u64,
    /// State of each rollout.
    pub rollouts: BTreeMap<String, String>,
}

/// The reporting thread's part of the status.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Requests {
    /// Requests by account and class.
    pub labels: Vec<LabelStatus>,
    /// Refusals by cause.
    pub refusals: BTreeMap<&'static str, u64>,
}

/// The shared place of both parts; each is replaced by its thread about once a second.
#[derive(Clone, Debug, Default)]
pub struct StatusBoard {
    /// The deciding thread's part.
    pub decisions: Arc<ArcSwap<Decisions>>,
    /// The reporting thread's part.
    pub requests: Arc<ArcSwap<Requests>>,
}
