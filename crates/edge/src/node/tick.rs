//! Periodic work of the instance.

use super::{apply::OUTAGE_GRACE_MS, Node, State};
use crate::{
    log::Event,
    member::RemovedMember,
    rollout::{OtherVersions, RolloutOrder, TrialConditions, Verdict},
    store::VerdictRecord,
};
use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Delay per preceding instance before an instance records a verdict itself, in milliseconds.
const VERDICT_STAGGER_MS: u64 = 300;

impl Node {
    /// Removes expired upstreams and members, updates what is watched and advances rollouts.
    pub fn tick(&self) {
        let now = self.now();
        let due_entries = self.state.borrow_mut().members.due_entries(now);
        for entry in due_entries {
            self.apply_member(entry);
        }
        let (upstreams, members) = {
            let mut state = self.state.borrow_mut();
            let members = state
                .members
                .sweep(now, |name| self.links.has_connection(name));
            for upstream in state.upstreams.by_id.values_mut() {
                for RemovedMember { name, .. } in &members {
                    upstream.limit.forget_peer(name);
                    upstream.brittle.forget_peer(name);
                }
            }
            (state.upstreams.sweep(now), members)
        };
        for id in &upstreams {
            self.pools.forget(id);
            self.log.event(Event::UpstreamForgotten { upstream: id });
        }
        for RemovedMember { name, unheard_ms } in members {
            self.links.forget(&name);
            self.log.event(Event::MemberForgotten {
                member: &name,
                unheard_ms,
            });
        }
        self.update_watch();
        self.publish_cut_off();
        self.update_links();
        self.advance_trials();
        self.expire_crashes();
        self.tick_usage();
        self.tick_scaling();
    }

    /// Advances all rollouts, and queues the verdicts that this instance has to record.
    fn advance_trials(&self) {
        let now = self.now();
        let position = self.verdict_position();
        let mut state = self.state.borrow_mut();
        let conditions = state.trial_conditions(self, now);
        for trial in state.trials.values_mut() {
            let (was_suspect, was_shifting) = (trial.is_suspect(), trial.is_shifting());
            if let Some(conditions) = conditions.get(&trial.order.service) {
                trial.set_conditions(*conditions, now);
            }
            trial.advance(now);
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
            if trial.is_shifting() && !was_shifting {
                self.log.event(Event::TrialShifted {
                    service: &service,
                    target: &target,
                    evidence: trial.evidence.new_totals(),
                });
            }
            let due = trial.due_verdict(now);
            let wanted = match due {
                Some(verdict) => Some(verdict),
                None if trial.verdict == Verdict::Active => Some(Verdict::Active),
                None => trial.lost_verdict(),
            };
            let Some(verdict) = wanted else {
                continue;
            };
            if trial.try_record(verdict, VERDICT_STAGGER_MS * position, now) {
                if verdict == Verdict::Reverted && !trial.is_suspect() {
                    self.log.event(Event::TrialUnproven {
                        service: &service,
                        target: &target,
                        evidence: trial.evidence.new_totals(),
                    });
                }
                let recorded = VerdictRecord {
                    service: Arc::clone(&service),
                    target,
                    verdict,
                };
                if self.record.try_send(recorded).is_err() {
                    let reason = "the verdict queue is full";
                    self.log.event(Event::VerdictNotRecorded {
                        service: &service,
                        reason,
                    });
                }
            }
        }
    }

    /// Number of ready instances that precede this one in recording verdicts.
    fn verdict_position(&self) -> u64 {
        let now = self.now();
        let state = self.state.borrow();
        let reachable = state
            .members
            .by_name
            .values()
            .filter(|member| state.members.is_up(member, now));
        reachable
            .filter(|member| member.entry.name < self.name)
            .count() as u64
    }
}

impl State {
    /// Conditions of the trials in progress, by service.
    fn trial_conditions(&self, node: &Node, now: Millis) -> HashMap<Arc<str>, TrialConditions> {
        let in_progress = self.trials.values();
        let in_progress = in_progress.filter(|trial| trial.verdict == Verdict::Active);
        let members = self.members.by_name.values();
        let others = members.filter(|member| self.members.is_up(member, now));
        let instances = 1 + others.count();
        let conditions = in_progress.map(|trial| {
            let order = &trial.order;
            let has_upstream = self.upstreams.by_id.values().any(|upstream| {
                upstream.entry.service == order.service
                    && upstream.entry.version == order.target
                    && *upstream.region == *node.region
                    && upstream.accepts_requests(false, now)
                    && !upstream.cold.is_cold(now)
                    && !self.evacuated.contains(&upstream.entry.data_centre)
            });
            let conditions = TrialConditions {
                extra_requests: node.settings.bounds.trial_extra,
                instances,
                has_upstream,
                others: self.other_versions(order, now),
            };
            (Arc::clone(&order.service), conditions)
        });
        conditions.collect()
    }

    /// Whether upstreams of other versions than the ordered one are registered.
    fn other_versions(&self, order: &RolloutOrder, now: Millis) -> OtherVersions {
        let is_after_outage = self
            .store_back_at
            .is_some_and(|at| now.since(at) < OUTAGE_GRACE_MS);
        let of_service = self.upstreams.by_id.values();
        let mut of_service = of_service.filter(|upstream| upstream.entry.service == order.service);
        if !self.follows_upstreams() || self.is_settling(now) || is_after_outage {
            OtherVersions::Unknown
        } else if of_service
            .clone()
            .any(|upstream| upstream.entry.version != order.target)
        {
            OtherVersions::Present
        } else if of_service.next().is_some() {
            OtherVersions::Gone
        } else {
            OtherVersions::Unknown
        }
    }
}
