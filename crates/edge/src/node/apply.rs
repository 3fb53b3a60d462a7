//! Application of changes in the store to the instance's state.

use super::{evidence::ColdCause, Node, State};
use crate::{
    log::Event,
    member::MemberEntry,
    model::{Config, ConfigParts},
    rollout::{RolloutOrder, Trial, Verdict},
    store::{Fact, MemberChange, StoreEvent, StoreUpdate},
    upstream::{Stage, UpstreamEntry},
};
use std::{rc::Rc, sync::Arc};

/// Time after an outage of the store during which missing entries may still be registered again, in
/// milliseconds.
pub(super) const OUTAGE_GRACE_MS: u64 = 2_500;

impl Node {
    /// Applies one decoded change.
    pub fn apply(&self, news: StoreUpdate) {
        match news {
            StoreUpdate::Config(parts) => self.apply_config(*parts),
            StoreUpdate::ConfigInvalid(reason) => {
                self.log.event(Event::ConfigRefused { reason: &reason })
            }
            StoreUpdate::Evacuated(data_centre, is_evacuated) => {
                self.set_evacuated(&data_centre, is_evacuated)
            }
            StoreUpdate::Ordered(order) => self.apply_order(order),
            StoreUpdate::OrderRemoved(service) => {
                self.state.borrow_mut().trials.remove(&service);
            }
            StoreUpdate::Verdict(service, target, verdict) => {
                self.apply_verdict(&service, &target, verdict, true);
            }
            StoreUpdate::Upstream(seen) => self.apply_upstream(seen),
            StoreUpdate::UpstreamRemoved(id) => self.upstream_gone(&id),
            StoreUpdate::Member(MemberChange::Written(entry)) => self.apply_member(entry),
            StoreUpdate::Member(MemberChange::Removed(name)) => {
                self.state.borrow_mut().members.entry_removed(&name);
            }
            StoreUpdate::Ignored(key, reason) => {
                self.log.event(Event::EntryIgnored {
                    key: &key,
                    reason: &reason,
                });
            }
        }
    }

    /// Handles an event of the store's thread.
    pub fn apply_store_event(&self, event: StoreEvent) {
        match event {
            StoreEvent::Listed(prefix, listing) => self.apply_listing(&prefix, &listing),
            StoreEvent::Changed(prefix, changes) => self.apply_changes(&prefix, changes),
            StoreEvent::PrefixLost(prefix) => self.prefix_lost(&prefix),
            StoreEvent::Lost(reason) => self.store_lost(&reason),
            StoreEvent::Recovered => self.store_back(),
            StoreEvent::LeaseLost(reason) => self.log.event(Event::LeaseLost { reason: &reason }),
            StoreEvent::Recorded(news) => self.apply(news),
            StoreEvent::NotRecorded(service, err) => self.log.event(Event::VerdictNotRecorded {
                service: &service,
                reason: &err.to_string(),
            }),
        }
    }

    /// Decodes new facts and applies them.
    pub(super) fn apply_facts(&self, facts: &[Fact]) {
        self.apply_each_fact(facts);
        self.state.borrow_mut().is_first_content = false;
    }

    fn apply_each_fact(&self, facts: &[Fact]) {
        for fact in facts {
            let news = match &fact.value {
                Some(value) => Some((self.decoder.written)(&fact.key, value)),
                None => (self.decoder.removed)(&fact.key),
            };
            if let Some(news) = news {
                self.apply(news);
            }
        }
    }

