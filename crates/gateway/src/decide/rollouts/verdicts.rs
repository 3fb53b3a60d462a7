//! Verdicts on rollouts: proposing, writing once and adopting them.

use super::{super::state::State, VERDICT_SPREAD_MS};
use crate::platform::Command;
use carobwheel_core::{
    id::RolloutId,
    rollout::{VerdictAnswer, VerdictEffect, VerdictWriter},
    time::Millis,
};

impl State {
    pub(super) fn propose_verdicts(&mut self, now: Millis) {
        let unix_now = self.unix_now();
        let mut proposed = Vec::new();
        for (id, running) in &mut self.rollouts.running {
            if let Some(verdict) = running.state.proposal(unix_now) {
                let effects = running.writer.propose(verdict, VERDICT_SPREAD_MS, now);
                proposed.push((id.clone(), effects));
            }
        }
        for (id, effects) in proposed {
            self.apply_verdict_effects(&id, effects);
        }
    }

    pub(super) fn apply_verdict_effects(&mut self, id: &RolloutId, effects: Vec<VerdictEffect>) {
        let Some(running) = self.rollouts.running.get_mut(id) else {
            return;
        };
        for effect in effects {
            match effect {
                VerdictEffect::Adopt(verdict) => {
                    if running.state.verdict() != Some(verdict) {
                        log::info!(rollout = id.as_str(); "verdict: {verdict:?}");
                    }
                    running.state.adopt(verdict);
                    let tag = running.state.tag();
                    self.rollouts.evidence.record_verdict(tag, verdict);
                }
                VerdictEffect::Create { .. } | VerdictEffect::Read { .. } => {
                    running.pending_calls.push(effect);
                }
            }
        }
    }

    pub(super) fn send_due_calls(&mut self, now: Millis) {
        let mut commands = Vec::new();
        for (id, running) in &mut self.rollouts.running {
            let writer = &running.writer;
            running.pending_calls.retain(|effect| {
                let Some((command, not_before)) = call_of(id, *effect, writer) else {
                    return false;
                };
                if not_before > now {
                    return true;
                }
                commands.push(command);
                false
            });
        }
        for command in commands {
            self.outputs.command(command);
        }
    }

    /// Handles the store's answer to a verdict call.
    pub(in crate::decide) fn on_verdict(
        &mut self,
        id: &RolloutId,
        call: u32,
        answer: VerdictAnswer,
        now: Millis,
    ) {
        let Some(running) = self.rollouts.running.get_mut(id) else {
            return;
        };
        let effects = running.writer.step(call, answer, now);
        self.apply_verdict_effects(id, effects);
    }
}

/// Returns the store command for an effect and its earliest time; none if it is obsolete.
fn call_of(
    id: &RolloutId,
    effect: VerdictEffect,
    writer: &VerdictWriter,
) -> Option<(Command, Millis)> {
    let rollout = id.clone();
    match effect {
        VerdictEffect::Create {
            call,
            verdict,
            not_before,
        } => {
            let command = Command::WriteVerdict {
                rollout,
                call,
                verdict,
            };
            writer.is_wanted(call).then_some((command, not_before))
        }
        VerdictEffect::Read { call, not_before } => {
            let command = Command::ReadVerdict { rollout, call };
            writer.is_wanted(call).then_some((command, not_before))
        }
        VerdictEffect::Adopt(_) => None,
    }
}
