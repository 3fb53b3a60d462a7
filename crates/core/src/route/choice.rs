//! Prediction for one candidate and the choice between candidates.

use super::affinity::rendezvous;
use super::objective::{knobs, Knobs};
use super::upstream::UpstreamState;
use super::{LatencyTarget, Load, Request};
use crate::document::Objective;
use crate::time::Millis;
use rand::Rng;

/// Share of an engine's slots that long requests leave free, so that urgent ones find one at once.
const URGENT_RESERVE: f64 = 0.03125;
/// Share of an engine's slots that long requests may take.
const LONG_SLOTS_SHARE: f64 = 0.75;
/// Share of a long class's first-token target that prompts ahead of it may take.
const LONG_BACKLOG_SHARE: f64 = 0.5;
/// Share of a first-token target that prompts ahead may take on an engine with a cold cache; grows
/// with its warmth.
const COLD_BACKLOG_SHARE: f64 = 0.5;
/// Long prompt that an engine reads between two tokens of others, in tokens.
const CHUNK_TOKENS: f64 = 512.0;
/// An engine may exceed the mean load of the candidates by this factor for the sake of its cache.
const AFFINITY_BOUND: f64 = 1.25;
/// Share of the prompt's prefix that the preferred engine is credited with before it is seen there.
const AFFINITY_CREDIT: f64 = 0.5;
/// Random part of a score, so that instances with the same stale view do not choose alike.
const JITTER: f64 = 0.05;

/// What a placement is expected to give.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prediction {
    /// Time to the first token, network included, in milliseconds.
    pub first_token_ms: f64,
    /// Time between two tokens, in milliseconds.
    pub between_tokens_ms: f64,
    /// Network delay there and back, in milliseconds.
    pub network_ms: f64,
    /// Prompt that is not in the engine's cache, in tokens.
    pub uncached_tokens: u64,
    /// Time by which the placement lengthens the work of the engine, in milliseconds.
    pub busy_ms: f64,
    /// First token without the network and the measured correction, in milliseconds.
    pub(super) uncorrected_ms: f64,
}

/// An upstream that may serve the request.
pub(super) struct Candidate<'a> {
    pub(super) state: &'a UpstreamState,
    pub(super) prediction: Prediction,
    pub(super) load: Load,
    pub(super) has_room: bool,
    /// Predicted time until a slot is free, in milliseconds.
    pub(super) wait_ms: f64,
    /// Time that others on the engine are held up, summed over them, in milliseconds.
    harm_ms: f64,
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
        let slots = state.open_slots(now);
        let speed = &state.speed;
        let uncached_tokens = uncached_tokens(state, request);
        let batch = (load.requests + 1).min(slots) as f64;
        let token_ms = speed.token_ms(batch);
        let ahead_tokens = ahead_tokens(&load, &request.target);
        let remaining_tokens = load.output_tokens as f64 / load.requests.max(1) as f64;
        let turnover_ms = remaining_tokens * token_ms / slots as f64;
        let over = (load.requests + 1).saturating_sub(slots);
        let read_ms = speed.prefill_ms(uncached_tokens as f64);
        let uncorrected_ms =
            speed.prefill_ms(ahead_tokens) + read_ms + over as f64 * turnover_ms + token_ms;
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
            has_room: has_slot(state, &load, slots, is_home, &knobs(objective))
                && has_room_for_long(&load, slots, state, &request.target)
                && has_room_while_cold(&load, state, &request.target, now),
            wait_ms: if request.target.is_long {
                turnover_ms.max(read_ms)
            } else {
                turnover_ms
            },
            harm_ms: read_ms * load.requests as f64,
            state,
            load,
        }
    }

    /// Whether the prediction uses up no more than these shares of the target.
    fn meets(&self, target: &LatencyTarget, first_token_share: f64, between_share: f64) -> bool {
        let first_token_ms = target.first_token_ms as f64 * first_token_share;
        let between_ms = target.between_tokens_ms as f64 * between_share;
        self.has_room
            && self.prediction.first_token_ms <= first_token_ms
            && self.prediction.between_tokens_ms <= between_ms
    }

    fn score_ms(&self, knobs: &Knobs) -> f64 {
        self.prediction.first_token_ms * knobs.latency_weight
            + self.prediction.between_tokens_ms * knobs.between_weight
            + self.prediction.busy_ms * knobs.busy_weight
            + self.harm_ms * knobs.harm_weight
    }
}