    /// Applies a configuration unless it is older than the one in force.
    fn apply_config(&self, parts: ConfigParts) {
        let config = Rc::new(Config::from(parts));
        let mut state = self.state.borrow_mut();
        let before = state.config_version();
        if state.config.is_some() && config.version <= before {
            if config.version < before {
                self.log
                    .event(Event::OlderConfigIgnored { in_force: before });
            }
            return;
        }
        self.log.event(Event::ConfigInForce {
            version: config.version,
            before,
            routes: config.routes.values().map(Vec::len).sum(),
            accounts: config.accounts.len(),
        });
        self.metrics.config_version.set(config.version);
        state
            .buckets
            .retain(|name, _| config.accounts.contains_key(name));
        for upstream in state.upstreams.by_id.values_mut() {
            let service = config.services.get(&upstream.entry.service);
            let engine = service.and_then(|service| service.engine);
            upstream
                .cache
                .set_capacity(engine.map_or(0, |engine| engine.kv_cache_tokens));
        }
        state.config = Some(config);
    }

    /// Marks or unmarks a data centre as evacuated.
    fn set_evacuated(&self, data_centre: &Arc<str>, is_evacuated: bool) {
        let mut state = self.state.borrow_mut();
        let is_change = if is_evacuated {
            state.evacuated.insert(Arc::clone(data_centre))
        } else {
            state.evacuated.remove(data_centre)
        };
        if !is_change {
            return;
        }
        self.log.event(Event::Evacuated {
            data_centre,
            is_evacuated,
        });
        if !is_evacuated {
            self.assume_all_cold(&mut state, data_centre);
        }
    }

    /// Treats the upstreams of a data centre whose evacuation has ended as cold, except those whose
    /// entries tell how long they are: the order may be read before the entries.
    fn assume_all_cold(&self, state: &mut State, data_centre: &str) {
        let now = self.now();
        let config = state.config.clone();
        let cold_ms = |service: &str| {
            let services = config.as_ref().map(|config| &config.services);
            services
                .and_then(|services| services.get(service))
                .map_or(0, |service| service.cold_ms)
        };
        for upstream in state.upstreams.by_id.values_mut() {
            let is_there = *upstream.entry.data_centre == *data_centre;
            if is_there && !upstream.cold.is_cold(now) {
                let cold_ms = cold_ms(&upstream.entry.service);
                self.assume_cold(upstream, cold_ms, ColdCause::EvacuationEnded, now);
            }
        }
    }

    /// Starts the trial that a rollout order asks for, unless it is already running.
    fn apply_order(&self, order: RolloutOrder) {
        let mut state = self.state.borrow_mut();
        let known = state.trials.get(&order.service);
        if known.is_some_and(|known| known.order == order) {
            return;
        }
        self.log.event(Event::TrialSeen {
            service: &order.service,
            target: &order.target,
            duration_ms: order.duration_ms,
        });
        let key = (Arc::clone(&order.service), Arc::clone(&order.target));
        // What the first listing holds may be old: its trial began at a time that is not known here.
        let mut trial = if state.is_first_content {
            Trial::joined(order, self.now())
        } else {
            Trial::new(order, self.now())
        };
        if let Some(verdict) = state.verdicts.get(&key) {
            trial.verdict = *verdict;
        }
        state.trials.insert(key.0, trial);
    }

    /// Applies a verdict from the store (`is_own`) or from another instance's gossip.
    pub(super) fn apply_verdict(
        &self,
        service: &Arc<str>,
        target: &Arc<str>,
        verdict: Verdict,
        is_own: bool,
    ) {
        let mut state = self.state.borrow_mut();
        if verdict != Verdict::Active {
            let key = (Arc::clone(service), Arc::clone(target));
            state.verdicts.entry(key).or_insert(verdict);
        }
        let Some(trial) = state.trials.get_mut(service) else {
            return;
        };
        if is_own && trial.order.target == *target && trial.verdict == verdict {
            trial.verdict_recorded();
        }
        if trial.order.target != *target
            || trial.verdict != Verdict::Active
            || verdict == Verdict::Active
        {
            return;
        }
        trial.verdict = verdict;
        let verdict = match verdict {
            Verdict::Active => "active",
            Verdict::Complete => "complete",
            Verdict::Reverted => "reverted",
        };
        self.log.event(Event::TrialVerdict {
            service,
            target,
            verdict,
            is_own,
        });
    }

