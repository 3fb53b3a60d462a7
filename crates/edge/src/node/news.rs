//! Whether this instance hears of the upstreams' entries, and health checks while it does not.

use super::{evidence::ColdCause, Node, State};
use crate::{hash::short_hash, health_check::HealthCheck, log::Event, upstream::Upstream};
use carobwheel_core::time::Millis;
use std::{cmp::Reverse, sync::Arc};

/// Index of the prefix that holds the upstreams' entries, the second that
/// [`StoreKeys`](crate::store::StoreKeys) names.
const UPSTREAM_PREFIX: usize = 1;
/// Maximum age of the message of an instance that tells of the entries, in milliseconds.
const MAX_MESSAGE_AGE_MS: u64 = 500;
/// Time without news from which the upstreams are asked, in milliseconds.
const ASK_AFTER_MS: u64 = 700;
/// Time without news from which an upstream has to confirm that it is warm, in milliseconds.
const CONFIRM_AFTER_MS: u64 = 1_200;
/// Interval of health checks of one upstream, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 200;
/// Time for which a response confirms that its upstream is warm, in milliseconds.
const CONFIRMED_MS: u64 = 600;
/// Number of upstreams of a service that one instance checks and uses as warm ones. In a large region
/// each instance has others.
const MAX_CHECKED: usize = 16;

impl State {
    /// Whether this instance follows the upstreams' entries in the store.
    pub(super) fn follows_upstreams(&self) -> bool {
        self.store_lost_at.is_none()
            && self.replica.is_complete()
            && !self.lost_prefixes.contains(&UPSTREAM_PREFIX)
    }

    /// Whether this instance hears of the upstreams' entries, from the store or from another
    /// instance that knows no more than this one.
    fn has_upstream_news(&self, is_watcher: bool, now: Millis) -> bool {
        if is_watcher && self.follows_upstreams() {
            return true;
        }
        let Some(own) = self.replica.positions().get(UPSTREAM_PREFIX).copied() else {
            return false;
        };
        let mut recent = self
            .members
            .by_name
            .values()
            .filter(|member| member.has_direct_within(MAX_MESSAGE_AGE_MS, now));
        recent.any(|member| {
            let position = member.position(UPSTREAM_PREFIX, own.era);
            member.has_store && position.is_some_and(|position| position <= own)
        })
    }
}

impl Node {
    /// Checks that are due while the upstreams' entries cannot be followed. Treats upstreams as cold
    /// that have not confirmed lately that they are warm.
    pub fn due_health_checks(&self) -> Vec<HealthCheck> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let without_ms = self.time_without_news_ms(&mut state, now);
        if without_ms < ASK_AFTER_MS {
            return Vec::new();
        }
        let due = self.start_health_checks(&mut state, now);
        if without_ms >= CONFIRM_AFTER_MS {
            self.assume_unconfirmed_cold(&mut state, now);
        }
        due
    }

    /// Time for which the upstreams' entries could not be followed, in milliseconds; 0 if they can.
    /// Logs when the upstreams begin or cease to be asked.
    fn time_without_news_ms(&self, state: &mut State, now: Millis) -> u64 {
        let is_watcher = *self.is_watcher.borrow();
        if state.config.is_none() || state.has_upstream_news(is_watcher, now) {
            let since = state.news_lost_at.take().unwrap_or(now);
            if std::mem::take(&mut state.is_asking) {
                self.log_news(true, now.since(since));
            }
            return 0;
        }
        let without_ms = now.since(*state.news_lost_at.get_or_insert(now));
        if without_ms >= ASK_AFTER_MS && !std::mem::replace(&mut state.is_asking, true) {
            self.log_news(false, without_ms);
        }
        without_ms
    }

    fn start_health_checks(&self, state: &mut State, now: Millis) -> Vec<HealthCheck> {
        let mut due = Vec::new();
        for (id, path) in state.checked_upstreams(self) {
            let Some(upstream) = state.upstreams.by_id.get_mut(&id) else {
                continue;
            };
            if upstream.checks.is_due(CHECK_INTERVAL_MS, now) {
                upstream.checks.start(now);
                due.push(HealthCheck::new(&upstream.entry, &path));
            }
        }
        due
    }

    fn assume_unconfirmed_cold(&self, state: &mut State, now: Millis) {
        let config = state.config.clone().unwrap_or_default();
        for upstream in state.upstreams.by_id.values_mut() {
            let service = config.services.get(&upstream.entry.service);
            let is_checkable =
                service.is_some_and(|service| service.cold_ms > 0 && service.health_path.is_some());
            let is_confirmed = upstream.checks.is_confirmed_within(CONFIRMED_MS, now);
            if is_checkable && !is_confirmed && *upstream.region == *self.region {
                self.assume_cold(upstream, CONFIRMED_MS, ColdCause::Unconfirmed, now);
            }
        }
    }

    fn log_news(&self, has_news: bool, without_ms: u64) {
        self.log.event(Event::UpstreamNews {
            has_news,
            without_ms,
        });
    }
}

impl State {
    /// Upstreams of the own region that this instance checks, with the path of their checks.
    fn checked_upstreams(&self, node: &Node) -> Vec<(Arc<str>, Arc<str>)> {
        let config = self.config.clone().unwrap_or_default();
        let mut checked = Vec::new();
        for service in config.services.values() {
            let Some(path) = service.health_path.as_ref().filter(|_| service.cold_ms > 0) else {
                continue;
            };
            let is_candidate = |upstream: &&Upstream| {
                *upstream.entry.service == *service.name
                    && *upstream.region == *node.region
                    && upstream.leaving_at.is_none()
                    && !self.evacuated.contains(&upstream.entry.data_centre)
            };
            let mut ids: Vec<&Arc<str>> = self
                .upstreams
                .by_id
                .values()
                .filter(is_candidate)
                .map(|upstream| &upstream.entry.id)
                .collect();
            ids.sort_by_cached_key(|id| Reverse(short_hash(&format!("{}/{id}", node.name))));
            let ids = ids.into_iter().take(MAX_CHECKED);
            checked.extend(ids.map(|id| (Arc::clone(id), Arc::clone(path))));
        }
        checked
    }
}
