//! Selection of an upstream of one service in one region.

use super::{
    candidates::{eligible, included, Candidate, Candidates, Exclusion, Prediction},
    engines_for_other_kind,
    reuse::MIN_PREFILL_WEIGHT,
    JobKind, PromptPart,
};
use crate::upstream::{Load, Upstream, Upstreams};
use carobwheel_core::time::Millis;
use std::{collections::HashSet, sync::Arc};

/// Share of an engine's KV cache that requests may fill before further ones are queued.
const MAX_KV_CACHE_SHARE: f64 = 0.92;
/// Fixed overhead of a prefill, in milliseconds.
const PREFILL_OVERHEAD_MS: f64 = 16.0;
/// Slowdown of prefill by the decode steps of running requests, per share of occupied slots.
const PREFILL_BATCH_SLOWDOWN: f64 = 0.5;
/// Time in which all slots of a full engine are freed once, in milliseconds.
const SLOT_TURNOVER_MS: f64 = 2_000.0;
/// Assumed response time of an upstream without measurements, in milliseconds.
const DEFAULT_RESPONSE_MS: f64 = 20.0;
/// Share of an engine's time spent on prefill from which low-priority requests are held back. The
/// rest is left for decoding the running requests.
const MAX_LOW_PRIORITY_PREFILL_SHARE: f64 = 0.5;
/// Share of an engine's time spent on prefill from which all requests are held back; the decode
/// steps between prefill chunks take the rest.
const MAX_PREFILL_SHARE: f64 = 0.75;
/// Share of its target time to the first byte that a low-priority job may spend in a queue.
const MAX_QUEUE_TARGET_SHARE: f64 = 0.15;
/// Share of its time that an engine reserved for the other kind of jobs may spend on prefill before
/// low-priority jobs are held back.
const MAX_RESERVED_PREFILL_SHARE: f64 = 0.15;
/// Penalty at a moving average of failures of 1, in milliseconds.
const ERROR_PENALTY_MS: f64 = 200.0;

/// Wait at a limited upstream that other instances use, in milliseconds.
pub const NOT_A_USER: u64 = u64::MAX;

/// The properties of a request that matter for placement.
#[derive(Clone, Debug, Default)]
pub struct InferenceJob {
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Upper bound on the output, in tokens.
    pub max_output_tokens: u32,
    /// Whether the upstreams also serve requests of a higher priority, to which this one yields.
    pub is_yielding: bool,
}

impl InferenceJob {
    /// Tokens of the parts that other prompts may share: all parts but the last.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Identifiers of the parts that other prompts may share: all parts but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// Prompt tokens that no other prompt shares.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }
}

/// Constraints on a placement decision.
pub struct PlacementRules<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Region whose upstreams are candidates.
    pub region: &'a str,
    /// Evacuated data centres, which must not receive requests.
    pub evacuated: &'a HashSet<Arc<str>>,
    /// Predicate for the software versions that may serve this request.
    pub is_version_allowed: &'a dyn Fn(&str) -> bool,
    /// Predicate for the cold upstreams that this instance may use.
    pub is_cold_user: &'a dyn Fn(&str) -> bool,
    /// Time until an upstream may get a request by the limit that it states, in milliseconds: 0 if
    /// it may now, [`NOT_A_USER`] if it may not get any from this instance.
    pub limit_wait_ms: &'a dyn Fn(&Upstream) -> u64,
    /// KV cache capacity of each engine, in tokens; 0 if the upstreams are not engines.
    pub kv_cache_tokens: u64,
    /// Upstreams to which the request was sent already.
    pub tried: &'a [Arc<str>],
    /// Rate of the region's requests with a shared prompt part, per second.
    pub part_demand_per_s: &'a dyn Fn(u64) -> f64,
    /// Number of random candidates besides the preferred ones; 0 considers all upstreams. Random
    /// samples differ between instances, so that they do not all choose the same upstream.
    pub sample_size: usize,
    /// Random number that determines the sample.
    pub sample_seed: u64,
    /// Share of the engines that is reserved for decode-heavy jobs, if any.
    pub decode_share: Option<f64>,
}

