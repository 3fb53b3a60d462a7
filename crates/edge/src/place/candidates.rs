//! Upstreams that a request may go to, with the reason why one is excluded and the predictions for
//! the others. The placement and its explanation both use this list.

use super::{
    choose::{has_prefill_capacity, max_prefill_share, reserved_engines, unlimited, wait_ms},
    cost_ms,
    pace::time_per_token_ms,
    reuse::{shared_cost_ms, EngineMemory, RegionLoad, ReuseEstimate, SharedPart, SharedPrompt},
    InferenceJob, PlacementRules,
};
use crate::{
    hash::rendezvous,
    upstream::{Load, Upstream, Upstreams},
};
use carobwheel_core::time::Millis;
use serde::Serialize;
use std::cmp::Reverse;

/// Number of upstreams that are considered because of their rank for a prompt.
const PREFERRED_COUNT: usize = 3;
/// Cost of using an engine that is reserved for the other kind of jobs, in milliseconds of waiting.
const RESERVED_ENGINE_PENALTY_MS: f64 = 400.0;
/// Share of the mean prefill speed below which an engine is no home of any subject.
const MIN_HOME_SPEED_SHARE: f64 = 0.5;
/// Prefill speed that is assumed if no engine is usable, in tokens a millisecond.
const DEFAULT_TOKENS_PER_MS: f64 = 40.0;

/// Reason why an upstream does not get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// Its data centre is evacuated.
    Evacuated,
    /// It is draining or gone.
    Leaving,
    /// Its software version may not serve this request.
    Version,
    /// It is cold, and this instance may not use it now.
    Cold,
    /// It was offered the request already.
    Tried,
    /// It was ejected after failures.
    Ejected,
    /// The limit that it states allows no request of this instance now.
    Limited,
    /// It spends too much of its time on prefill.
    PrefillShare,
    /// It was not among the preferred and the sampled upstreams.
    NotSampled,
}

impl Exclusion {
    /// Name in metrics and explanations.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "evacuated",
            Self::Leaving => "leaving",
            Self::Version => "version",
            Self::Cold => "cold",
            Self::Tried => "tried",
            Self::Ejected => "ejected",
            Self::Limited => "limited",
            Self::PrefillShare => "prefill_share",
            Self::NotSampled => "not_sampled",
        }
    }
}

/// Predictions for a request at one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Expected reuse of the prompt's shared parts.
    pub reuse: ReuseEstimate,
    /// Prompt tokens that probably need prefill.
    pub unread_tokens: f64,
    /// Wait without the prefill of the request's own prompt, in milliseconds.
    pub queue_ms: f64,
    /// Time to the first byte, in milliseconds.
    pub wait_ms: f64,
    /// Wait plus a weighted share of the decode time, in milliseconds.
    pub cost_ms: f64,
    /// Cost by which upstreams are compared: also counts what the placement costs other requests.
    pub total_cost_ms: f64,
}

/// One upstream of the service in the region.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The upstream.
    pub up: &'a Upstream,
    /// Reason why it does not get the request.
    pub exclusion: Option<Exclusion>,
    /// Whether it is reserved for the other kind of jobs.
    pub is_reserved: bool,
    /// Rank among the engines for the prompt's subject; the first ones are its homes.
    pub rank: Option<usize>,
    /// Predictions; `None` if it is excluded.
    pub prediction: Option<Prediction>,
}

/// All upstreams of the service in the region.
#[derive(Clone, Debug)]
pub struct Candidates<'a> {
    /// Upstreams, in no particular order.
    pub all: Vec<Candidate<'a>>,
    /// Number of home engines of the prompt's subject; 0 if it has none.
    pub homes: usize,
    /// Load of the region's engines for this kind of job.
    pub region: RegionLoad,
    /// Whether any upstream satisfies the rules, whatever its load.
    pub has_usable: bool,
    /// Key by which upstreams of equal cost are ordered.
    order_key: u64,
}

