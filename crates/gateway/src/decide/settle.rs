//! The life of placements after their start.

use super::{
    event::{Ending, RetryQuestion, Settlement},
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
        match settlement.ending {
            Ending::Whole => {
                router.progress(open.flight, settlement.output_tokens, now);
                router.finish(open.flight);
            }
            Ending::Failed(_) | Ending::Cancelled => router.cancel(open.flight),
        }
        let is_error = match settlement.ending {
            Ending::Whole => Some(false),
            Ending::Failed(failure) => failure.is_fault_of_upstream().then_some(true),
            Ending::Cancelled => None,
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

    pub(super) fn may_retry(&mut self, question: RetryQuestion, now: Millis) {
        let decision = match &mut self.configured {
            Some(configured) => configured.retrier.decide(
                question.idempotent,
                question.failure,
                question.attempts,
                question.deadline.since(now),
                &mut self.rng,
            ),
            None => Decision::GiveUp(GiveUpReason::Budget),
        };
        // The caller may have gone away.
        let _ = question.reply.send(decision);
    }
}
