//! Progress, settlement and retries of placements.

use super::{
    event::{AttemptOutcome, RetryRequest, Settlement},
    state::State,
};
use carobwheel_core::{
    retry::{Decision, Failure, GiveUpReason},
    time::Millis,
};

impl State {
    pub(super) fn on_first_byte(&mut self, ticket: u64, now: Millis) {
        if let (Some(configured), Some(active)) =
            (&mut self.configured, self.active.get_mut(&ticket))
        {
            configured.router.first_token(active.attempt, now);
            if let Some(trial) = &mut active.trial {
                trial.first_token(now);
            }
        }
    }

    pub(super) fn on_progress(&mut self, ticket: u64, output_tokens: u64, now: Millis) {
        if let (Some(configured), Some(active)) = (&mut self.configured, self.active.get(&ticket)) {
            configured
                .router
                .progress(active.attempt, output_tokens, now);
        }
        self.record_early_sample(ticket, output_tokens, now);
    }

    /// Settles a placement and places queued requests in the room that it frees.
    pub(super) fn settle(&mut self, settlement: &Settlement, now: Millis) {
        let active = self
            .active
            .remove(&settlement.ticket)
            .expect("each placement is settled exactly once");
        if active.waits_for_output {
            self.record_attempt_end(settlement, &active, now);
        }
        let Some(configured) = &mut self.configured else {
            return;
        };
        let router = &mut configured.router;
        match settlement.outcome {
            AttemptOutcome::Completed => {
                router.progress(active.attempt, settlement.output_tokens, now);
                router.finish(active.attempt);
            }
            AttemptOutcome::Failed(_) | AttemptOutcome::Cancelled => router.cancel(active.attempt),
        }
        let is_error = match settlement.outcome {
            AttemptOutcome::Completed => Some(false),
            AttemptOutcome::Failed(failure) => failure.is_fault_of_upstream().then_some(true),
            AttemptOutcome::Cancelled => None,
        };
        if let Some(is_error) = is_error {
            let change = configured.outliers.record(&active.upstream, is_error, now);
            configured.apply_ejection_changes(change, now);
        }
        if let AttemptOutcome::Failed(failure) = settlement.outcome {
            if settlement.is_broken || failure == Failure::ConnectRefused {
                self.record_possible_restart(&active, failure, now);
            }
        }
        if let Some(trial) = &active.trial {
            self.record_trial_outcome(trial, settlement, now);
        }
        self.place_waiting(now);
    }

    pub(super) fn on_retry_request(&mut self, request: RetryRequest, now: Millis) {
        let may_repeat = self.may_repeat(&request, now);
        let decision = match self.configured.as_mut().filter(|_| may_repeat) {
            Some(configured) => configured.retrier.decide(
                request.idempotent,
                request.failure,
                request.attempts,
                request.deadline.since(now),
                &mut self.rng,
            ),
            None => Decision::GiveUp(GiveUpReason::MayHaveRun),
        };
        // Sending fails only if the caller has disconnected.
        let _ = request.reply.send(decision);
    }
}
