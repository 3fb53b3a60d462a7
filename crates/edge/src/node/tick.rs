//! Periodic work of the instance.

use super::{restore::CONFIG_PREFIX, Node};
use crate::{
    log::Event,
    rollout::Verdict,
    store::{Position, VerdictRecord},
};
use carobwheel_core::time::Millis;
use std::sync::Arc;

/// Delay per preceding instance before an instance records a verdict itself, in milliseconds.
const VERDICT_STAGGER_MS: u64 = 300;

/// Time for which another instance has to be ahead before changes are pulled from it, in
/// milliseconds.
const PULL_DELAY_MS: u64 = 400;

/// Request to another instance for changes of a prefix of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// Name of the instance.
    pub member: Arc<str>,
    /// Index of the prefix.
    pub prefix: usize,
    /// Position of the own replica.
    pub after: Position,
    /// Time at which another instance was first heard to be ahead.
    pub behind_since: Millis,
}

/// Since when another instance has been ahead in a prefix, and when changes were last pulled.
#[derive(Clone, Copy, Debug)]
pub struct Behind {
    since: Millis,
    pulled_at: Option<Millis>,
}

impl Node {
    /// Removes expired upstreams and members, updates the watcher role and advances rollouts.
    pub fn tick(&self) {
        let now = self.now();
        let (upstreams, members) = {
            let mut state = self.state.borrow_mut();
            let members = state.members.sweep(now);
            for upstream in state.upstreams.by_id.values_mut() {
                for name in &members {
                    upstream.limit.forget_peer(name);
                }
            }
            (state.upstreams.sweep(now), members)
        };
        for id in &upstreams {
            self.pools.forget(id);
            self.log.event(Event::UpstreamForgotten { upstream: id });
        }
        for name in &members {
            self.links.forget(name);
            self.log.event(Event::MemberForgotten { member: name });
        }
        let is_watcher = {
            let state = self.state.borrow();
            state.members.is_watcher(&self.name, &self.region, now)
        };
        self.is_watcher
            .send_if_modified(|known| std::mem::replace(known, is_watcher) != is_watcher);
        self.update_links();
        self.advance_trials();
        self.expire_crashes();
    }

    /// Prefixes for which another instance has been ahead for `PULL_DELAY_MS`.
    pub fn due_pulls(&self) -> Vec<Pull> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let own = state.replica.positions();
        let own_config = state.config_version();
        let mut pulls = Vec::new();
        for (prefix, after) in own.into_iter().enumerate() {
            let reachable = state
                .members
                .by_name
                .values()
                .filter(|member| member.has_direct_within(PULL_DELAY_MS, now));
            let ahead = reachable.filter_map(|member| {
                let position = member.position(prefix, after.era)?;
                let has_newer_config =
                    prefix == CONFIG_PREFIX && member.config_version > own_config;
                let key = (has_newer_config, position);
                let is_ahead = has_newer_config || position > after;
                is_ahead.then(|| (key, Arc::clone(&member.entry.name)))
            });
            let Some(((_, position), member)) = ahead.max() else {
                state.behind.remove(&prefix);
                continue;
            };
            let is_known = state.behind.contains_key(&prefix);
            if !is_known {
                self.log.event(Event::StoreBehind {
                    member: &member,
                    prefix,
                    after: after.revision,
                    revision: position.revision,
                });
            }
            // A newer version may stand at an older position, from before a restore of the store.
            let after = if position > after {
                after
            } else {
                Position::default()
            };
            let behind = state.behind.entry(prefix).or_insert(Behind {
                since: now,
                pulled_at: None,
            });
            let waited_since = behind.pulled_at.unwrap_or(behind.since);
            if now.since(waited_since) >= PULL_DELAY_MS {
                behind.pulled_at = Some(now);
                pulls.push(Pull {
                    member,
                    prefix,
                    after,
                    behind_since: behind.since,
                });
            }
        }
        pulls
    }

    /// Advances all rollouts, and queues the verdicts that this instance has to record.
    fn advance_trials(&self) {
        let now = self.now();
        let position = self.verdict_position();
        let mut state = self.state.borrow_mut();
        for trial in state.trials.values_mut() {
            let was_suspect = trial.is_suspect();
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