impl<'a> Candidates<'a> {
    /// Assesses all upstreams of the service in the region.
    pub(super) fn assess(
        upstreams: &'a Upstreams,
        job: &InferenceJob,
        rules: &PlacementRules<'_>,
        is_last_resort: bool,
        now: Millis,
    ) -> Self {
        let mut all = eligible(upstreams, rules, is_last_resort, now);
        exclude_if(&mut all, Exclusion::Limited, |candidate| {
            (rules.limit_wait_ms)(candidate.up) != 0
        });
        let usable = included(&all);
        let has_usable = !usable.is_empty();
        let reserved = reserved_engines(&unlimited(&usable, now), job, rules);
        for candidate in &mut all {
            candidate.is_reserved = reserved.contains(&candidate.up.entry.id);
        }
        let region = region_load(&all, job, rules, now);
        exclude_if(&mut all, Exclusion::PrefillShare, |candidate| {
            !has_prefill_capacity(candidate.up, job, candidate.is_reserved, rules, now)
        });
        let prompt = shared_prompt(job, rules, &region);
        // Prompts without a home have no preferred engines, so that a short prefix that many share
        // does not send all of them to the same ones.
        let order_key = match job.parts.as_slice() {
            [] => 0,
            [.., subject, _] if prompt.homes() > 0 => subject.id,
            _ => rules.sample_seed,
        };
        let mut candidates = Self {
            all,
            homes: prompt.homes(),
            region,
            has_usable,
            order_key,
        };
        candidates.rank(now);
        candidates.sample(rules);
        for candidate in &mut candidates.all {
            if candidate.exclusion.is_none() {
                candidate.prediction = Some(predict(candidate, job, &prompt, rules, &region, now));
            }
        }
        candidates
    }

    /// Upstreams that are not excluded with their predictions, the one with the lowest total cost
    /// first.
    pub(super) fn by_cost(&self) -> Vec<(&Candidate<'a>, Prediction)> {
        let predicted = self.all.iter().filter_map(|candidate| {
            let prediction = candidate.prediction?;
            Some((candidate, prediction))
        });
        let mut predicted: Vec<_> = predicted.collect();
        predicted.sort_by(|(a, of_a), (b, of_b)| {
            let order = of_a.total_cost_ms.total_cmp(&of_b.total_cost_ms);
            order.then_with(|| self.weight(b.up).cmp(&self.weight(a.up)))
        });
        predicted
    }

    /// First home of the prompt's subject.
    pub(super) fn first_home(&self) -> Option<&Candidate<'a>> {
        let mut all = self.all.iter().filter(|_| self.homes > 0);
        all.find(|candidate| candidate.rank == Some(0))
    }

    fn weight(&self, up: &Upstream) -> u64 {
        rendezvous(&up.entry.id, self.order_key)
    }

    /// Ranks the engines that all instances prefer alike. Engines with a passing shortage keep
    /// their rank, so that their subjects return to them; those that cannot be used or are cold or
    /// slow have none, and the next in rank replaces them.
    fn rank(&mut self, now: Millis) {
        let min_tokens_per_ms = self.region.tokens_per_ms * MIN_HOME_SPEED_SHARE;
        let is_ranked = |candidate: &Candidate<'_>| {
            let is_stable = matches!(
                candidate.exclusion,
                None | Some(Exclusion::Tried | Exclusion::PrefillShare)
            );
            let up = candidate.up;
            let is_steady = !up.cold.is_cold(now) && up.limit.rate(now).is_none();
            is_stable
                && is_steady
                && !candidate.is_reserved
                && up.prefill_tokens_per_ms >= min_tokens_per_ms
        };
        let mut ranked: Vec<usize> = (0..self.all.len())
            .filter(|at| is_ranked(&self.all[*at]))
            .collect();
        ranked.sort_by_cached_key(|at| Reverse(self.weight(self.all[*at].up)));
        for (rank, at) in ranked.into_iter().enumerate() {
            self.all[at].rank = Some(rank);
        }
    }

    /// Excludes all but the preferred and some random upstreams, among the reserved ones and the
    /// others each.
    fn sample(&mut self, rules: &PlacementRules<'_>) {
        if rules.sample_size == 0 {
            return;
        }
        for is_reserved in [false, true] {
            let mut group: Vec<usize> = (0..self.all.len())
                .filter(|at| {
                    let candidate = &self.all[*at];
                    candidate.exclusion.is_none() && candidate.is_reserved == is_reserved
                })
                .collect();
            if group.len() <= rules.sample_size + PREFERRED_COUNT {
                continue;
            }
            let sample_weight =
                |at: &usize| Reverse(rendezvous(&self.all[*at].up.entry.id, rules.sample_seed));
            // A subject with many homes uses all of them, not only the first.
            let is_home = |at: &usize| self.all[*at].rank.is_some_and(|rank| rank < self.homes);
            if self.homes > PREFERRED_COUNT {
                group.sort_by_cached_key(|at| (!is_home(at), sample_weight(at)));
            } else {
                group.sort_by_cached_key(|at| Reverse(self.weight(self.all[*at].up)));
            }
            let mut others = group.split_off(PREFERRED_COUNT);
            others.sort_by_cached_key(sample_weight);
            for at in others.split_off(rules.sample_size) {
                self.all[at].exclusion = Some(Exclusion::NotSampled);
            }
        }
    }
}