/// The upstream chosen for a request, with the predictions for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Predicted time to the first byte, in milliseconds.
    pub wait_ms: f64,
    /// Predicted wait without the prefill of the request's own prompt, in milliseconds.
    pub queue_ms: f64,
    /// Wait plus a weighted share of the decode time, in milliseconds.
    pub cost_ms: f64,
    /// Load that the request adds to the upstream.
    pub load: Load,
    /// Prompt tokens that are probably cached.
    pub cached_tokens: u32,
    /// Time by which these shorten the prefill of this and of the next prompt with the same subject,
    /// in milliseconds.
    pub saved_ms: f64,
    /// Whether the upstream is a home of the prompt's subject.
    pub home: HomeUse,
    /// Placements at the upstreams with shorter queues, the one with the lowest cost first.
    pub alternatives: Vec<Placement>,
}

impl Placement {
    /// Placement without predictions, by a rule that needs none.
    pub fn unpredicted(id: Arc<str>, load: Load) -> Self {
        Self {
            id,
            wait_ms: 0.0,
            queue_ms: 0.0,
            cost_ms: 0.0,
            load,
            cached_tokens: 0,
            saved_ms: 0.0,
            home: HomeUse::NoHome,
            alternatives: Vec::new(),
        }
    }
}

/// Whether a request goes to a home of its prompt's subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeUse {
    /// The prompt shares too little to have a home.
    NoHome,
    /// It goes to a home.
    Home,
    /// The home is excluded.
    Excluded(Exclusion),
    /// Another upstream costs less, mostly since the wait at the home is longer.
    Costly,
    /// The queue at the home is too long for a low-priority request.
    LongQueue,
}

impl HomeUse {
    /// Name in metrics and explanations.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoHome => "no_home",
            Self::Home => "home",
            Self::Excluded(exclusion) => exclusion.name(),
            Self::Costly => "costly",
            Self::LongQueue => "long_queue",
        }
    }
}

/// Outcome of a placement decision, with what it is based on.
#[derive(Clone, Debug)]
pub struct Decision<'a> {
    /// The choice.
    pub choice: Choice,
    /// The upstreams that were considered.
    pub candidates: Candidates<'a>,
}

/// Outcome of a placement decision.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An upstream was chosen.
    Placed(Placement),
    /// All upstreams have reached their limit of time spent on prefill.
    Saturated,
    /// All usable upstreams have as many requests as they take at a time.
    Limited(LimitOutlook),
    /// No upstream is usable.
    NoUpstream,
}

/// When limited upstreams take further requests of this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitOutlook {
    /// Time until the next request, in milliseconds; [`NOT_A_USER`] if other instances use them.
    pub wait_ms: u64,
    /// Mean interval of the requests after it, in milliseconds.
    pub interval_ms: f64,
}

impl Choice {
    /// Avoids a queue that is long against `aim_ms`, for a low-priority job: uses the next upstream
    /// whose queue is not, or turns the placement into [`Choice::Saturated`], since a longer queue
    /// would only make all queued requests late. The prefill of the job's own prompt does not count,
    /// so that large prompts are not refused for their size. A queue may be longer by the prefill that
    /// cached parts save, since the prompt is then answered as soon as an uncached one elsewhere.
    pub fn reject_long_queue(self, job: &InferenceJob, aim_ms: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let max_queue_ms = aim_ms as f64 * MAX_QUEUE_TARGET_SHARE;
        let yields = job.is_yielding && job.prompt_tokens > 0;
        match self {
            Self::Placed(placed) if yields && placed.queue_ms - placed.saved_ms > max_queue_ms => {
                let mut others = placed.alternatives.into_iter();
                others
                    .find(|other| other.queue_ms - other.saved_ms <= max_queue_ms)
                    .map_or(Self::Saturated, Self::Placed)
            }
            choice => choice,
        }
    }
}

