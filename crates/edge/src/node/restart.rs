//! Upstreams whose process may have ended and started again, cold, under the same id.
//!
//! What is known of an upstream is known of its process. A connection that it has closed or that
//! cannot be opened is a sign that the process has ended: the upstream is taken to be cold until a
//! health check has answered. The other instances of the region are told of what the checks say, and
//! check themselves: a wrong report costs one check.

use super::{evidence::ColdCause, Node, State};
use crate::{
    cold::{CheckEnd, ColdReport},
    dispatch::Target,
    health_check::{HealthCheck, Warmth},
    log::Event,
    upstream::Upstream,
};
use carobwheel_core::{reach::Sign, time::Millis};
use std::sync::Arc;

/// Maximum number of checks that are started at once.
const MAX_STARTED: usize = 64;
/// Maximum number of reports of one message that are applied.
const MAX_APPLIED: usize = 64;
/// Time within which an upstream has to have answered, or no other one to have failed to, for this
/// instance's reports to count, in milliseconds.
const REACHED_MS: u64 = 1_000;

impl Node {
    /// Treats an upstream as cold whose process may have ended, and makes a health check of it due.
    pub(super) fn suspect_restart(&self, state: &mut State, id: &str, cause: ColdCause) {
        let now = self.now();
        let Some(upstream) = state.upstreams.by_id.get(id) else {
            return;
        };
        let service = state.service(&upstream.entry.service);
        let Some(upstream) = state.upstreams.by_id.get_mut(id) else {
            return;
        };
        let is_lost = matches!(cause, ColdCause::ConnectionLost);
        // The process of an upstream that leaves ends as planned.
        if is_lost && upstream.leaving_at.is_some() {
            return;
        }
        if !is_lost {
            upstream.cache.clear();
        }
        let Some(service) = service.filter(|service| service.cold_ms > 0) else {
            return;
        };
        self.assume_cold(upstream, service.cold_ms, cause, now);
        if service.health_path.is_none() || upstream.leaving_at.is_some() {
            return;
        }
        let is_new = if is_lost {
            upstream.checks.connection_lost(now)
        } else {
            upstream.checks.suspect(now)
        };
        if is_new {
            self.metrics.restarts_suspected.add(1);
        }
        self.restart_suspected.notify_one();
    }

    /// Makes health checks due of upstreams that have ended all idle connections to them while no request
    /// was under way: their processes may have ended, and others have started. A sound one closes such
    /// connections too, so that nothing is assumed before the check.
    pub fn note_idle_ends(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let config = state.config.clone().unwrap_or_default();
        for id in self.pools.take_ended() {
            let Some(upstream) = state.upstreams.by_id.get_mut(&id) else {
                continue;
            };
            let service = config.services.get(&upstream.entry.service);
            let is_checkable =
                service.is_some_and(|service| service.cold_ms > 0 && service.health_path.is_some());
            let is_idle = upstream.own.requests == 0 && upstream.leaving_at.is_none();
            if is_checkable && is_idle && upstream.checks.idle_connections_ended(now) {
                self.metrics.restarts_suspected.add(1);
            }
        }
    }

