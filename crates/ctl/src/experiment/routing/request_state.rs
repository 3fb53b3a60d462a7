//! State of one request on its way through the system.

use carobwheel_core::id::{RequestId, UpstreamId};
use carobwheel_core::retry::ResumePoint;
use carobwheel_core::route::{AttemptId, Hops};
use carobwheel_standin::batch::JobId;

/// Attempts that a job's name has room for.
const ATTEMPTS: u64 = 16;

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not here yet, or waiting for its retry.
    Idle,
    /// In a queue of the gateway.
    Queued,
    /// On an engine.
    Flying,
    /// Answered in full.
    Done,
    /// Refused, or without a first token at its deadline.
    Refused,
    /// Cut, and not resumed.
    Failed,
}

/// A request on its way.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) id: RequestId,
    pub(super) stage: Stage,
    pub(super) attempts: u32,
    pub(super) tried: Vec<UpstreamId>,
    pub(super) engine: Option<usize>,
    pub(super) flight: Option<AttemptId>,
    pub(super) last_token_at_us: Option<u64>,
    pub(super) resume: ResumePoint,
    pub(super) is_away: bool,
    pub(super) hops: Hops,
}

impl Live {
    pub(super) fn new(id: RequestId, hops: Hops, max_output_tokens: u64) -> Self {
        Self {
            id,
            stage: Stage::Idle,
            attempts: 0,
            tried: Vec::new(),
            engine: None,
            flight: None,
            last_token_at_us: None,
            resume: ResumePoint::new(true, max_output_tokens),
            is_away: false,
            hops,
        }
    }

    pub(super) fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Done | Stage::Refused | Stage::Failed)
    }
}

/// The job of a request's attempt.
pub(super) fn job_of(request: usize, attempt: u32) -> JobId {
    JobId(request as u64 * ATTEMPTS + u64::from(attempt))
}

/// The request and attempt of a job.
pub(super) fn request_of(job: JobId) -> (usize, u32) {
    ((job.0 / ATTEMPTS) as usize, (job.0 % ATTEMPTS) as u32)
}
