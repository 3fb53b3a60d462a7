//! What the instance does from time to time.

use super::Node;
use crate::{log::Event, rollout::Verdict, store::Recorded};
use std::sync::Arc;

/// Time that an instance leaves to those before it to record a verdict, in milliseconds.
const VERDICT_TURN_MS: u64 = 300;

impl Node {
    /// Looks at everything that changes with time alone.
    pub fn tick(&self) {
        let now = self.now();
        let (upstreams, members) = {
            let mut state = self.state.borrow_mut();
            (state.upstreams.sweep(now), state.members.sweep(now))
        };
        for id in &upstreams {
            self.pools.forget(id);
            self.log.event(Event::UpstreamForgotten { upstream: id });
        }
        for name in &members {
            self.links.forget(name);
            self.log.event(Event::MemberForgotten { member: name });
        }
        self.step_trials();
    }

    fn step_trials(&self) {
        let now = self.now();
        let turn = self.verdict_turn();
        let mut state = self.state.borrow_mut();
        for trial in state.trials.values_mut() {
            let was_suspect = trial.is_suspect();
            trial.step(now);
            let (service, target) = (
                Arc::clone(&trial.order.service),
                Arc::clone(&trial.order.target),
            );
            if trial.is_suspect() && !was_suspect {
                let ended = trial.evidence.new_ended();
                let (service, target) = (&service, &target);
                self.log.event(Event::TrialSuspected {
                    service,
                    target,
                    ended,
                });
            }
            let due = trial.due_verdict(now);
            let wanted = match due {
                Some(verdict) => Some(verdict),
                None if trial.verdict == Verdict::Active => Some(Verdict::Active),
                None => None,
            };
            let Some(verdict) = wanted else {
                continue;
            };
            if trial.try_record(verdict, VERDICT_TURN_MS * turn, now) {
                let recorded = Recorded {
                    service: Arc::clone(&service),
                    target,
                    verdict,
                };
                if self.record.try_send(recorded).is_err() {
                    let reason = "too many verdicts are waiting";
                    self.log.event(Event::VerdictNotRecorded {
                        service: &service,
                        reason,
                    });
                }
            }
        }
    }

    /// How many ready instances come before this one in recording verdicts.
    fn verdict_turn(&self) -> u64 {
        let now = self.now();
        let state = self.state.borrow();
        let up = state
            .members
            .by_name
            .values()
            .filter(|member| member.is_up(now));
        up.filter(|member| member.entry.name < self.name).count() as u64
    }
}
