//! Forwarding inside the region while this instance reaches none of a service's upstreams.

use super::{answer::Answer, attempts::Attempts, forward, refusal::Refusal, RequestContext};
use crate::node::Node;
use std::{
    ops::ControlFlow::{self, Break, Continue},
    rc::Rc,
    sync::Arc,
};

/// Maximum number of instances of the own region that one request is forwarded to.
const MAX_NEARBY_TRIES: usize = 3;
/// Remaining time that forwarding inside the region needs, in milliseconds.
const MIN_NEARBY_MS: u64 = 50;

/// Instances of the own region that have refused a request.
#[derive(Debug, Default)]
pub(super) struct Nearby {
    tried: Vec<Arc<str>>,
}

impl Nearby {
    /// Whether no instance has refused the request.
    pub(super) fn is_untried(&self) -> bool {
        self.tried.is_empty()
    }

    /// Forwards a request of a service that this instance does not reach, and tries another instance after a
    /// refusal. `None` if no instance has taken it; it has then certainly not run.
    pub(super) async fn forward(
        &mut self,
        node: &Rc<Node>,
        ctx: &RequestContext,
    ) -> Option<Result<Answer, Refusal>> {
        while self.tried.len() < MAX_NEARBY_TRIES && ctx.left_ms(node) > MIN_NEARBY_MS {
            let target = forward::nearby_target(node, ctx, &self.tried)?;
            let guard = node.count_nearby(&target.member);
            node.metrics.forwarded_cut_off.add(1);
            let outcome = forward::forward(node, ctx, &target, None).await;
            drop(guard);
            if !outcome.as_ref().is_err_and(Refusal::is_not_run) {
                return Some(outcome);
            }
            self.tried.push(target.member);
        }
        None
    }

    /// Forwards a request that has failed here, if the reason is that this instance does not reach the service
    /// and the request may run (again). Breaks with the final outcome; otherwise `outcome` stands.
    pub(super) async fn forward_failed(
        &mut self,
        node: &Rc<Node>,
        ctx: &RequestContext,
        attempts: &Attempts,
        outcome: Result<Answer, Refusal>,
    ) -> ControlFlow<Result<Answer, Refusal>, Result<Answer, Refusal>> {
        let has_run = match &outcome {
            Ok(answer) if !answer.status().is_server_error() => return Continue(outcome),
            Ok(_) => true,
            Err(refusal) => attempts.runs > 0 || !refusal.is_not_run(),
        };
        if !node.is_cut_off(&ctx.meta.service) || node.is_refusing_sends() {
            return Continue(outcome);
        }
        let mut ctx = ctx.clone();
        if has_run {
            let runs_left = ctx.meta.max_attempts.saturating_sub(attempts.runs.max(1));
            let may_repeat = !attempts.has_lost_engine || node.may_repeat_after_crash(&ctx);
            if !ctx.meta.kind.is_repeatable() || runs_left == 0 || !may_repeat {
                return Continue(outcome);
            }
            ctx.meta.max_attempts = runs_left;
        }
        if forward::nearby_target(node, &ctx, &self.tried).is_none() {
            return Continue(outcome);
        }
        let is_repeat = has_run || attempts.sends > 0;
        if is_repeat && !node.try_repeat(&ctx.meta.service) {
            return Continue(outcome);
        }
        match self.forward(node, &ctx).await {
            None => Continue(outcome),
            Some(Ok(answer)) if !answer.status().is_server_error() => Break(Ok(answer)),
            // The first failure says as much as a second one, after which no run may be left.
            Some(_) if has_run => Break(outcome),
            Some(failed) => Break(failed),
        }
    }
}