    /// Starts the checks that are due of upstreams that may have restarted.
    pub fn due_restart_checks(&self) -> Vec<HealthCheck> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let is_due = |upstream: &&Upstream| {
            let is_user = || state.is_cold_user(self, &upstream.entry.id, now);
            let left_ms = upstream.cold.left_ms(now);
            upstream.checks.is_suspected()
                && upstream.leaving_at.is_none()
                && upstream.checks.is_restart_check_due(is_user, left_ms, now)
        };
        let upstreams = state.upstreams.by_id.values();
        let due = upstreams.filter(is_due).take(MAX_STARTED);
        let due: Vec<Arc<str>> = due.map(|upstream| Arc::clone(&upstream.entry.id)).collect();
        let config = state.config.clone().unwrap_or_default();
        let mut checks = Vec::new();
        for id in due {
            let Some(upstream) = state.upstreams.by_id.get_mut(&id) else {
                continue;
            };
            let service = config.services.get(&upstream.entry.service);
            if let Some(path) = service.and_then(|service| service.health_path.as_ref()) {
                upstream.checks.start(now);
                checks.push(HealthCheck::new(&upstream.entry, path));
            }
        }
        self.metrics.restart_checks.add(checks.len() as u64);
        checks
    }

    /// Records the result of a health check. One of an earlier process says nothing about the next.
    pub fn note_health_check(&self, target: &Target, warmth: Warmth) {
        let now = self.now();
        let is_answered = matches!(warmth, Warmth::Warm | Warmth::Cold(_));
        if is_answered {
            self.note_heard(&target.id, Sign::Probe);
        }
        let mut state = self.state.borrow_mut();
        if is_answered && !state.has_reached_any(now) {
            state.ask_all_again(now);
            self.restart_suspected.notify_one();
        }
        let known = state.upstreams.by_id.get_mut(&target.id);
        let same_process = known.filter(|upstream| {
            upstream.entry.address == target.address
                && upstream.entry.started_unix_ms == target.started_unix_ms
        });
        let Some(upstream) = same_process else {
            return;
        };
        let (was_suspected, was_cold) =
            (upstream.checks.is_suspected(), upstream.cold.is_cold(now));
        if warmth != Warmth::Unknown {
            let is_reached = warmth != Warmth::NoAnswer;
            upstream.health.record_check(is_reached, now);
        }
        match upstream.checks.finish(warmth, now) {
            CheckEnd::Nothing => {}
            CheckEnd::Warm => {
                upstream.cold.confirm_warm();
                if was_suspected {
                    self.log_check(target, "warm", 0, false);
                }
            }
            CheckEnd::Cold(left_ms) => {
                self.assume_cold(upstream, left_ms, ColdCause::Response, now);
                if !was_suspected && was_cold {
                    return;
                }
                upstream.cold.confirm_cold(left_ms, now);
                upstream.cache.clear();
                let is_reported = self.report_cold(&mut state, &target.id, left_ms);
                self.log_check(target, "cold", left_ms, is_reported);
            }
            CheckEnd::NoAnswer => {
                upstream.cache.clear();
                let service = Arc::clone(&upstream.entry.service);
                let cold_ms = state.service(&service).map_or(0, |service| service.cold_ms);
                if let Some(upstream) = state.upstreams.by_id.get_mut(&target.id) {
                    self.assume_cold(upstream, cold_ms, ColdCause::NoAnswer, now);
                }
                let is_reported = self.report_cold(&mut state, &target.id, cold_ms);
                self.log_check(target, "no_answer", cold_ms, is_reported);
            }
        }
    }

    fn log_check(&self, target: &Target, result: &str, left_ms: u64, is_reported: bool) {
        self.log.event(Event::RestartChecked {
            upstream: &target.id,
            result,
            left_ms,
            is_reported,
        });
    }

    /// Reports to the region that an upstream's process has probably ended, unless others have just
    /// reported it or this instance may have lost its own way to the upstreams. Returns whether it
    /// does.
    pub(super) fn report_cold(&self, state: &mut State, id: &str, left_ms: u64) -> bool {
        let now = self.now();
        let Some(upstream) = state.upstreams.by_id.get(id) else {
            return false;
        };
        let process = upstream.process_key();
        let is_here = *upstream.region == *self.region;
        if !is_here || !state.reaches_others(upstream, now) {
            return false;
        }
        let is_new = state.cold_reports.record_own(process, left_ms, now);
        if is_new {
            self.metrics.restarts_reported.add(1);
            self.links.announce();
        }
        is_new
    }

    /// Applies another instance's reports of upstreams that have probably restarted.
    pub(super) fn receive_cold(&self, name: &Arc<str>, reports: &[ColdReport]) {
        if reports.is_empty() {
            return;
        }
        let now = self.now();
        let reports = &reports[..reports.len().min(MAX_APPLIED)];
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        for report in reports {
            state.cold_reports.record_heard(*report, now);
        }
        let config = state.config.clone().unwrap_or_default();
        for upstream in state.upstreams.by_id.values_mut() {
            if *upstream.region != *self.region || upstream.leaving_at.is_some() {
                continue;
            }
            let key = upstream.process_key();
            let Some(report) = reports.iter().find(|report| report.process == key) else {
                continue;
            };
            let service = config.services.get(&upstream.entry.service);
            let Some(service) = service.filter(|service| service.health_path.is_some()) else {
                continue;
            };
            let evidence_at = Millis(now.0.saturating_sub(u64::from(report.age_ms)));
            if service.cold_ms == 0 || upstream.checks.is_answered_after(evidence_at) {
                continue;
            }
            let left_ms = u64::from(report.left_ms).min(service.cold_ms);
            self.assume_cold_as(upstream, left_ms, (ColdCause::Reported, name), now);
            if upstream.checks.suspect(now) {
                self.metrics.restarts_suspected.add(1);
                self.restart_suspected.notify_one();
            }
        }
    }
}

impl State {
    /// Whether any upstream has answered this instance lately.
    fn has_reached_any(&self, now: Millis) -> bool {
        let mut upstreams = self.upstreams.by_id.values();
        upstreams.any(|upstream| upstream.health.is_reached_within(REACHED_MS, now))
    }

    /// Makes checks of all suspected upstreams due: what kept them from answering was probably this
    /// instance's own way to them.
    pub(super) fn ask_all_again(&mut self, now: Millis) {
        for upstream in self.upstreams.by_id.values_mut() {
            upstream.checks.ask_again(now);
        }
    }

    /// Whether this instance reaches upstreams of the same service. If none has answered for a while
    /// and another one could not be reached either, its own way to them may be lost.
    fn reaches_others(&self, upstream: &Upstream, now: Millis) -> bool {
        let same_service = || {
            let upstreams = self.upstreams.by_id.values();
            upstreams.filter(|other| other.entry.service == upstream.entry.service)
        };
        let is_other = |other: &&Upstream| other.entry.id != upstream.entry.id;
        same_service().any(|other| other.health.is_reached_within(REACHED_MS, now))
            || !same_service()
                .filter(is_other)
                .any(|other| other.health.is_unreached_within(REACHED_MS, now))
    }
}
