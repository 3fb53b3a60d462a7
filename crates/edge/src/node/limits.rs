//! Use of upstreams that state a limit on the rate of requests.

use super::{Node, State};
use crate::{hash::short_hash, log::Event, place::NOT_A_USER, upstream::Upstream};
use carobwheel_core::{
    time::Millis,
    upstream_limit::{limit_users_among, LimitReport, LimitUsers, News},
};
use std::{collections::HashMap, sync::Arc};

/// Report about an upstream, which is identified by a hash of its id and start time.
pub type KeyedLimitReport = (u32, LimitReport);

impl Node {
    /// Records what the response to a send states about the upstream's limit.
    pub fn note_limit(&self, upstream: &str, news: News) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(known) = state.upstreams.by_id.get_mut(upstream) else {
            return;
        };
        let before = known.limit.rate(now);
        if known.limit.record_response(news, now) {
            self.log_limit(known, "", before, now);
        }
    }

    /// Applies another instance's reports about limited upstreams.
    pub(super) fn receive_limits(&self, name: &Arc<str>, life: u64, reports: &[KeyedLimitReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let ids: HashMap<u32, Arc<str>> = state
            .upstreams
            .by_id
            .values()
            .map(|upstream| (upstream.process_key(), Arc::clone(&upstream.entry.id)))
            .collect();
        let mut others = HashMap::new();
        for (key, report) in reports {
            let Some(id) = ids.get(key) else {
                others.insert(*key, *report);
                continue;
            };
            let users = state.limit_users(self, id, now);
            let Some(upstream) = state.upstreams.by_id.get_mut(id) else {
                continue;
            };
            let before = upstream.limit.rate(now);
            if upstream.limit.record_report(name, life, report, users, now) {
                self.log_limit(upstream, name, before, now);
            }
        }
        self.receive_brittle(&mut state, name, life, &others, now);
    }

    /// Counts a request that waits for a limited upstream until the guard is dropped.
    pub(crate) fn wait_for_limit<'a>(&'a self, service: &'a Arc<str>) -> LimitWait<'a> {
        let mut state = self.state.borrow_mut();
        let waiting = state.limit_queues.entry(Arc::clone(service)).or_default();
        let ahead = *waiting;
        *waiting += 1;
        LimitWait {
            node: self,
            service,
            ahead,
        }
    }

    fn log_limit(&self, upstream: &Upstream, heard_from: &str, before: Option<f64>, now: Millis) {
        self.log.event(Event::UpstreamLimited {
            upstream: &upstream.entry.id,
            heard_from,
            rate_per_s: upstream.limit.rate(now).unwrap_or_default(),
            before_per_s: before.unwrap_or_default(),
            news_age_ms: upstream.limit.news_age_ms(now),
        });
    }
}

/// A request that waits for a limited upstream.
pub(crate) struct LimitWait<'a> {
    node: &'a Node,
    service: &'a Arc<str>,
    /// Requests that have waited longer.
    pub(crate) ahead: usize,
}

impl Drop for LimitWait<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        if let Some(waiting) = state.limit_queues.get_mut(self.service) {
            *waiting = waiting.saturating_sub(1);
        }
    }
}

impl State {
    /// Reports about the limited upstreams of the own region.
    pub(super) fn limit_reports(&self, node: &Node, now: Millis) -> Vec<KeyedLimitReport> {
        let upstreams = self.upstreams.by_id.values();
        let reports = upstreams.filter_map(|upstream| {
            if !upstream.limit.has_report(now) {
                return None;
            }
            let is_user = self.limit_users(node, &upstream.entry.id, now).is_user;
            let report = upstream.limit.report(is_user, now)?;
            Some((upstream.process_key(), report))
        });
        reports.chain(self.brittle_reports(node, now)).collect()
    }

    /// Instances that use the upstream while it is limited, by rendezvous hashing.
    pub(super) fn limit_users(&self, node: &Node, upstream: &str, now: Millis) -> LimitUsers {
        let others = self.region_members(node, now);
        let others = others.iter().map(|name| &***name);
        LimitUsers::choose(&node.name, others, upstream)
    }

    /// Names of the instances of the region that use the upstream while it is limited. Also counts those
    /// that are silent, as each user does when it decides that it is one.
    pub(super) fn limit_user_names(
        &self,
        node: &Node,
        upstream: &str,
        now: Millis,
    ) -> Vec<Arc<str>> {
        let others = self.region_members(node, now).into_iter().map(Arc::clone);
        let names = others.chain([Arc::clone(&node.name)]).collect();
        limit_users_among(names, upstream)
    }

    /// Time until this instance may send a request to the upstream by its limit, in milliseconds;
    /// [`NOT_A_USER`] if it may not use it.
    pub(super) fn limit_wait_ms(&self, node: &Node, upstream: &Upstream, now: Millis) -> u64 {
        if upstream.limit.rate(now).is_none() {
            return self.brittle_wait_ms(node, upstream, now);
        }
        let users = self.limit_users(node, &upstream.entry.id, now);
        if users.is_user {
            upstream.limit.wait_ms(users, now)
        } else {
            NOT_A_USER
        }
    }

    /// Instance of the own region, other than this one, that uses a limited upstream of the
    /// service.
    pub(crate) fn limit_user_nearby(
        &self,
        node: &Node,
        service: &str,
        now: Millis,
    ) -> Option<Arc<str>> {
        let upstreams = self.upstreams.by_id.values().filter(|upstream| {
            &*upstream.entry.service == service
                && *upstream.region == *node.region
                && upstream.limit.rate(now).is_some()
        });
        let mut users: Vec<Arc<str>> = upstreams
            .flat_map(|upstream| self.limit_user_names(node, &upstream.entry.id, now))
            .chain(self.brittle_holder_names(node, service, now))
            .collect();
        let service_hash = short_hash(service);
        let is_up = |name: &Arc<str>| {
            let member = self.members.by_name.get(name);
            member.is_some_and(|member| {
                self.members.is_up(member, now) && !member.cut_off.contains(&service_hash)
            })
        };
        users.retain(|name| is_up(name) && node.links.connection(name).is_some());
        if users.is_empty() {
            return None;
        }
        Some(users.swap_remove(rand::random_range(0..users.len())))
    }
}
