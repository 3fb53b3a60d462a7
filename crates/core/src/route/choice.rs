//! Latency prediction for a candidate upstream and selection among candidates.

use super::affinity::rendezvous;
use super::objective::{placement_params, PlacementParams};
use super::upstream::UpstreamState;
use super::{LatencyTarget, Load, Request};
use crate::document::Objective;
use crate::time::Millis;
use rand::Rng;

/// Share of an engine's slots that long requests leave free, so that urgent requests get a slot
/// without waiting.
const URGENT_RESERVE_SHARE: f64 = 0.03125;
/// Maximum share of an engine's slots used by long requests.
const LONG_SLOTS_SHARE: f64 = 0.75;
/// Maximum prefill time of queued long prompts, as a share of the first-token target.
const LONG_BACKLOG_SHARE: f64 = 0.5;
/// Maximum prefill time of queued prompts on an engine with a cold cache, as a share of the
/// first-token target. The share is scaled by the cache warmth.
const COLD_BACKLOG_SHARE: f64 = 0.5;
/// Chunk of a long prompt that an engine prefills between two decode steps, in tokens.
const PREFILL_CHUNK_TOKENS: f64 = 512.0;
/// Maximum load of the engine preferred for its cache, as a multiple of the candidates' mean load.
const AFFINITY_MAX_LOAD_FACTOR: f64 = 1.25;
/// Share of the prompt's prefix assumed to be cached on the preferred engine before it has been
/// sent there.
const AFFINITY_CREDIT_SHARE: f64 = 0.5;
/// Random share added to a score, so that instances with the same stale view choose different
/// engines.
const SCORE_JITTER_SHARE: f64 = 0.05;

/// Predicted latency and cost of a placement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prediction {
    /// Time to first token including the network, in milliseconds.
    pub first_token_ms: f64,
    /// Inter-token latency, in milliseconds.
    pub between_tokens_ms: f64,
    /// Network round-trip time, in milliseconds.
    pub network_ms: f64,
    /// Prompt tokens that are not in the engine's cache.
    pub uncached_tokens: u64,
    /// Engine time that the placement adds, in milliseconds.
    pub busy_ms: f64,
    /// Time to first token without the network and the measured correction, in milliseconds.
    pub(super) uncorrected_ms: f64,
}

/// Upstream that is eligible to serve the request.
pub(super) struct Candidate<'a> {
    pub(super) state: &'a UpstreamState,
    pub(super) prediction: Prediction,
    pub(super) load: Load,
    pub(super) has_room: bool,
    /// Predicted time until a slot is free, in milliseconds.
    pub(super) wait_ms: f64,
    /// Delay caused to other requests on the engine, summed over the requests, in milliseconds.
    interference_ms: f64,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(
        state: &'a UpstreamState,
        request: &Request<'_>,
        expected_output_tokens: u64,
        network_ms: f64,
        is_home: bool,
        objective: Objective,
        now: Millis,
    ) -> Self {
        let load = state.load(now);
        let slots = state.allowed_slots(now);
        let speed = &state.speed;
        let uncached_tokens = uncached_tokens(state, request);
        let batch = (load.requests + 1).min(slots) as f64;
        let token_ms = speed.token_ms(batch);
        let ahead_tokens = ahead_tokens(&load, &request.target);
        let remaining_tokens = load.output_tokens as f64 / load.requests.max(1) as f64;
        let turnover_ms = remaining_tokens * token_ms / slots as f64;
        let excess = (load.requests + 1).saturating_sub(slots);
        let read_ms = speed.prefill_ms(uncached_tokens as f64);
        let uncorrected_ms =
            speed.prefill_ms(ahead_tokens) + read_ms + excess as f64 * turnover_ms + token_ms;
        let first_token_ms = network_ms + uncorrected_ms * speed.correction();
        let output = expected_output_tokens as f64;
        let per_token_ms = if load.is_idle() {
            token_ms
        } else {
            speed.slope_ms()
        };
        Self {
            prediction: Prediction {
                first_token_ms,
                between_tokens_ms: token_ms,
                network_ms,
                uncached_tokens,
                busy_ms: read_ms + output * per_token_ms,
                uncorrected_ms,
            },
            has_room: has_slot(state, &load, slots, is_home, &placement_params(objective))
                && has_room_for_long(&load, slots, state, &request.target)
                && has_room_while_cold(&load, state, &request.target, now),
            wait_ms: if request.target.is_long {
                turnover_ms.max(read_ms)
            } else {
                turnover_ms
            },
            interference_ms: read_ms * load.requests as f64,
            state,
            load,
        }
    }

    /// Whether the upstream has room and the prediction is within the given shares of the target.
    fn meets(&self, target: &LatencyTarget, first_token_share: f64, between_share: f64) -> bool {
        let first_token_ms = target.first_token_ms as f64 * first_token_share;
        let between_ms = target.between_tokens_ms as f64 * between_share;
        self.has_room
            && self.prediction.first_token_ms <= first_token_ms
            && self.prediction.between_tokens_ms <= between_ms
    }

    fn score_ms(&self, params: &PlacementParams) -> f64 {
        self.prediction.first_token_ms * params.latency_weight
            + self.prediction.between_tokens_ms * params.between_weight
            + self.prediction.busy_ms * params.busy_weight
            + self.interference_ms * params.interference_weight
    }
}