/// All upstreams of the service in the region, with the reasons by which `rules` exclude some.
/// Ejected ones are included if most were ejected for their errors, or all for want of a connection.
pub(super) fn eligible<'a>(
    upstreams: &'a Upstreams,
    rules: &PlacementRules<'_>,
    is_last_resort: bool,
    now: Millis,
) -> Vec<Candidate<'a>> {
    let of_service = upstreams
        .by_id
        .values()
        .filter(|up| &*up.entry.service == rules.service && &*up.region == rules.region);
    let mut all: Vec<Candidate<'a>> = of_service
        .map(|up| Candidate {
            up,
            exclusion: exclusion(up, rules, is_last_resort, now),
            is_reserved: false,
            rank: None,
            prediction: None,
        })
        .collect();
    exclude_unreachable(&mut all, now);
    let usable = included(&all);
    let healthy = usable.iter().filter(|up| up.health.is_usable(now)).count();
    // If most upstreams that can be reached are ejected, the cause is probably not the upstreams.
    if healthy * 3 >= usable.len() && healthy > 0 {
        exclude_if(&mut all, Exclusion::Ejected, |candidate| {
            !candidate.up.health.is_usable(now)
        });
    }
    all
}

/// Excludes the upstreams that were ejected since no connection could be opened, as long as any other
/// is healthy: the path to most of them may be lost.
fn exclude_unreachable(all: &mut [Candidate<'_>], now: Millis) {
    let is_healthy = |up: &&Upstream| up.health.is_usable(now);
    if !included(all).iter().any(is_healthy) {
        return;
    }
    exclude_if(all, Exclusion::Ejected, |candidate| {
        let health = &candidate.up.health;
        health.is_unreachable() && !health.is_usable(now)
    });
}

/// Upstreams that are not excluded.
pub(super) fn included<'a>(all: &[Candidate<'a>]) -> Vec<&'a Upstream> {
    let included = all.iter().filter(|candidate| candidate.exclusion.is_none());
    included.map(|candidate| candidate.up).collect()
}

