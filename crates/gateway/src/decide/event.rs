//! What other threads tell the deciding thread, and what it answers.

use crate::{in_force::ActiveDocument, peers::Inbound, refusal::Refusal};
use carobwheel_core::{
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
};
use carobwheel_wire::platform::InstanceList;
use std::{net::SocketAddr, sync::Arc};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A model by name.
    Model {
        /// Name of the model.
        model: ModelId,
        /// Latency class of the prompt.
        class: ClassId,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: ServiceId,
        /// Path prefix of the route, for reports and evidence.
        route: String,
    },
}

/// A request that asks for a place at an upstream.
#[derive(Debug)]
pub struct PlacementRequest {
    /// Name of the request.
    pub id: RequestId,
    /// Who the request runs for.
    pub caller: Caller,
    /// What it asks for.
    pub destination: Destination,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of output at most.
    pub max_output_tokens: u64,
    /// Hashes of growing prefixes of the prompt, shortest first.
    pub prefix: Vec<u64>,
    /// Region that the request has to be served in, if it is bound.
    pub bound_region: Option<RegionId>,
    /// The request may be repeated without a further effect.
    pub idempotent: bool,
    /// Time by which the answer has to begin.
    pub deadline: Millis,
    /// Upstreams that were tried before.
    pub tried: Vec<UpstreamId>,
    /// The way that the request has taken, this instance included.
    pub hops: Hops,
    /// Charge of an earlier attempt of the same request.
    pub charge: Option<ChargeId>,
    /// Ends the request when its account may not go on with it.
    pub cancel: CancellationToken,
    /// Where the decision goes.
    pub reply: oneshot::Sender<Result<PlacementDecision, Refusal>>,
}

/// The next step of a request.
#[derive(Clone, Debug)]
pub enum PlacementDecision {
    /// Send it to an upstream.
    Dispatch(Assignment),
    /// Send it to another instance.
    Forward(NextHop),
}

/// Another instance that a request goes to.
#[derive(Clone, Debug)]
pub struct NextHop {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its address for instances.
    pub addr: SocketAddr,
    /// The hops to send along.
    pub hops: Hops,
}

/// A place at an upstream.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Number of the placement, named again when the request settles.
    pub ticket: u64,
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Base URL of the upstream.
    pub url: String,
    /// Version of the model that serves the request.
    pub version: Option<VersionId>,
    /// Priority passed on to the engine; 0 is the most urgent.
    pub priority: u8,
    /// Time from which the request may not be sent any more.
    pub send_before: Millis,
    /// Charge of the request, to be settled when it ends; none on open routes.
    pub charge: Option<ChargeId>,
}

/// How a placed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The answer was whole.
    Completed,
    /// The attempt failed.
    Failed(Failure),
    /// The caller went away or the request was cancelled before its end.
    Cancelled,
}

/// What a placed request used.
#[derive(Clone, Copy, Debug)]
pub struct Settlement {
    /// Number of the placement.
    pub ticket: u64,
    /// How the request ended.
    pub outcome: AttemptOutcome,
    /// Output tokens that were relayed.
    pub output_tokens: u64,
}

/// Asks whether a failed attempt is tried again.
#[derive(Debug)]
pub struct RetryRequest {
    /// The request may be repeated without a further effect.
    pub idempotent: bool,
    /// How the attempt failed.
    pub failure: Failure,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time by which the answer has to begin.
    pub deadline: Millis,
    /// Where the decision goes.
    pub reply: oneshot::Sender<Decision>,
}

/// An event for the deciding thread.
#[derive(Debug)]
pub enum Event {
    /// A request asks for a place.
    Place(Box<PlacementRequest>),
    /// The first byte of an answer arrived.
    FirstByte {
        /// Number of the placement.
        ticket: u64,
    },
    /// Output tokens have arrived.
    Progress {
        /// Number of the placement.
        ticket: u64,
        /// Output tokens so far.
        output_tokens: u64,
    },
    /// A placed request ended.
    Settle(Settlement),
    /// An attempt failed before its answer began; may it be tried again?
    Retry(Box<RetryRequest>),
    /// A document arrived from the store or a peer.
    Document(Arc<ActiveDocument>),
    /// A request with a charge has ended.
    SettleCharge {
        /// The charge.
        charge: ChargeId,
        /// Output tokens that were generated.
        output_tokens: u64,
    },
    /// Something arrived from a peer.
    Peer(Box<Inbound>),
    /// The record of slots of one region was read.
    Slots(Box<SlotsRead>),
    /// The records of slots of all regions have been read once.
    SlotsLoaded,
    /// The live list was read.
    LiveList(Box<LiveListRead>),
    /// The store answered a call about a verdict.
    Verdict {
        /// The rollout.
        rollout: RolloutId,
        /// Number of the call.
        call: u32,
        /// The answer.
        answer: VerdictAnswer,
    },
    /// The instance is leaving.
    Leave,
}

/// A record of slots as read.
#[derive(Debug)]
pub struct SlotsRead {
    /// Region of the slots.
    pub region: RegionId,
    /// Revision of the record; 0 if there is none.
    pub revision: u64,
    /// The record.
    pub record: slot::OwnershipRecord,
    /// Time at which the read began; 0 if it is not known.
    pub began: Millis,
}

/// The live list as read.
#[derive(Debug)]
pub struct LiveListRead {
    /// The list.
    pub list: InstanceList,
    /// Time at which the read began.
    pub began: Millis,
}
