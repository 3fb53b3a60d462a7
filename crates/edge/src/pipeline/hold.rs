//! Checks of a request against what is held and suspected after crashes.

use super::{refusal::Refusal, RequestContext};
use crate::{
    crash::{held_reason, suspected_reason, HoldDecision},
    node::Node,
};
use carobwheel_core::time::Millis;
use std::time::Duration;

/// Pause before a suspected request is checked again, in milliseconds.
const RECHECK_PAUSE_MS: u64 = 40;
/// Maximum wait for the outcome of another request with the suspected subject, in milliseconds.
const MAX_WAIT_MS: u64 = 300;
/// `Retry-After` of a request that has waited for that outcome in vain, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 700;

/// Refuses a held request.
pub(super) fn check(node: &Node, ctx: &RequestContext) -> Result<(), Refusal> {
    match node.hold_decision(ctx) {
        HoldDecision::Send | HoldDecision::Wait(_) => Ok(()),
        HoldDecision::Refuse {
            subject,
            retry_after_ms,
        } => {
            node.note_hold_refusal(ctx);
            Err(Refusal::not_run(held_reason(subject), retry_after_ms))
        }
    }
}

/// Wait of one request for the outcome of others with the suspected subject.
#[derive(Debug, Default)]
pub(super) struct HoldWait {
    until: Option<Millis>,
}

impl HoldWait {
    /// Checks a placed request. Returns false after a pause, during which the placement may have
    /// become outdated.
    pub(super) async fn may_send(
        &mut self,
        node: &Node,
        ctx: &RequestContext,
    ) -> Result<bool, Refusal> {
        check(node, ctx)?;
        let HoldDecision::Wait(subject) = node.hold_decision(ctx) else {
            return Ok(true);
        };
        let now = node.now();
        let until = *self
            .until
            .get_or_insert_with(|| now.plus(MAX_WAIT_MS.min(ctx.left_ms(node))));
        if now >= until {
            node.note_hold_refusal(ctx);
            let reason = suspected_reason(subject);
            return Err(Refusal::not_run(reason, SUSPECT_RETRY_AFTER_MS));
        }
        tokio::time::sleep(Duration::from_millis(RECHECK_PAUSE_MS)).await;
        Ok(false)
    }
}
