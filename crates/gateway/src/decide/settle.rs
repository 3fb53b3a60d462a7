//! The life of placements after their start.

use super::{
    event::{AttemptOutcome, RetryRequest, Settlement},
    state::State,
};
use carobwheel_core::{
    retry::{Decision, GiveUpReason},
    time::Millis,
};

impl State {
    pub(super) fn first_byte(&mut self, ticket: u64, now: Millis) {
        if let (Some(configured), Some(open)) = (&mut self.configured, self.open.get_mut(&ticket)) {
            configured.router.first_token(open.flight, now);
            if let Some(trial) = &mut open.trial {
                trial.first_token(now);
            }
        }
    }

    pub(super) fn progress(&mut self, ticket: u64, output_tokens: u64, now: Millis) {
        if let (Some(configured), Some(open)) = (&mut self.configured, self.open.get(&ticket)) {
            configured.router.progress(open.flight, output_tokens, now);
        }
        self.judge_early(ticket, output_tokens, now);
    }

    /// Ends a placement and gives its room to those that wait.
    pub(super) fn settle(&mut self, settlement: &Settlement, now: Millis) {
        let open = self
            .open
            .remove(&settlement.ticket)
            .expect("each placement is settled once");
        let Some(configured) = &mut self.configured else {
            return;
        };
        let router = &mut configured.router;
        match settlement.outcome {
            AttemptOutcome::Completed => {
                router.progress(open.flight, settlement.output_tokens, now);
                router.finish(open.flight);
            }
            AttemptOutcome::Failed(_) | AttemptOutcome::Cancelled => router.cancel(open.flight),
        }
        let is_error = match settlement.outcome {
            AttemptOutcome::Completed => Some(false),
            AttemptOutcome::Failed(failure) => failure.is_fault_of_upstream().then_some(true),
            AttemptOutcome::Cancelled => None,
        };
        if let Some(is_error) = is_error {
            let change = configured.outliers.record(&open.upstream, is_error, now);
            configured.heed(change, now);
        }
        if let Some(trial) = &open.trial {
            self.judge(trial, settlement, now);
        }
        self.place_waiting(now);
    }

    pub(super) fn on_retry_request(&mut self, request: RetryRequest, now: Millis) {
        let decision = match &mut self.configured {
            Some(configured) => configured.retrier.decide(
                request.idempotent,
                request.failure,
                request.attempts,
                request.deadline.since(now),
                &mut self.rng,
            ),
            None => Decision::GiveUp(GiveUpReason::Budget),
        };
        // The caller may have gone away.
        let _ = request.reply.send(decision);
    }
}