fn uncached_tokens(state: &UpstreamState, request: &Request<'_>) -> u64 {
    let cached = state.prefixes.cached_tokens(request.prefix_hashes);
    request.prompt_tokens.saturating_sub(cached).max(1)
}

/// Prompt tokens that the engine reads before this request's: engines honour priorities, so a short
/// prompt waits for short ones and for the rest of one chunk only.
fn ahead_tokens(load: &Load, target: &LatencyTarget) -> f64 {
    let long = load.long_prompt_tokens as f64;
    let ahead = if target.is_long {
        long
    } else {
        long.min(CHUNK_TOKENS)
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
    let most = ((slots as f64 * LONG_SLOTS_SHARE) as u64).max(1);
    let backlog_ms = state.speed.prefill_ms(load.long_prompt_tokens as f64);
    let most_backlog_ms = target.first_token_ms as f64 * LONG_BACKLOG_SHARE;
    let reserve = (slots as f64 * URGENT_RESERVE) as u64;
    load.requests + reserve < slots && load.long_requests < most && backlog_ms <= most_backlog_ms
}

/// Whether the upstream takes one more request. Instances of the upstream's region may each have an equal part of its slots
/// on it even while it is full: otherwise the instance whose requests end would always be the one
/// that fills the slot again, and its peers would starve.
fn has_slot(state: &UpstreamState, load: &Load, slots: u64, is_home: bool, knobs: &Knobs) -> bool {
    let part = slots / (1 + state.busy_peers);
    let is_below_part = is_home && state.own.requests < part;
    is_below_part || load.requests < slots + (slots as f64 * knobs.overcommit) as u64
}

/// An engine with a cold cache is given prompts no faster than it reads them.
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

/// The best candidate: first one at home that meets the target with margin, then the faster of one at
/// home that meets it at all and one elsewhere that meets it with margin, then the fastest at home
/// with room, then the fastest elsewhere. None if none has room.
pub(super) fn choose<'a, 'b>(
    home: &'b [Candidate<'a>],
    away: &'b [Candidate<'a>],
    request: &Request<'_>,
    objective: Objective,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let knobs = knobs(objective);
    let meets = |candidate: &Candidate<'_>| candidate.meets(&request.target, 1.0, 1.0);
    best_that_meets(home, request, &knobs, rng)
        .or_else(|| {
            let home = fastest(home, meets);
            let away = best_that_meets(away, request, &knobs, rng);
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
    knobs: &Knobs,
    rng: &mut impl Rng,
) -> Option<&'b Candidate<'a>> {
    let preferred = preferred(candidates, request);
    let mut best: Option<(f64, &Candidate<'a>)> = None;
    for candidate in candidates {
        let (first_token, between) = (knobs.first_token_margin, knobs.between_margin);
        if !candidate.meets(&request.target, first_token, between) {
            continue;
        }
        let mut score_ms = candidate.score_ms(knobs);
        if preferred == Some(candidate.state.hash) {
            score_ms -= credit_ms(candidate, request, knobs);
        }
        score_ms *= 1.0 + JITTER * rng.random::<f64>();
        if best.is_none_or(|(best_ms, _)| score_ms < best_ms) {
            best = Some((score_ms, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// Rendezvous hashing with bounded load: the candidate with the highest weight for the prompt's
/// first block that does not exceed the mean load by much.
fn preferred(candidates: &[Candidate<'_>], request: &Request<'_>) -> Option<u64> {
    let prefix = *request.prefix_hashes.first()?;
    let sum: u64 = candidates.iter().map(|c| c.load.requests).sum();
    let mean = sum as f64 / candidates.len().max(1) as f64;
    let bound = (mean * AFFINITY_BOUND).ceil() as u64 + 1;
    candidates
        .iter()
        .filter(|candidate| candidate.load.requests <= bound)
        .map(|candidate| candidate.state.hash)
        .max_by_key(|hash| rendezvous(*hash, prefix))
}

fn credit_ms(candidate: &Candidate<'_>, request: &Request<'_>, knobs: &Knobs) -> f64 {
    let prefix_tokens = request.prefix_hashes.len() as u64 * super::PREFIX_BLOCK_TOKENS;
    let unseen = prefix_tokens.min(candidate.prediction.uncached_tokens);
    let read_ms = candidate.state.speed.prefill_ms(unseen as f64);
    read_ms * AFFINITY_CREDIT * (knobs.latency_weight + knobs.busy_weight)
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
