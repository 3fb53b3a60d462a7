//! One instance's view of all upstreams, and placement of requests on them.

use super::attempt::{Attempt, AttemptId};
use super::choice::{choose, Candidate};
use super::upstream::UpstreamState;
use super::{Hop, Load, Placement, Refusal, Request};
use crate::document::{Document, Objective};
use crate::id::{DataCentreId, InstanceId, RegionId, UpstreamId};
use crate::time::Millis;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Expected answer length before any answer has completed, as a share of its maximum.
const INITIAL_OUTPUT_SHARE: f64 = 0.6;

/// One-way network delays from this instance, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NetworkDelays {
    /// Delay to an upstream in the same data centre.
    pub same_data_centre_us: u64,
    /// Delay to another data centre of the region.
    pub same_region_us: u64,
    /// Delay to another region.
    pub other_region_us: u64,
}

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Region of this instance.
    pub region: RegionId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Network delays from this instance.
    pub delays: NetworkDelays,
}

pub(super) struct Peer {
    pub(super) sequence: u64,
    pub(super) received_at: Millis,
    pub(super) loads: Vec<(UpstreamId, Load)>,
}

/// One instance's view of all upstreams. Owned by the decision thread.
pub struct Router {
    settings: RouterSettings,
    objective: Objective,
    pub(super) upstreams: BTreeMap<UpstreamId, UpstreamState>,
    pub(super) by_hash: HashMap<[u8; 4], UpstreamId>,
    pub(super) peers: HashMap<InstanceId, Peer>,
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) next_attempt: u64,
    // Average answer length as a share of its maximum: short requests, then long requests.
    pub(super) output_share: [f64; 2],
}

impl Router {
    /// Creates a router with the upstreams of `document`.
    pub fn new(settings: RouterSettings, document: &Document, now: Millis) -> Self {
        let mut router = Self {
            settings,
            objective: document.policy.objective,
            upstreams: BTreeMap::new(),
            by_hash: HashMap::new(),
            peers: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: 0,
            output_share: [INITIAL_OUTPUT_SHARE; 2],
        };
        router.apply_document(document, now);
        router
            .upstreams
            .values_mut()
            .for_each(|state| state.started_at = None);
        router
    }

    /// Applies the upstreams of a newer document.
    ///
    /// The state of upstreams that remain is kept. Upstreams that are no longer listed get no new
    /// requests and are removed once they are idle.
    pub fn apply_document(&mut self, document: &Document, now: Millis) {
        self.objective = document.policy.objective;
        let named: HashSet<_> = document.upstreams.iter().map(|spec| &spec.id).collect();
        for (id, state) in &mut self.upstreams {
            state.is_leaving_by_document |= !named.contains(id);
        }
        self.upstreams
            .retain(|id, state| named.contains(id) || !state.own.is_idle());
        for spec in &document.upstreams {
            let is_same = |state: &UpstreamState| {
                state.spec.serves == spec.serves && state.spec.url == spec.url
            };
            match self.upstreams.get_mut(&spec.id) {
                Some(state) if is_same(state) || !state.own.is_idle() => {
                    let was_leaving = state.is_leaving();
                    state.spec = spec.clone();
                    state.is_leaving_by_document = spec.leaving;
                    if was_leaving && !state.is_leaving() {
                        state.restart(now);
                    }
                }
                _ => {
                    let mut state = UpstreamState::new(spec);
                    state.restart(now);
                    self.upstreams.insert(spec.id.clone(), state);
                }
            }
        }
        self.rebuild_indexes();
    }

    fn rebuild_indexes(&mut self) {
        self.by_hash = self
            .upstreams
            .iter()
            .map(|(id, state)| (state.short_hash(), id.clone()))
            .collect();
        for state in self.upstreams.values_mut() {
            state.peers = Load::default();
            state.busy_peers = 0;
        }
        for peer in self.peers.values_mut() {
            peer.loads.retain(|(id, _)| self.upstreams.contains_key(id));
            add_peer_loads(&mut self.upstreams, &peer.loads);
        }
    }

    /// Selects the upstream for a request. The router's state changes only with [`Router::start`].
    ///
    /// # Errors
    ///
    /// Returns the reason why the request cannot be placed now; the request has not run.
    ///
    /// # Panics
    ///
    /// Panics if the placement violates the region binding or the hop limits, or selects a leaving,
    /// ejected or already tried upstream. Any of these is a bug.
    pub fn place(
        &self,
        request: &Request<'_>,
        now: Millis,
        rng: &mut impl Rng,
    ) -> Result<Placement, Refusal> {
        if let Some(region) = request.bound_region {
            if *region != self.settings.region {
                return Err(Refusal::OutsideBoundRegion(region.clone()));
            }
        }
        let (home, away) = self.candidates(request, now);
        let chosen = choose(&home, &away, request, self.objective, rng);
        let Some(chosen) = chosen else {
            return Err(no_room_refusal(&home, &away));
        };
        let first_token_ms = chosen.prediction.first_token_ms as u64;
        if first_token_ms > request.target.remaining_ms {
            return Err(Refusal::TooLate { first_token_ms });
        }
        Ok(self.placement(chosen, request))
    }