    /// Adds or updates an upstream from its entry in the store.
    fn apply_upstream(&self, seen: UpstreamEntry) {
        let now = self.now();
        let data_centre: &str = &seen.data_centre;
        let Some(region) = self.settings.regions.get(data_centre) else {
            let reason = format!("no region is known for data centre `{data_centre}`");
            self.log.event(Event::EntryIgnored {
                key: &seen.id,
                reason: &reason,
            });
            return;
        };
        let region: Arc<str> = region.as_str().into();
        let mut state = self.state.borrow_mut();
        let engine = state
            .service(&seen.service)
            .and_then(|service| service.engine);
        let kv_cache_tokens = engine.map_or(0, |engine| engine.kv_cache_tokens);
        let version = (Arc::clone(&seen.service), Arc::clone(&seen.version));
        let first_at = if state.replica.is_complete() {
            now
        } else {
            carobwheel_core::time::Millis(0)
        };
        state.versions.entry(version).or_insert(first_at);
        let logged = seen.clone();
        let is_new = !state.upstreams.by_id.contains_key(&seen.id);
        if state
            .upstreams
            .update_entry(seen, &region, kv_cache_tokens, now)
        {
            self.log.event(Event::UpstreamSeen {
                upstream: &logged.id,
                service: &logged.service,
                version: &logged.version,
                stage: if logged.stage == Stage::Ready {
                    "ready"
                } else {
                    "draining"
                },
                cold_left_ms: logged.cold_left_ms,
            });
        }
        if !is_new && logged.stage == Stage::Draining {
            self.pools.close_idle(&logged.id);
        }
    }

    /// Marks an upstream whose entry was removed as missing.
    fn upstream_gone(&self, id: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_after_outage = state.store_lost_at.is_some()
            || state
                .store_back_at
                .is_some_and(|at| now.since(at) < OUTAGE_GRACE_MS);
        state.upstreams.entry_removed(id, is_after_outage, now);
        self.log.event(Event::UpstreamMissing {
            upstream: id,
            is_after_outage,
        });
    }

    /// Adds or updates another instance. A link to an earlier process of it ends.
    pub(super) fn apply_member(&self, entry: MemberEntry) {
        if entry.name == self.name {
            return;
        }
        let (name, life) = (Arc::clone(&entry.name), entry.life);
        let is_new = self
            .state
            .borrow_mut()
            .members
            .update_entry(entry, self.now());
        if is_new {
            self.log.event(Event::MemberSeen {
                member: &name,
                life,
            });
            self.links.forget(&name);
        }
    }

    /// Records that the items below a prefix could not be read.
    fn prefix_lost(&self, prefix: &str) {
        let mut state = self.state.borrow_mut();
        if let Some(index) = state.replica.prefix(prefix) {
            if state.lost_prefixes.insert(index) {
                self.log_prefix(prefix, false);
            }
        }
    }

    /// Records that the items below a prefix could be read.
    pub(super) fn prefix_read(&self, state: &mut State, prefix: &str, index: usize) {
        if state.lost_prefixes.remove(&index) {
            self.log_prefix(prefix, true);
        }
    }

    fn log_prefix(&self, prefix: &str, is_followed: bool) {
        self.log.event(Event::PrefixFollowed {
            prefix,
            is_followed,
        });
    }

    /// Records the start of an outage of the store.
    fn store_lost(&self, reason: &str) {
        self.state
            .borrow_mut()
            .store_lost_at
            .get_or_insert(self.now());
        self.log.event(Event::DependencyLost {
            dependency: "store",
            reason,
        });
    }

    /// Records the end of an outage of the store.
    fn store_back(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let lost_at = state.store_lost_at.take();
        state.store_back_at = Some(now);
        let lost_ms = lost_at.map_or(0, |at| now.since(at));
        self.log.event(Event::DependencyBack {
            dependency: "store",
            lost_ms,
        });
    }
}
