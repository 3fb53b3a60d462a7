//! Refusal of held requests, and waiting for the outcome of suspected ones.

use super::evidence::part_name;
use crate::{log::Event, node::Node, pipeline::RequestContext};
use carobwheel_core::crash::{CrashSubject, Gate};

/// Lower bound of the `Retry-After` of a held request, in milliseconds.
const MIN_HELD_RETRY_AFTER_MS: u64 = 500;
/// Upper bound of the `Retry-After` of a held request, in milliseconds. An answer at another
/// instance may release it long before the hold lapses.
const MAX_HELD_RETRY_AFTER_MS: u64 = 4_000;

/// Name of a kind of subject in the log.
pub(super) fn subject_name(subject: CrashSubject) -> &'static str {
    match subject {
        CrashSubject::PromptPart => "prompt_part",
        CrashSubject::Request => "request",
    }
}

/// Reason of the refusal of a held request.
pub fn held_reason(subject: CrashSubject) -> &'static str {
    match subject {
        CrashSubject::PromptPart => "a part of the prompt is held after engine crashes",
        CrashSubject::Request => "the request is held after crashes of upstreams",
    }
}

/// Reason of the refusal of a suspected request while another one like it is in flight.
pub fn suspected_reason(subject: CrashSubject) -> &'static str {
    match subject {
        CrashSubject::PromptPart => "a part of the prompt is suspected after engine crashes",
        CrashSubject::Request => "the request is suspected after crashes of upstreams",
    }
}

/// Decision on a request by the evidence on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The request may be sent.
    Send,
    /// Another request with the suspected subject is in flight.
    Wait(CrashSubject),
    /// The request is refused.
    Refuse {
        /// What is held.
        subject: CrashSubject,
        /// `Retry-After` of the refusal, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Node {
    /// Decides whether a request may be sent.
    pub fn hold_decision(&self, ctx: &RequestContext) -> HoldDecision {
        let (subject, gate) = self.gate(ctx);
        match gate {
            Gate::Open => HoldDecision::Send,
            Gate::Wait { .. } => HoldDecision::Wait(subject),
            Gate::Held { left_ms, .. } => HoldDecision::Refuse {
                subject,
                retry_after_ms: left_ms.clamp(MIN_HELD_RETRY_AFTER_MS, MAX_HELD_RETRY_AFTER_MS),
            },
        }
    }

    /// Logs and counts the refusal of a request.
    pub fn note_hold_refusal(&self, ctx: &RequestContext) {
        let (subject, gate) = self.gate(ctx);
        let (part, left_ms) = match gate {
            Gate::Open => return,
            Gate::Wait { part } => (part, 0),
            Gate::Held { part, left_ms } => (part, left_ms),
        };
        self.metrics.hold_refusals.add(1);
        self.log.event(Event::HoldApplied {
            request: &ctx.meta.request,
            part: &part_name(part),
            subject: subject_name(subject),
            is_held: left_ms > 0,
            left_ms,
        });
    }

    /// Whether a request under which an upstream crashed may be sent to another one.
    pub fn may_repeat_after_crash(&self, ctx: &RequestContext) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let fingerprint = ctx.fingerprint.value();
        state.crashes.may_repeat(&ctx.job.shared_parts(), now)
            && state.request_crashes.may_repeat(&[fingerprint], now)
    }

    /// The stricter of the decisions on the request's parts and on the request itself.
    fn gate(&self, ctx: &RequestContext) -> (CrashSubject, Gate) {
        let now = self.now();
        let state = self.state.borrow();
        let by_part = state.crashes.gate(&ctx.job.shared_parts(), now);
        if matches!(by_part, Gate::Held { .. }) || state.request_crashes.is_quiet() {
            return (CrashSubject::PromptPart, by_part);
        }
        let fingerprint = ctx.fingerprint.value();
        match state.request_crashes.gate(&[fingerprint], now) {
            Gate::Open => (CrashSubject::PromptPart, by_part),
            by_request => (CrashSubject::Request, by_request),
        }
    }
}
