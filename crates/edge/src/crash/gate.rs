//! Refusal of requests with held parts, and waiting for the outcome of suspected ones.

use super::evidence::part_name;
use crate::{log::Event, node::Node, place::InferenceJob};
use carobwheel_core::crash::Gate;

/// Reason of the refusal of a request with a held part.
pub const HOLD_REFUSAL: &str = "a part of the prompt is held after engine crashes";
/// Reason of the refusal of a request with a suspected part that another request is testing.
pub const SUSPECT_REFUSAL: &str = "a part of the prompt is suspected after engine crashes";
/// Lower bound of the `Retry-After` of a request with a held part, in milliseconds.
const MIN_HELD_RETRY_AFTER_MS: u64 = 500;
/// Upper bound of the `Retry-After` of a request with a held part, in milliseconds. An answer at
/// another instance may release the part long before the hold lapses.
const MAX_HELD_RETRY_AFTER_MS: u64 = 4_000;

/// Decision on a request by the evidence on its shared parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The request may be sent.
    Send,
    /// Another request with a suspected part is in flight.
    Wait,
    /// The request is refused.
    Refuse {
        /// `Retry-After` of the refusal, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Node {
    /// Decides whether a request may be sent.
    pub fn hold_decision(&self, job: &InferenceJob) -> HoldDecision {
        match self.gate(job) {
            Gate::Open => HoldDecision::Send,
            Gate::Wait { .. } => HoldDecision::Wait,
            Gate::Held { left_ms, .. } => HoldDecision::Refuse {
                retry_after_ms: left_ms.clamp(MIN_HELD_RETRY_AFTER_MS, MAX_HELD_RETRY_AFTER_MS),
            },
        }
    }

    /// Logs and counts the refusal of a request because of one of its parts.
    pub fn note_hold_refusal(&self, request: &str, job: &InferenceJob) {
        let (part, left_ms) = match self.gate(job) {
            Gate::Open => return,
            Gate::Wait { part } => (part, 0),
            Gate::Held { part, left_ms } => (part, left_ms),
        };
        self.metrics.hold_refusals.add(1);
        self.log.event(Event::HoldApplied {
            request,
            part: &part_name(part),
            is_held: left_ms > 0,
            left_ms,
        });
    }

    /// Whether a request under which an engine crashed may be sent to another engine.
    pub fn may_repeat_after_crash(&self, job: &InferenceJob) -> bool {
        let now = self.now();
        let parts = job.shared_parts();
        self.state.borrow().crashes.may_repeat(&parts, now)
    }

    fn gate(&self, job: &InferenceJob) -> Gate {
        let state = self.state.borrow();
        state.crashes.gate(&job.shared_parts(), self.now())
    }
}