fn uncached_tokens(state: &UpstreamState, request: &Request<'_>) -> u64 {
    let cached = state.prefixes.cached_tokens(request.prefix_hashes);
    request.prompt_tokens.saturating_sub(cached).max(1)
}

/// Prompt tokens that the engine prefills before this request.
///
/// Engines schedule by priority, so a short prompt waits only for other short prompts and for the
/// rest of one chunk of a long prompt.
fn ahead_tokens(load: &Load, target: &LatencyTarget) -> f64 {
    let long = load.long_prompt_tokens as f64;
    let ahead = if target.is_long {
        long
    } else {
        long.min(PREFILL_CHUNK_TOKENS)
    };
    load.prompt_tokens as f64 + ahead
}

fn has_room_for_long(
    load: &Load,
    slots: u64,
    state: &UpstreamState,
    target: &LatencyTarget,
) -> bool {
    if !target.is_long {
        return true;
    }
    let max_long = ((slots as f64 * LONG_SLOTS_SHARE) as u64).max(1);
    let backlog_ms = state.speed.prefill_ms(load.long_prompt_tokens as f64);
    let max_backlog_ms = target.first_token_ms as f64 * LONG_BACKLOG_SHARE;
    let reserve = (slots as f64 * URGENT_RESERVE_SHARE) as u64;
    load.requests + reserve < slots && load.long_requests < max_long && backlog_ms <= max_backlog_ms
}

/// Whether the upstream has a slot for one more request.
///
/// Each instance of the upstream's region may use an equal share of its slots even while the
/// upstream is full. Otherwise the instance whose requests end would always refill the slot first,
/// and the other instances would starve.
fn has_slot(
    state: &UpstreamState,
    load: &Load,
    slots: u64,
    is_home: bool,
    params: &PlacementParams,
) -> bool {
    let fair_share = slots / (1 + state.busy_peers);
    let is_below_share = is_home && state.own.requests < fair_share;
    is_below_share || load.requests < slots + (slots as f64 * params.overcommit) as u64
}

/// Whether an engine with a cold cache can take another prompt. It is sent prompts no faster than
/// it prefills them.
fn has_room_while_cold(
    load: &Load,
    state: &UpstreamState,
    target: &LatencyTarget,
    now: Millis,
) -> bool {
    let warmth = state.warmth(now);
    if warmth >= 1.0 {
        return true;
    }
    let backlog_tokens = load.prompt_tokens + load.long_prompt_tokens;
    let backlog_ms = state.speed.prefill_ms(backlog_tokens as f64);
    backlog_ms <= target.first_token_ms as f64 * COLD_BACKLOG_SHARE * warmth
}