fn exclude_if(
    all: &mut [Candidate<'_>],
    exclusion: Exclusion,
    is_excluded: impl Fn(&Candidate<'_>) -> bool,
) {
    for candidate in all {
        if candidate.exclusion.is_none() && is_excluded(candidate) {
            candidate.exclusion = Some(exclusion);
        }
    }
}

/// Reason by which `rules` exclude an upstream, apart from its health and load.
fn exclusion(
    up: &Upstream,
    rules: &PlacementRules<'_>,
    is_last_resort: bool,
    now: Millis,
) -> Option<Exclusion> {
    let is_cold_for_us =
        || up.cold.is_cold(now) && !(up.cold.is_open(now) && (rules.is_cold_user)(&up.entry.id));
    if rules.evacuated.contains(&up.entry.data_centre) {
        Some(Exclusion::Evacuated)
    } else if !up.accepts_requests(is_last_resort, now) {
        Some(Exclusion::Leaving)
    } else if !(rules.is_version_allowed)(&up.entry.version) {
        Some(Exclusion::Version)
    } else if is_cold_for_us() {
        Some(Exclusion::Cold)
    } else if rules.tried.contains(&up.entry.id) {
        Some(Exclusion::Tried)
    } else {
        None
    }
}

/// Mean load of the engines for this kind of job.
fn region_load(
    all: &[Candidate<'_>],
    job: &InferenceJob,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> RegionLoad {
    let engines: Vec<&Upstream> = all
        .iter()
        .filter(|candidate| candidate.exclusion.is_none() && !candidate.is_reserved)
        .map(|candidate| candidate.up)
        .collect();
    if engines.is_empty() || rules.kv_cache_tokens == 0 {
        return RegionLoad {
            engines: engines.len(),
            tokens_per_ms: DEFAULT_TOKENS_PER_MS,
            new_tokens_per_s: 0.0,
            used_share: 0.0,
        };
    }
    // Sums of whole numbers do not depend on the order of the engines, so that a decision can be
    // repeated exactly.
    let speeds = engines.iter().map(|up| up.prefill_tokens_per_ms * 1_000.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens_per_s: u64 = speeds.map(|per_s| per_s as u64).sum();
    let rates = engines
        .iter()
        .map(|up| u64::from(up.load(now).prefill_tokens_per_s));
    let new_tokens_per_s: u64 = rates.sum();
    #[allow(clippy::cast_precision_loss)]
    let mean = |sum: u64| sum as f64 / engines.len() as f64;
    let (tokens_per_ms, new_tokens_per_s) = (mean(tokens_per_s) / 1_000.0, mean(new_tokens_per_s));
    let prefill_share = new_tokens_per_s / (tokens_per_ms * 1_000.0);
    RegionLoad {
        engines: engines.len(),
        tokens_per_ms,
        new_tokens_per_s,
        used_share: prefill_share / max_prefill_share(job, false, rules),
    }
}

/// Shared parts of the job's prompt, with the demand for them.
fn shared_prompt(
    job: &InferenceJob,
    rules: &PlacementRules<'_>,
    region: &RegionLoad,
) -> SharedPrompt {
    let parts = match job.parts.split_last() {
        Some((_, shared)) if rules.kv_cache_tokens > 0 => shared,
        _ => &[],
    };
    let parts = parts.iter().map(|part| SharedPart {
        id: part.id,
        tokens: part.tokens,
        per_s: (rules.part_demand_per_s)(part.id),
    });
    SharedPrompt::new(parts.collect(), job.own_tokens(), region)
}

/// Predictions for a job at a candidate.
fn predict(
    candidate: &Candidate<'_>,
    job: &InferenceJob,
    prompt: &SharedPrompt,
    rules: &PlacementRules<'_>,
    region: &RegionLoad,
    now: Millis,
) -> Prediction {
    let up = candidate.up;
    let queue_ms = wait_ms(up, job, 0.0, rules, now);
    if rules.kv_cache_tokens == 0 {
        let cost_ms = cost_ms(job, queue_ms, 0.0);
        return Prediction {
            reuse: ReuseEstimate::default(),
            unread_tokens: f64::from(job.prompt_tokens),
            queue_ms,
            wait_ms: queue_ms,
            cost_ms,
            total_cost_ms: cost_ms,
        };
    }
    let load = up.load(now);
    let memory = EngineMemory {
        rank: candidate.rank,
        free_tokens: free_tokens(&load, rules),
        new_tokens_per_s: f64::from(load.prefill_tokens_per_s),
        idle_ms: &|id| up.cache.idle_ms(id, now),
    };
    let reuse = prompt.estimate(&memory, region);
    let unread_tokens = (f64::from(job.prompt_tokens) - reuse.cached_tokens).max(0.0);
    let wait_ms = wait_ms(up, job, unread_tokens, rules, now);
    let penalty_ms = if candidate.is_reserved {
        RESERVED_ENGINE_PENALTY_MS
    } else {
        0.0
    };
    let cost_ms = cost_ms(job, wait_ms, time_per_token_ms(up, now)) + penalty_ms;
    Prediction {
        reuse,
        unread_tokens,
        queue_ms,
        wait_ms,
        cost_ms,
        total_cost_ms: cost_ms + shared_cost_ms(unread_tokens, &reuse, region),
    }
}

/// KV cache of an engine that its running requests leave free, in tokens.
fn free_tokens(load: &Load, rules: &PlacementRules<'_>) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let capacity_tokens = rules.kv_cache_tokens as f64;
    (capacity_tokens - f64::from(load.kv_cache_tokens)).max(0.0)
}
