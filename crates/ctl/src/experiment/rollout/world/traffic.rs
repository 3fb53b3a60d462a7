//! Requests to both versions, and the faults that they meet.

use super::{schedule::Event, World, INSTANCES};
use crate::experiment::rollout::case::{Fault, Onset};
use carobwheel_core::{
    evidence::{RouteTag, Sample, Side},
    rollout::Verdict,
    time::Millis,
};
use rand::{rngs::SmallRng, Rng as _};

/// Share of the requests on each route.
const ROUTE_WEIGHTS: [f64; 3] = [0.7, 0.25, 0.05];
/// Median time to the first token on each route, in milliseconds.
const MEDIAN_FIRST_TOKEN_MS: [f64; 3] = [150.0, 200.0, 400.0];
const MEDIAN_BETWEEN_TOKENS_MS: f64 = 25.0;
/// Ratio of requests that fail without an injected failure.
const BASE_FAILURE_RATIO: f64 = 0.002;
const REQUEST_TIMEOUT_MS: u64 = 5_000;

impl World<'_> {
    pub(super) fn handle_arrival(&mut self) {
        let rate_per_ms = self.case.requests_per_s * self.load() / 1_000.0;
        let gap_ms = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_ms;
        self.schedule_after(gap_ms.round() as u64, Event::Arrival);
        self.request_count += 1;
        let index = self.rng.random_range(0..INSTANCES);
        let route = self.pick_route();
        let request_id = format!("request-{}", self.request_count);
        let unix_now = self.unix_now();
        let side = self.instances[index]
            .state
            .choose(route_tag(route), &request_id, unix_now);
        let is_faulty = side == Side::New && self.is_fault_active(route);
        self.count_request(index, side, is_faulty);
        self.serve(index, route, side, is_faulty);
    }

    fn load(&self) -> f64 {
        let load_swing = self.case.disturbances.load_swing;
        let angle = self.now_ms as f64 / 180_000.0 * std::f64::consts::TAU;
        let is_jump = (self.load_jump_at_ms..self.load_jump_at_ms + 60_000).contains(&self.now_ms);
        let jump = if is_jump { 1.0 + load_swing } else { 1.0 };
        (1.0 + load_swing * (angle + self.swing_phase).sin()) * jump
    }

    fn pick_route(&mut self) -> usize {
        let mut rest = self.rng.random::<f64>();
        for (route, weight) in ROUTE_WEIGHTS.iter().enumerate() {
            rest -= weight;
            if rest < 0.0 {
                return route;
            }
        }
        ROUTE_WEIGHTS.len() - 1
    }

    fn is_fault_active(&mut self, route: usize) -> bool {
        let second = self.now_ms / 1_000;
        if self.new_version_rate.0 != second {
            self.new_version_rate = (second, 0, self.new_version_rate.1);
        }
        self.new_version_rate.1 += 1;
        if !self.case.is_bad() || self.case.route.is_some_and(|only| only != route) {
            return false;
        }
        match self.case.onset {
            Onset::Immediate | Onset::AtRandomTime => self.now_ms >= self.onset_ms,
            Onset::UnderLoad(limit) => self.new_version_rate.1.max(self.new_version_rate.2) > limit,
        }
    }

    fn count_request(&mut self, index: usize, side: Side, is_faulty: bool) {
        if is_faulty && self.first_fault_at_ms.is_none() {
            self.first_fault_at_ms = Some(self.now_ms);
        }
        let has_fault = self.first_fault_at_ms.is_some();
        self.result.all_after += u64::from(has_fault);
        if side == Side::Old {
            return;
        }
        if has_fault {
            self.result.new_after += 1;
        } else {
            self.result.new_before += 1;
        }
        let state = &self.instances[index].state;
        let is_stopped = state.suspicion().is_some() && state.verdict() != Some(Verdict::Done);
        self.result.new_after_stop += u64::from(is_stopped);
    }

    fn serve(&mut self, index: usize, route: usize, side: Side, is_faulty: bool) {
        let load = self.load();
        let fault = if is_faulty {
            self.case.fault
        } else {
            Fault::None
        };
        let first_factor = match fault {
            Fault::SlowFirstToken(factor) => factor,
            _ => 1.0,
        };
        let between_factor = match fault {
            Fault::SlowTokens(factor) => factor,
            _ => 1.0,
        };
        let first_ms = lognormal(
            &mut self.rng,
            MEDIAN_FIRST_TOKEN_MS[route] * load * first_factor,
            0.5,
        );
        let between_ms = lognormal(
            &mut self.rng,
            MEDIAN_BETWEEN_TOKENS_MS * load * between_factor,
            0.2,
        );
        let failed = self.rng.random_bool(self.failure_ratio(fault));
        let hangs = fault == Fault::Hangs;
        let wait_ms = if hangs { REQUEST_TIMEOUT_MS } else { first_ms };
        let instance = &mut self.instances[index];
        let (tag, now) = (instance.state.tag(), Millis(self.now_ms));
        let ticket = instance.evidence.begin(tag, route_tag(route), side, now);
        let sample = Sample {
            failed: failed || hangs,
            first_token_ms: (!failed && !hangs).then_some(first_ms),
            between_tokens_ms: (!failed && !hangs).then_some(between_ms),
        };
        let duration_ms = if failed { wait_ms / 4 } else { wait_ms };
        self.schedule_after(duration_ms, Event::RequestEnded(index, ticket, sample));
    }

    fn failure_ratio(&self, fault: Fault) -> f64 {
        let common = &self.case.disturbances.common_failure_ratio;
        let is_common_failure =
            (self.common_failure_at_ms..self.common_failure_at_ms + 20_000).contains(&self.now_ms);
        let common = if is_common_failure { *common } else { 0.0 };
        match fault {
            Fault::Fails(ratio) => ratio.max(common),
            _ => BASE_FAILURE_RATIO.max(common),
        }
    }
}

fn route_tag(route: usize) -> RouteTag {
    RouteTag(route as u16)
}

fn lognormal(rng: &mut SmallRng, median_ms: f64, sigma: f64) -> u64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (rng.random::<f64>() * std::f64::consts::TAU).cos();
    (median_ms * (sigma * normal).exp()).round() as u64
}
