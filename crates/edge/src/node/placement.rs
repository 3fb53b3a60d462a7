//! Rules by which this instance places requests, from what it knows of the region.

use super::{Node, State};
use crate::{
    cold::MAX_COLD_USERS,
    hash::short_hash,
    place::{
        decide, forecast_region, Choice, Decision, InferenceJob, JobKind, JobMix, LatencyForecast,
        PlacementRules,
    },
    rollout::{TrialBounds, Verdict},
    upstream::Upstream,
};
use carobwheel_core::time::Millis;
use std::sync::Arc;

/// Number of other instances in the region below which each instance considers all upstreams.
const SMALL_REGION_INSTANCES: usize = 6;
/// Number of upstreams that an instance of a larger region samples at random.
const SAMPLED_UPSTREAMS: usize = 3;
/// Time for which a version that no rollout order names is not used, in milliseconds.
const UNORDERED_VERSION_HOLD_MS: u64 = 3_000;

/// Input of a placement decision.
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a Arc<str>,
    /// Prompt and expected answer.
    pub job: &'a InferenceJob,
    /// Upstreams to exclude, since the request was already offered to them.
    pub tried: &'a [Arc<str>],
    /// Random number in `[0, 1)` that decides whether the request goes to the version on trial.
    pub draw: f64,
}

impl Node {
    /// Chooses an upstream of the own region; none while the service is cut off.
    pub fn place(&self, placement_request: &PlacementRequest<'_>) -> Choice {
        if self.is_cut_off(placement_request.service) {
            return Choice::NoUpstream;
        }
        self.place_despite_cut_off(placement_request)
    }

    /// Chooses an upstream of the own region also while the service is cut off, for requests that no
    /// other instance can take.
    pub fn place_despite_cut_off(&self, placement_request: &PlacementRequest<'_>) -> Choice {
        self.with_decision(placement_request, |decision| decision.choice)
    }

    /// Passes the decision on an upstream of the own region, with its candidates, to `use_decision`.
    pub fn with_decision<T>(
        &self,
        placement_request: &PlacementRequest<'_>,
        use_decision: impl FnOnce(Decision<'_>) -> T,
    ) -> T {
        let now = self.now();
        let state = self.state.borrow();
        state.with_rules(self, placement_request, now, |rules| {
            let job = placement_request.job;
            use_decision(decide(&state.upstreams, job, rules, now))
        })
    }

    /// Expected latency of a job of the service in the own region.
    pub fn region_forecast(&self, service: &Arc<str>, kind: JobKind) -> Option<LatencyForecast> {
        let now = self.now();
        let state = self.state.borrow();
        let placement_request = PlacementRequest {
            service,
            job: &InferenceJob::default(),
            tried: &[],
            draw: 1.0,
        };
        state.with_rules(self, &placement_request, now, |rules| {
            forecast_region(&state.upstreams, kind, rules, now)
        })
    }
}

impl State {
    /// Kind of a job: the phase that takes most of an upstream's time for it.
    pub fn kind_of(&self, service: &str, job: &InferenceJob) -> JobKind {
        let service = self.service(service);
        let engine = service.as_ref().and_then(|service| service.engine);
        engine.map_or(JobKind::PrefillHeavy, |engine| {
            JobKind::of(job, engine.slots)
        })
    }

    /// Whether this instance is one of those that use the cold upstream `id`, by rendezvous
    /// hashing.
    fn is_cold_user(&self, node: &Node, id: &str, now: Millis) -> bool {
        let weight = |name: &str| name_pair_hash(name, id);
        let own = weight(&node.name);
        let ahead = self.region_members(node, now);
        ahead.iter().filter(|name| weight(name) > own).count() < MAX_COLD_USERS
    }

    /// Builds the placement rules for a request and passes them to `decide`.
    fn with_rules<T>(
        &self,
        node: &Node,
        placement_request: &PlacementRequest<'_>,
        now: Millis,
        decide: impl FnOnce(&PlacementRules<'_>) -> T,
    ) -> T {
        let is_version_allowed =
            |version: &str| self.is_version_allowed(node, placement_request, version, now);
        let is_cold_user = |id: &str| self.is_cold_user(node, id, now);
        let limit_wait_ms = |upstream: &Upstream| self.limit_wait_ms(node, upstream, now);
        let service = self.service(placement_request.service);
        let engine = service.as_ref().and_then(|service| service.engine);
        let instances = self.region_members(node, now).len() + 1;
        let demand = self.demands.get(placement_request.service);
        #[allow(clippy::cast_precision_loss)]
        let part_demand_per_s = |part: u64| {
            demand.map_or(0.0, |demand| {
                demand.region_per_s(part, instances as f64, now)
            })
        };
        let rules = PlacementRules {
            service: placement_request.service,
            region: &node.region,
            evacuated: &self.evacuated,
            is_version_allowed: &is_version_allowed,
            is_cold_user: &is_cold_user,
            limit_wait_ms: &limit_wait_ms,
            kv_cache_tokens: engine.map_or(0, |engine| engine.kv_cache_tokens),
            tried: placement_request.tried,
            decode_share: self
                .mixes
                .get(placement_request.service)
                .and_then(JobMix::decode_share),
            part_demand_per_s: &part_demand_per_s,
            sample_size: if instances <= SMALL_REGION_INSTANCES {
                0
            } else {
                SAMPLED_UPSTREAMS
            },
            sample_seed: placement_request.draw.to_bits() ^ now.0,
        };
        decide(&rules)
    }

    /// Whether the request may go to this version, by the rollout of the service.
    fn is_version_allowed(
        &self,
        node: &Node,
        placement_request: &PlacementRequest<'_>,
        version: &str,
        now: Millis,
    ) -> bool {
        if let Some(trial) = self.trials.get(placement_request.service) {
            let bounds = TrialBounds {
                share: node.settings.bounds.trial_share,
            };
            let is_new = placement_request.draw < trial.share(bounds);
            return is_new == (*trial.order.target == *version);
        }
        let key = (Arc::clone(placement_request.service), Arc::from(version));
        if self.verdicts.get(&key) == Some(&Verdict::Reverted) {
            return false;
        }
        // Instances of a new version may register shortly before the rollout order is written.
        let is_only = self
            .versions
            .keys()
            .filter(|(service, _)| service == placement_request.service)
            .count()
            <= 1;
        is_only
            || self
                .versions
                .get(&key)
                .is_none_or(|at| now.since(*at) >= UNORDERED_VERSION_HOLD_MS)
    }
}

/// Hash of a pair of names, equal on all instances.
fn name_pair_hash(a: &str, b: &str) -> u32 {
    short_hash(&format!("{a}/{b}"))
}
