//! Events that other threads send to the decision thread, and its answers.

use crate::{in_force::ActiveDocument, peers::Inbound, refusal::Refusal};
use carobwheel_core::{
    crash::PartId,
    id::{
        ClassId, InstanceId, ModelId, RegionId, RequestId, RolloutId, ServiceId, UpstreamId,
        VersionId,
    },
    identity::Caller,
    limit::ChargeId,
    retry::{Decision, Failure},
    rollout::VerdictAnswer,
    route::Hops,
    slot,
    time::Millis,
    upstream_limit::News,
};
use carobwheel_wire::platform::InstanceList;
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Model or service that a request is addressed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacementTarget {
    /// Model addressed by name.
    Model {
        /// Identifier of the model.
        model: ModelId,
        /// Latency class of the request.
        class: ClassId,
    },
    /// Plain service.
    Service {
        /// Identifier of the service.
        service: ServiceId,
        /// Path prefix of the route, for metrics and rollout evidence.
        route: String,
    },
}

/// Request for a placement at an upstream.
#[derive(Debug)]
pub struct PlacementRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Caller on whose behalf the request runs.
    pub caller: Caller,
    /// Model or service that it is addressed to.
    pub target: PlacementTarget,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
    /// Hashes of growing prefixes of the prompt, shortest first.
    pub prefix: Vec<u64>,
    /// Parts that crashes of upstreams are traced to; the last is the whole prompt or request.
    pub parts: Arc<[PartId]>,
    /// Latest end of the wait for the outcome of another request with a suspected part.
    pub waits_until: Option<Millis>,
    /// Region that must serve the request, if it is bound to one.
    pub bound_region: Option<RegionId>,
    /// Whether repeating the request has no further effect.
    pub idempotent: bool,
    /// Deadline for the start of the response.
    pub deadline: Millis,
    /// Upstreams that earlier attempts were sent to.
    pub tried: Vec<UpstreamId>,
    /// Instances that the request has passed through, including this one.
    pub hops: Hops,
    /// Charge of an earlier attempt of the same request.
    pub charge: Option<ChargeId>,
    /// Cancels the request when its charge no longer covers it.
    pub cancel: CancellationToken,
    /// Channel for the decision.
    pub reply: oneshot::Sender<Result<PlacementDecision, Refusal>>,
}

/// Decision on where a request goes next.
#[derive(Clone, Debug)]
pub enum PlacementDecision {
    /// Send the request to an upstream.
    Dispatch(Assignment),
    /// Forward the request to another instance.
    Forward(NextHop),
}

/// Instance that a request is forwarded to.
#[derive(Clone, Debug)]
pub struct NextHop {
    /// Identifier of the instance.
    pub instance: InstanceId,
    /// Address for connections between instances.
    pub addr: SocketAddr,
    /// Hops to send with the request.
    pub hops: Hops,
}

/// Upstream assigned to a request.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Identifier of the placement, given again when the request is settled.
    pub ticket: u64,
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Base URL of the upstream.
    pub url: String,
    /// Model version that serves the request; none for plain services.
    pub version: Option<VersionId>,
    /// Priority passed on to the engine; 0 is the most urgent.
    pub priority: u8,
    /// Deadline for sending the request.
    pub send_before: Millis,
    /// Charge to settle when the request ends; none on open routes.
    pub charge: Option<ChargeId>,
}

/// Outcome of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete response was relayed.
    Completed,
    /// The attempt failed.
    Failed(Failure),
    /// The caller disconnected or the request was cancelled.
    Cancelled,
}

/// Outcome and token usage of a placed request.
#[derive(Clone, Copy, Debug)]
pub struct Settlement {
    /// Identifier of the placement.
    pub ticket: u64,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Number of output tokens relayed.
    pub output_tokens: u64,
    /// Whether output of the engine has arrived.
    pub has_output: bool,
    /// Whether the connection broke before the answer was complete, without being cancelled here.
    pub is_broken: bool,
    /// Whether the upstream broke the connection before its first output.
    pub is_broken_before_output: bool,
}

/// Request for a decision on whether to retry a failed attempt.
#[derive(Debug)]
pub struct RetryRequest {
    /// Whether repeating the request has no further effect.
    pub idempotent: bool,
    /// Failure of the attempt.
    pub failure: Failure,
    /// Identifier of the request.
    pub id: RequestId,
    /// Parts of its prompt; the last is the whole prompt.
    pub parts: Arc<[PartId]>,
    /// Whether the attempt failed before its first output.
    pub is_before_output: bool,
    /// Number of attempts whose connection broke before their first output.
    pub engine_ends: u32,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Deadline for the start of the response.
    pub deadline: Millis,
    /// Channel for the decision.
    pub reply: oneshot::Sender<Decision>,
}

/// Event for the decision thread.
#[derive(Debug)]
pub enum Event {
    /// A request needs a placement.
    Place(Box<PlacementRequest>),
    /// A response states a limit on the requests to its upstream, or none.
    LimitNews {
        /// Identifier of the placement.
        ticket: u64,
        /// What it states.
        news: News,
    },
    /// A response states that its upstream is leaving.
    LeavingNews {
        /// Identifier of the placement.
        ticket: u64,
    },
    /// The first byte of a response arrived.
    FirstByte {
        /// Identifier of the placement.
        ticket: u64,
    },
    /// The first output of an engine arrived.
    FirstOutput {
        /// Identifier of the placement.
        ticket: u64,
    },
    /// Output tokens arrived.
    Progress {
        /// Identifier of the placement.
        ticket: u64,
        /// Number of output tokens so far.
        output_tokens: u64,
    },
    /// A placed request ended.
    Settle(Settlement),
    /// An attempt failed before its response started and needs a retry decision.
    Retry(Box<RetryRequest>),
    /// A document arrived from the store or a peer.
    Document(Arc<ActiveDocument>),
    /// A charged request ended.
    SettleCharge {
        /// Charge of the request.
        charge: ChargeId,
        /// Number of output tokens generated.
        output_tokens: u64,
    },
    /// A message or document arrived from a peer.
    Peer(Box<Inbound>),
    /// The ownership record of one region's slots was read.
    Slots(Box<SlotsRead>),
    /// The ownership records of all regions have been read once.
    SlotsLoaded,
    /// The live list was read.
    LiveList(Box<LiveListRead>),
    /// The store answered a call about a verdict.
    Verdict {
        /// Identifier of the rollout.
        rollout: RolloutId,
        /// Sequence number of the call.
        call: u32,
        /// Answer of the store.
        answer: VerdictAnswer,
    },
    /// The instance is leaving.
    Leave,
}

/// Ownership record of one region's slots, as read from the store.
#[derive(Debug)]
pub struct SlotsRead {
    /// Region of the slots.
    pub region: RegionId,
    /// Revision of the record; 0 if there is none.
    pub revision: u64,
    /// Ownership record.
    pub record: slot::OwnershipRecord,
    /// Start time of the read; 0 if unknown.
    pub began: Millis,
}

/// Live list of instances, as read from the platform.
#[derive(Debug)]
pub struct LiveListRead {
    /// Instances on the list.
    pub list: InstanceList,
    /// Start time of the read.
    pub began: Millis,
}