/// Selects the best candidate, or `None` if no candidate has room. `home` holds the candidates of
/// this region and `away` those of other regions.
///
/// In order of preference:
///
/// 1. the best home candidate that meets the target with margin;
/// 2. the faster of the fastest home candidate that meets the target and the best away candidate
///    that meets it with margin;
/// 3. the fastest home candidate with room;
/// 4. the fastest away candidate with room.
pub(super) fn choose<'a, 'b>(
    home: &'b [Candidate<'a>],
    away: &'b [Candidate<'a>],
    request: &Request<'_>,
    objective: Objective,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let params = placement_params(objective);
    let meets = |candidate: &Candidate<'_>| candidate.meets(&request.target, 1.0, 1.0);
    best_that_meets(home, request, &params, rng)
        .or_else(|| {
            let home = fastest(home, meets);
            let away = best_that_meets(away, request, &params, rng);
            faster(home, away)
        })
        .or_else(|| fastest(home, |candidate| candidate.has_room))
        .or_else(|| fastest(away, |candidate| candidate.has_room))
}

fn faster<'a, 'b>(
    home: Option<&'b Candidate<'a>>,
    away: Option<&'b Candidate<'a>>,
) -> Option<&'b Candidate<'a>> {
    let (Some(near), Some(far)) = (home, away) else {
        return home.or(away);
    };
    let is_near_faster = near.prediction.first_token_ms <= far.prediction.first_token_ms;
    Some(if is_near_faster { near } else { far })
}

fn best_that_meets<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    request: &Request<'_>,
    params: &PlacementParams,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let preferred = preferred(candidates, request);
    let mut best: Option<(f64, &Candidate<'a>)> = None;
    for candidate in candidates {
        let (first_token, between) = (params.first_token_margin, params.between_margin);
        if !candidate.meets(&request.target, first_token, between) {
            continue;
        }
        let mut score_ms = candidate.score_ms(params);
        if preferred == Some(candidate.state.hash) {
            score_ms -= affinity_credit_ms(candidate, request, params);
        }
        score_ms *= 1.0 + SCORE_JITTER_SHARE * rng.random::<f64>();
        if best.is_none_or(|(best_ms, _)| score_ms < best_ms) {
            best = Some((score_ms, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Selects the candidate preferred for the prompt's cached prefix, by rendezvous hashing with
/// bounded load: the highest weight for the prompt's first block among the candidates whose load is
/// within [`AFFINITY_MAX_LOAD_FACTOR`] of the mean.
fn preferred(candidates: &[Candidate<'_>], request: &Request<'_>) -> Option<u64> {
    let prefix = *request.prefix_hashes.first()?;
    let sum: u64 = candidates.iter().map(|c| c.load.requests).sum();
    let mean = sum as f64 / candidates.len().max(1) as f64;
    let bound = (mean * AFFINITY_MAX_LOAD_FACTOR).ceil() as u64 + 1;
    candidates
        .iter()
        .filter(|candidate| candidate.load.requests <= bound)
        .map(|candidate| candidate.state.hash)
        .max_by_key(|hash| rendezvous(*hash, prefix))
}

fn affinity_credit_ms(
    candidate: &Candidate<'_>,
    request: &Request<'_>,
    params: &PlacementParams,
) -> f64 {
    let prefix_tokens = request.prefix_hashes.len() as u64 * super::PREFIX_BLOCK_TOKENS;
    let unseen = prefix_tokens.min(candidate.prediction.uncached_tokens);
    let read_ms = candidate.state.speed.prefill_ms(unseen as f64);
    read_ms * AFFINITY_CREDIT_SHARE * (params.latency_weight + params.busy_weight)
}

fn fastest<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    is_eligible: impl Fn(&Candidate<'a>) -> bool,
) -> Option<&'b Candidate<'a>> {
    candidates
        .iter()
        .filter(|candidate| is_eligible(candidate))
        .min_by(|a, b| {
            let (a, b) = (&a.prediction, &b.prediction);
            a.first_token_ms.total_cmp(&b.first_token_ms)
        })
}
