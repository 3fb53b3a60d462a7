//! State of a request in the simulation.

use carobwheel_core::id::{RequestId, UpstreamId};
use carobwheel_core::retry::ResumePoint;
use carobwheel_core::route::{AttemptId, Hops};
use carobwheel_standin::batch::BatchRequestId;

/// Number of attempts of a request that a job identifier can distinguish.
const MAX_ATTEMPTS: u64 = 16;

/// Stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not yet arrived, or waiting for its retry.
    Idle,
    /// In an admission queue of the gateway.
    Queued,
    /// Sent to an engine.
    InFlight,
    /// Answered completely.
    Done,
    /// Refused, or without a first token at its deadline.
    Refused,
    /// Interrupted and not resumed.
    Failed,
}

/// State of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) id: RequestId,
    pub(super) stage: Stage,
    pub(super) attempts: u32,
    /// Upstreams on which an attempt has failed.
    pub(super) tried: Vec<UpstreamId>,
    pub(super) engine: Option<usize>,
    pub(super) attempt_id: Option<AttemptId>,
    pub(super) last_token_at_us: Option<u64>,
    pub(super) resume_point: ResumePoint,
    /// Whether the last attempt went to a region other than the instance's.
    pub(super) is_in_other_region: bool,
    pub(super) hops: Hops,
}

impl RequestState {
    pub(super) fn new(id: RequestId, hops: Hops, max_output_tokens: u64) -> Self {
        Self {
            id,
            stage: Stage::Idle,
            attempts: 0,
            tried: Vec::new(),
            engine: None,
            attempt_id: None,
            last_token_at_us: None,
            resume_point: ResumePoint::new(true, max_output_tokens),
            is_in_other_region: false,
            hops,
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::Refused | Stage::Failed)
    }
}

/// Returns the job identifier of an attempt.
pub(super) fn job_id(request: usize, attempt: u32) -> BatchRequestId {
    BatchRequestId(request as u64 * MAX_ATTEMPTS + u64::from(attempt))
}

/// Returns the request and the attempt of a job.
pub(super) fn request_and_attempt(job: BatchRequestId) -> (usize, u32) {
    (
        (job.0 / MAX_ATTEMPTS) as usize,
        (job.0 % MAX_ATTEMPTS) as u32,
    )
}
