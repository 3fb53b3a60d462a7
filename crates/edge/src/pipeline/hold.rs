//! Checks of a request against held and suspected prompt parts.

use super::{refusal::Refusal, RequestContext};
use crate::{
    crash::{HoldDecision, HOLD_REFUSAL, SUSPECT_REFUSAL},
    node::Node,
};
use carobwheel_core::time::Millis;
use std::time::Duration;

/// Pause before a suspected part is checked again, in milliseconds.
const RECHECK_PAUSE_MS: u64 = 40;
/// Maximum wait for the outcome of another request with a suspected part, in milliseconds.
const MAX_WAIT_MS: u64 = 300;
/// `Retry-After` of a request that has waited for that outcome in vain, in milliseconds.
const SUSPECT_RETRY_AFTER_MS: u64 = 700;

/// Refuses a request with a held part.
pub(super) fn check(node: &Node, ctx: &RequestContext) -> Result<(), Refusal> {
    match node.hold_decision(&ctx.job) {
        HoldDecision::Send | HoldDecision::Wait => Ok(()),
        HoldDecision::Refuse { retry_after_ms } => {
            node.note_hold_refusal(&ctx.meta.request, &ctx.job);
            Err(Refusal::not_run(HOLD_REFUSAL, retry_after_ms))
        }
    }
}

/// Wait of one request for the outcome of other requests with a suspected part.
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
        if node.hold_decision(&ctx.job) != HoldDecision::Wait {
            return Ok(true);
        }
        let now = node.now();
        let until = *self
            .until
            .get_or_insert_with(|| now.plus(MAX_WAIT_MS.min(ctx.left_ms(node))));
        if now >= until {
            node.note_hold_refusal(&ctx.meta.request, &ctx.job);
            return Err(Refusal::not_run(SUSPECT_REFUSAL, SUSPECT_RETRY_AFTER_MS));
        }
        tokio::time::sleep(Duration::from_millis(RECHECK_PAUSE_MS)).await;
        Ok(false)
    }
}
