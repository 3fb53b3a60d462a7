//! Evidence from requests on the version that served them.

use super::super::{
    event::{AttemptOutcome, Settlement},
    state::State,
};
use carobwheel_core::{
    evidence::{EvidenceChange, RequestTicket, RolloutTag, RouteTag, Sample, Side},
    time::Millis,
};

/// Request whose outcome counts as evidence on a version of a rollout.
#[derive(Clone, Debug)]
pub(in crate::decide) struct TrialRequest {
    pub(super) rollout: RolloutTag,
    pub(super) route: RouteTag,
    pub(super) side: Side,
    /// Evidence ticket; set when the request starts.
    pub(super) ticket: Option<RequestTicket>,
    pub(super) started_at: Millis,
    pub(super) first_token_at: Option<Millis>,
    pub(super) is_reported: bool,
}

impl TrialRequest {
    /// Records the time of the first token.
    pub(in crate::decide) fn first_token(&mut self, now: Millis) {
        self.first_token_at.get_or_insert(now);
    }

    /// Whether the request goes to the new version.
    pub(in crate::decide) fn is_of_new_version(&self) -> bool {
        self.side == Side::New
    }

    /// Returns the latencies measured so far, after `output_tokens`.
    fn sample(&self, output_tokens: u64, now: Millis) -> Sample {
        let gaps = output_tokens.saturating_sub(1);
        let between = self.first_token_at.filter(|_| gaps > 0);
        Sample {
            failed: false,
            first_token_ms: self.first_token_at.map(|at| at.since(self.started_at)),
            between_tokens_ms: between.map(|at| now.since(at) / gaps),
        }
    }
}

impl State {
    /// Records the latencies of a response's first tokens, without waiting for its end.
    pub(in crate::decide) fn record_early_sample(
        &mut self,
        ticket: u64,
        output_tokens: u64,
        now: Millis,
    ) {
        let active = self.active.get_mut(&ticket);
        let Some(trial) = active.and_then(|active| active.trial.as_mut()) else {
            return;
        };
        let (Some(ticket), false) = (trial.ticket, trial.is_reported) else {
            return;
        };
        trial.is_reported = true;
        let sample = trial.sample(output_tokens, now);
        self.rollouts.evidence.end(ticket, sample);
    }

    /// Records the outcome of a request as evidence on its version.
    pub(in crate::decide) fn record_trial_outcome(
        &mut self,
        trial: &TrialRequest,
        settlement: &Settlement,
        now: Millis,
    ) {
        let Some(ticket) = trial.ticket else {
            return;
        };
        let evidence = &mut self.rollouts.evidence;
        let sample = match has_failed(settlement.outcome) {
            Some(false) => trial.sample(settlement.output_tokens, now),
            Some(true) => Sample {
                failed: true,
                ..Sample::default()
            },
            None => {
                evidence.abandon(ticket);
                return;
            }
        };
        if !trial.is_reported {
            evidence.end(ticket, sample);
        } else if sample.failed {
            evidence.fail_late(trial.rollout, trial.route, trial.side);
        }
        self.count_evidence(now);
    }

    /// Assesses the requests that are due to be counted.
    pub(super) fn count_evidence(&mut self, now: Millis) {
        for change in self.rollouts.evidence.count(now) {
            self.assess(&change, now);
        }
    }

    pub(super) fn assess(&mut self, change: &EvidenceChange, now: Millis) {
        let raised = self
            .rollouts
            .by_tag(change.rollout)
            .and_then(|(_, running)| running.state.add_evidence(change, now));
        if let Some(suspicion) = raised {
            self.raise_suspicion(suspicion, now);
        }
    }
}

/// Whether the version failed; none if the outcome is no evidence on the version.
fn has_failed(outcome: AttemptOutcome) -> Option<bool> {
    match outcome {
        AttemptOutcome::Completed => Some(false),
        AttemptOutcome::Cancelled => None,
        AttemptOutcome::Failed(failure) if failure.is_not_run() => None,
        AttemptOutcome::Failed(_) => Some(true),
    }
}