/// Chooses the upstream with the lowest predicted cost: mostly the wait for the first byte, and
/// what the placement costs other requests.
pub fn choose(
    upstreams: &Upstreams,
    job: &InferenceJob,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Choice {
    decide(upstreams, job, rules, now).choice
}

/// Chooses an upstream, and returns the candidates as well.
pub fn decide<'a>(
    upstreams: &'a Upstreams,
    job: &InferenceJob,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Decision<'a> {
    let candidates = Candidates::assess(upstreams, job, rules, false, now);
    if let Some(choice) = choice_among(&candidates, job) {
        return Decision { choice, candidates };
    }
    let last_resort = Candidates::assess(upstreams, job, rules, true, now);
    match choice_among(&last_resort, job) {
        Some(choice) => Decision {
            choice,
            candidates: last_resort,
        },
        None => Decision {
            choice: limit_outlook(upstreams, rules, now)
                .map_or(Choice::NoUpstream, Choice::Limited),
            candidates,
        },
    }
}

/// Choice among the candidates; `None` if none is usable.
fn choice_among(candidates: &Candidates<'_>, job: &InferenceJob) -> Option<Choice> {
    let predicted = candidates.by_cost();
    let Some(((best, prediction), others)) = predicted.split_first() else {
        return candidates.has_usable.then_some(Choice::Saturated);
    };
    let mut placed = placement(candidates, best, prediction, job, HomeUse::Costly);
    placed.alternatives = others
        .iter()
        .filter(|(_, other)| other.queue_ms < prediction.queue_ms)
        .map(|(other, prediction)| {
            placement(candidates, other, prediction, job, HomeUse::LongQueue)
        })
        .collect();
    Some(Choice::Placed(placed))
}

/// Placement at a candidate. `reason` tells why it is not a home, unless the home is excluded.
fn placement(
    candidates: &Candidates<'_>,
    candidate: &Candidate<'_>,
    prediction: &Prediction,
    job: &InferenceJob,
    reason: HomeUse,
) -> Placement {
    let home = match candidates.first_home() {
        None => HomeUse::NoHome,
        Some(_) if candidate.rank.is_some_and(|rank| rank < candidates.homes) => HomeUse::Home,
        Some(home) => home.exclusion.map_or(reason, HomeUse::Excluded),
    };
    Placement {
        id: Arc::clone(&candidate.up.entry.id),
        wait_ms: prediction.wait_ms,
        queue_ms: prediction.queue_ms,
        cost_ms: prediction.cost_ms,
        load: Load {
            requests: 1,
            unread_tokens: to_u32(prediction.unread_tokens),
            kv_cache_tokens: job.prompt_tokens.saturating_add(job.max_output_tokens),
            prefill_tokens_per_s: 0,
        },
        cached_tokens: to_u32(prediction.reuse.cached_tokens),
        saved_ms: (prediction.reuse.cached_tokens + prediction.reuse.next_tokens)
            / candidate.up.prefill_tokens_per_ms,
        home,
        alternatives: Vec::new(),
    }
}

/// When the usable upstreams take further requests, if their limits are all that keeps them from it.
pub(super) fn limit_outlook(
    upstreams: &Upstreams,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Option<LimitOutlook> {
    let usable = usable(upstreams, rules, false, now);
    let wait_ms = usable.iter().map(|up| (rules.limit_wait_ms)(up)).min()?;
    let used = usable
        .iter()
        .filter(|up| (rules.limit_wait_ms)(up) != NOT_A_USER);
    let rate_per_s: f64 = used.filter_map(|up| up.limit.rate(now)).sum();
    Some(LimitOutlook {
        wait_ms,
        // The places of brittle upstreams, which state no rate, become free at no known interval.
        interval_ms: if rate_per_s > 0.0 {
            1_000.0 / rate_per_s
        } else {
            0.0
        },
    })
}

/// Upstreams that state no limit. Only these are divided by kind of job, since limited ones come and
/// go with each request.
pub(super) fn unlimited<'a>(upstreams: &[&'a Upstream], now: Millis) -> Vec<&'a Upstream> {
    let is_unlimited = |up: &&Upstream| up.limit.rate(now).is_none();
    upstreams.iter().copied().filter(is_unlimited).collect()
}