    pub(super) fn candidates<'a>(
        &'a self,
        request: &Request<'_>,
        now: Millis,
    ) -> (Vec<Candidate<'a>>, Vec<Candidate<'a>>) {
        let may_leave_region =
            request.bound_region.is_none() && request.hops.is_allowed(Hop::AcrossRegions);
        let expected = self.expected_output_tokens(request);
        let mut home = Vec::new();
        let mut away = Vec::new();
        for (id, state) in &self.upstreams {
            let is_home = state.spec.region == self.settings.region;
            let is_allowed = is_home || may_leave_region;
            let is_open = !state.is_leaving() && !state.is_ejected;
            if !is_allowed || !is_open || !state.serves(&request.requirement) {
                continue;
            }
            if request.tried.contains(id) {
                continue;
            }
            let network_ms = self.network_ms(state);
            let candidate = Candidate::new(
                state,
                request,
                expected,
                network_ms,
                is_home,
                self.objective,
                now,
            );
            if is_home {
                home.push(candidate);
            } else {
                away.push(candidate);
            }
        }
        (home, away)
    }

    /// Network round-trip time to the upstream, in milliseconds.
    fn network_ms(&self, state: &UpstreamState) -> f64 {
        let delays = &self.settings.delays;
        let one_way_us = if state.spec.data_centre == self.settings.data_centre {
            delays.same_data_centre_us
        } else if state.spec.region == self.settings.region {
            delays.same_region_us
        } else {
            delays.other_region_us
        };
        2.0 * one_way_us as f64 / 1_000.0
    }

    fn expected_output_tokens(&self, request: &Request<'_>) -> u64 {
        let share = self.output_share[usize::from(request.target.is_long)];
        (request.max_output_tokens as f64 * share) as u64
    }

    pub(super) fn placement(&self, chosen: &Candidate<'_>, request: &Request<'_>) -> Placement {
        let spec = &chosen.state.spec;
        let is_away = spec.region != self.settings.region;
        let hop = is_away.then_some(Hop::AcrossRegions);
        let hops = match hop {
            Some(hop) => request.hops.used(hop),
            None => Ok(request.hops.clone()),
        };
        assert!(!chosen.state.is_leaving(), "placed on a leaving upstream");
        assert!(!chosen.state.is_ejected, "placed on an ejected upstream");
        assert!(
            request
                .bound_region
                .is_none_or(|bound| *bound == spec.region),
            "a bound request was placed outside its region"
        );
        assert!(
            !request.tried.contains(&spec.id),
            "placed on a tried upstream"
        );
        let hops = hops.expect("placed in another region without a hop left");
        let uncached = chosen.prediction.uncached_tokens;
        let is_long = request.target.is_long;
        Placement {
            upstream: spec.id.clone(),
            region: spec.region.clone(),
            hop,
            hops,
            prediction: chosen.prediction,
            load: Load {
                requests: 1,
                long_requests: u64::from(is_long),
                prompt_tokens: if is_long { 0 } else { uncached },
                long_prompt_tokens: if is_long { uncached } else { 0 },
                output_tokens: self.expected_output_tokens(request),
            },
            is_long,
            max_output_tokens: request.max_output_tokens,
            prefix_hashes: request.prefix_hashes.to_vec(),
        }
    }
}

/// Returns the refusal when no candidate has room.
///
/// Slots become free on all candidates concurrently, so the rates of the candidates add up.
fn no_room_refusal(home: &[Candidate<'_>], away: &[Candidate<'_>]) -> Refusal {
    let candidates = if home.is_empty() { away } else { home };
    if candidates.is_empty() {
        return Refusal::NoUpstream;
    }
    let slots_per_ms: f64 = candidates.iter().map(|c| 1.0 / c.wait_ms.max(1.0)).sum();
    Refusal::Full {
        wait_ms: (1.0 / slots_per_ms).ceil() as u64,
    }
}

pub(super) fn add_peer_loads(
    upstreams: &mut BTreeMap<UpstreamId, UpstreamState>,
    loads: &[(UpstreamId, Load)],
) {
    for (id, load) in loads {
        if let Some(state) = upstreams.get_mut(id) {
            state.peers += *load;
            state.busy_peers += 1;
        }
    }
}
