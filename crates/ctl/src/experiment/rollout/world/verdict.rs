//! Verdicts that the instances propose, and the store that holds one.

use super::{schedule::Event, World, DEADLINE_MS, OUTAGE_END_MS};
use carobwheel_core::{
    rollout::{VerdictAnswer, VerdictEffect},
    time::Millis,
};
use rand::Rng as _;

/// Period over which the instances spread their first calls to the store, in milliseconds.
const VERDICT_SPREAD_MS: u64 = 2_000;

impl World<'_> {
    pub(super) fn tick(&mut self, index: usize) {
        self.schedule_after(1_000, Event::Tick(index));
        self.propose(index);
    }

    pub(super) fn propose(&mut self, index: usize) {
        let unix_now = self.unix_now();
        let instance = &mut self.instances[index];
        if let Some(verdict) = instance.state.proposal(unix_now) {
            let now = Millis(self.now_ms);
            let effects = instance.writer.propose(verdict, VERDICT_SPREAD_MS, now);
            self.apply_verdict_effects(index, &effects);
        }
    }

    pub(super) fn apply_verdict_effects(&mut self, index: usize, effects: &[VerdictEffect]) {
        for effect in effects {
            match effect {
                VerdictEffect::Adopt(verdict) => {
                    let instance = &mut self.instances[index];
                    instance.state.adopt(*verdict);
                    let tag = instance.state.tag();
                    instance.evidence.record_verdict(tag, *verdict);
                    let after_ms = self.now_ms as i64 - DEADLINE_MS as i64;
                    self.result.verdict_after_deadline_ms = after_ms;
                }
                VerdictEffect::Create { not_before, .. }
                | VerdictEffect::Read { not_before, .. } => {
                    let wait_ms = not_before.since(Millis(self.now_ms));
                    self.schedule_after(wait_ms + 40, Event::StoreCall(index, *effect));
                }
            }
        }
    }

    pub(super) fn call_store(&mut self, index: usize, effect: VerdictEffect) {
        let (call, proposed) = match effect {
            VerdictEffect::Create { call, verdict, .. } => (call, Some(verdict)),
            VerdictEffect::Read { call, .. } => (call, None),
            VerdictEffect::Adopt(_) => return,
        };
        if !self.instances[index].writer.is_wanted(call) {
            return;
        }
        let is_down = self.case.disturbances.is_store_down && self.now_ms < OUTAGE_END_MS;
        let answer = if is_down || self.is_region_partitioned(self.instances[index].region) {
            VerdictAnswer::NotSent
        } else if let Some(verdict) = self.stored_verdict {
            VerdictAnswer::Found(verdict)
        } else if let Some(verdict) = proposed {
            self.stored_verdict = Some(verdict);
            VerdictAnswer::Written
        } else {
            VerdictAnswer::Absent
        };
        // One answer in ten is lost after the call has taken effect.
        let is_lost = self.rng.random_bool(0.1);
        let answer = if is_lost { VerdictAnswer::Lost } else { answer };
        self.schedule_after(40, Event::StoreAnswer(index, call, answer));
    }
}