/// Identifiers of the engines that are reserved for the other kind of jobs.
pub(super) fn reserved_engines(
    usable: &[&Upstream],
    job: &InferenceJob,
    rules: &PlacementRules<'_>,
) -> HashSet<Arc<str>> {
    let Some(first) = usable.first().filter(|_| rules.kv_cache_tokens > 0) else {
        return HashSet::new();
    };
    let kind = JobKind::of(job, first.entry.slots);
    engines_for_other_kind(usable, kind, rules.decode_share)
}

/// Upstreams that satisfy `rules` at `now`. Ejected ones are included if most were ejected.
pub(super) fn usable<'a>(
    upstreams: &'a Upstreams,
    rules: &PlacementRules<'_>,
    is_last_resort: bool,
    now: Millis,
) -> Vec<&'a Upstream> {
    included(&eligible(upstreams, rules, is_last_resort, now))
}

/// Whether the engine spends little enough of its time on prefill to take one more prompt.
pub(super) fn has_prefill_capacity(
    up: &Upstream,
    job: &InferenceJob,
    is_reserved: bool,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> bool {
    if rules.kv_cache_tokens == 0 {
        return true;
    }
    up.prefill_share(now) < max_prefill_share(job, is_reserved, rules)
}

/// Share of its time that an engine may spend on prefill before it takes no more such jobs.
pub(super) fn max_prefill_share(
    job: &InferenceJob,
    is_reserved: bool,
    rules: &PlacementRules<'_>,
) -> f64 {
    if is_reserved && job.is_yielding {
        MAX_RESERVED_PREFILL_SHARE
    } else if job.is_yielding && rules.decode_share.is_none() {
        MAX_LOW_PRIORITY_PREFILL_SHARE
    } else {
        MAX_PREFILL_SHARE
    }
}

/// Predicted time to the first byte, in milliseconds.
pub(super) fn wait_ms(
    up: &Upstream,
    job: &InferenceJob,
    unread: f64,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> f64 {
    let load = up.load(now);
    let slots = f64::from(up.entry.slots.max(1));
    let running = f64::from(load.requests);
    let errors_ms = ERROR_PENALTY_MS * up.health.error_share();
    if rules.kv_cache_tokens == 0 {
        let response_ms = up.health.first_byte_ms().unwrap_or(DEFAULT_RESPONSE_MS);
        let rounds = ((running + 1.0) / slots).max(0.2 + running / slots);
        return response_ms * rounds.max(1.0) + running + errors_ms;
    }
    let slowdown = 1.0 + PREFILL_BATCH_SLOWDOWN * running / slots;
    let prefill_ms = (f64::from(load.unread_tokens) + unread * MIN_PREFILL_WEIGHT)
        / up.prefill_tokens_per_ms
        * slowdown
        + PREFILL_OVERHEAD_MS;
    let is_full = running >= slots;
    let queue_ms = if is_full {
        (running - slots + 1.0) * SLOT_TURNOVER_MS / slots
    } else {
        0.0
    };
    #[allow(clippy::cast_precision_loss)]
    let capacity_tokens = rules.kv_cache_tokens as f64 * MAX_KV_CACHE_SHARE;
    let needed_tokens = f64::from(load.kv_cache_tokens)
        + f64::from(job.prompt_tokens)
        + f64::from(job.max_output_tokens);
    let kv_cache_ms = if needed_tokens > capacity_tokens {
        (needed_tokens - capacity_tokens) / capacity_tokens * SLOT_TURNOVER_MS
    } else {
        0.0
    };
    prefill_ms + queue_ms.max(kv_cache_ms) + errors_ms
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
