//! What requests say about the version that they went to.

use super::super::{
    event::{AttemptOutcome, Settlement},
    state::State,
};
use carobwheel_core::{
    evidence::{EvidenceChange, RequestTicket, RolloutTag, RouteTag, Sample, Side},
    retry::Failure,
    time::Millis,
};

/// A request that says something about a version of a rollout.
#[derive(Clone, Debug)]
pub(in crate::decide) struct Trial {
    pub(super) rollout: RolloutTag,
    pub(super) route: RouteTag,
    pub(super) side: Side,
    /// Present from the start of the request on.
    pub(super) ticket: Option<RequestTicket>,
    pub(super) started_at: Millis,
    pub(super) first_at: Option<Millis>,
    pub(super) is_reported: bool,
}

impl Trial {
    /// Notes the first token.
    pub(in crate::decide) fn first_token(&mut self, now: Millis) {
        self.first_at.get_or_insert(now);
    }

    /// The request goes to the new version.
    pub(in crate::decide) fn is_of_new_version(&self) -> bool {
        self.side == Side::New
    }

    /// What the request says so far, after `output_tokens`.
    fn sample(&self, output_tokens: u64, now: Millis) -> Sample {
        let gaps = output_tokens.saturating_sub(1);
        let between = self.first_at.filter(|_| gaps > 0);
        Sample {
            failed: false,
            first_token_ms: self.first_at.map(|at| at.since(self.started_at)),
            between_tokens_ms: between.map(|at| now.since(at) / gaps),
        }
    }
}

impl State {
    /// Counts what the first tokens of a long answer say about its version.
    pub(in crate::decide) fn judge_early(&mut self, ticket: u64, output_tokens: u64, now: Millis) {
        let open = self.open.get_mut(&ticket);
        let Some(trial) = open.and_then(|open| open.trial.as_mut()) else {
            return;
        };
        let (Some(ticket), false) = (trial.ticket, trial.is_reported) else {
            return;
        };
        trial.is_reported = true;
        let sample = trial.sample(output_tokens, now);
        self.rollouts.evidence.end(ticket, sample);
    }

    /// Counts what the end of a request says about the version that it went to.
    pub(in crate::decide) fn judge(&mut self, trial: &Trial, settlement: &Settlement, now: Millis) {
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

    /// Assesses the requests whose turn to be counted has come.
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
            self.raise(suspicion, now);
        }
    }
}

/// Whether the version failed; none if the end says nothing about it.
fn has_failed(outcome: AttemptOutcome) -> Option<bool> {
    match outcome {
        AttemptOutcome::Completed => Some(false),
        AttemptOutcome::Cancelled => None,
        AttemptOutcome::Failed(Failure::ConnectFailed | Failure::RefusedNotRun) => None,
        AttemptOutcome::Failed(_) => Some(true),
    }
}
