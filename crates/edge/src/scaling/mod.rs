//! Load of the services whose number of upstreams this deployment sets, and the decisions on it. Each upstream
//! of such a service is one engine of [`carobwheel_core::autoscale`].

use crate::{place::InferenceJob, rate::MeanRate};
use carobwheel_core::{
    autoscale::{Autoscaler, ScaleCall},
    time::Millis,
};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::HashMap, sync::Arc};

/// Share of the shared tokens of a prompt that is taken to need prefill. It is not known what the engine that
/// would have been chosen had cached.
const UNMET_SHARED_SHARE: f64 = 0.5;
/// Maximum age of another instance's report, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 1_500;
/// Interval of the decisions, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// Time after the last request for a call from which another instance is assumed to hold the duty, in
/// milliseconds.
const TERM_TIMEOUT_MS: u64 = 15_000;

/// Load of one service that could not be placed in the sender's region, averaged over about a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnmetLoad {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests a second, in thousandths.
    pub requests_per_1000_s: u32,
    /// Prompt tokens a second that would have needed prefill.
    pub prefill_tokens_per_s: u32,
}

/// Rates of one service's requests that could not be placed.
#[derive(Clone, Copy, Debug, Default)]
struct UnmetRate {
    requests: MeanRate,
    prefill_tokens: MeanRate,
}

/// What this instance knows for the numbers of upstreams.
#[derive(Debug, Default)]
pub struct Scaling {
    /// Decisions by service.
    pub services: HashMap<Arc<str>, Autoscaler>,
    /// Load that this instance could not place, by service.
    own: HashMap<Arc<str>, UnmetRate>,
    /// Latest reports of other instances in the region, with the time of their arrival.
    peers: HashMap<Arc<str>, (Millis, Vec<UnmetLoad>)>,
    /// Time at which the load of the region was last known.
    known_at: Option<Millis>,
    /// Time on the boot clock at which the services were last observed.
    observed_at: Option<Millis>,
    /// Time on the boot clock at which this instance was last asked for a call.
    asked_at: Option<Millis>,
}

impl Scaling {
    /// Counts a request that could not be placed in the own region for lack of capacity.
    pub fn note_unmet(&mut self, service: &Arc<str>, job: &InferenceJob, now: Millis) {
        let rate = self.own.entry(Arc::clone(service)).or_default();
        let tokens =
            f64::from(job.own_tokens()) + UNMET_SHARED_SHARE * f64::from(job.shared_tokens());
        rate.requests.add(1.0, now);
        rate.prefill_tokens.add(tokens, now);
    }

    /// Load that this instance could not place.
    pub fn own_unmet(&self, hash: impl Fn(&str) -> u32, now: Millis) -> Vec<UnmetLoad> {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let loads = self.own.iter().map(|(service, rate)| UnmetLoad {
            service: hash(service),
            requests_per_1000_s: (rate.requests.per_s(now) * 1_000.0) as u32,
            prefill_tokens_per_s: rate.prefill_tokens.per_s(now) as u32,
        });
        loads.filter(|load| load.requests_per_1000_s > 0).collect()
    }

    /// Replaces what another instance of the region could not place.
    pub fn receive_unmet(&mut self, name: &Arc<str>, loads: Vec<UnmetLoad>, now: Millis) {
        self.peers
            .retain(|_, (at, _)| now.since(*at) <= MAX_REPORT_AGE_MS);
        self.peers.insert(Arc::clone(name), (now, loads));
    }

    /// Load of a service, given by its hash, that no instance of the region could place: requests and prompt
    /// tokens a second.
    pub fn unmet(&self, own: &[UnmetLoad], service: u32, now: Millis) -> (f64, f64) {
        let peers = self.peers.values();
        let recent = peers.filter(|(at, _)| now.since(*at) <= MAX_REPORT_AGE_MS);
        let loads = recent.flat_map(|(_, loads)| loads).chain(own);
        let of_service = loads.filter(|load| load.service == service);
        of_service.fold((0.0, 0.0), |(requests, tokens), load| {
            (
                requests + f64::from(load.requests_per_1000_s) / 1_000.0,
                tokens + f64::from(load.prefill_tokens_per_s),
            )
        })
    }

    /// Begins an observation of the services if the last one is long enough ago; returns whether it is. Adding
    /// up the loads of all upstreams takes time.
    pub fn begin_observation(&mut self, boot_now: Millis) -> bool {
        let last_at = self.observed_at;
        let is_due = last_at.is_none_or(|at| boot_now.since(at) >= INTERVAL_MS);
        if is_due {
            self.observed_at = Some(boot_now);
        }
        is_due
    }

    /// Records whether the load of the region is known, and returns the age of what is known, in
    /// milliseconds.
    pub fn update_load_age(&mut self, is_known: bool, now: Millis) -> u64 {
        if is_known {
            self.known_at = Some(now);
        }
        self.known_at.map_or(u64::MAX, |at| now.since(at))
    }

    /// Begins a term in which this instance sets the numbers.
    pub fn begin_term(&mut self, boot_now: Millis) {
        self.asked_at = Some(boot_now);
        for scaler in self.services.values_mut() {
            scaler.begin_term(boot_now);
        }
    }

    /// Next call. Has to be asked for in the instance's term only.
    pub fn next_call(&mut self, boot_now: Millis) -> Option<(Arc<str>, ScaleCall)> {
        self.asked_at = Some(boot_now);
        for scaler in self
            .services
            .values_mut()
            .filter(|scaler| !scaler.has_term())
        {
            scaler.begin_term(boot_now);
        }
        let services = self.services.iter();
        let calls = services
            .filter_map(|(service, scaler)| Some((Arc::clone(service), scaler.next_call()?)));
        calls.max_by_key(|(_, call)| (Reverse(call.failed_calls), call.missing))
    }

    /// Ends the term of the decisions if the instance no longer sets the numbers; returns whether it does.
    pub fn update_term(&mut self, boot_now: Millis) -> bool {
        let asked_at = self.asked_at;
        if asked_at.is_some_and(|at| boot_now.since(at) <= TERM_TIMEOUT_MS) {
            return true;
        }
        if asked_at.is_some() {
            self.asked_at = None;
            for scaler in self.services.values_mut() {
                scaler.end_term();
            }
        }
        false
    }
}
