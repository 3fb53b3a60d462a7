//! The choice among the upstreams of one service in one region.

use super::{cost_ms, engines_for_other_kind, pace::time_per_token_ms, JobKind, PromptPart};
use crate::{
    hash::rendezvous,
    upstream::{Load, Upstream, Upstreams},
};
use carobwheel_core::time::Millis;
use std::{cmp::Reverse, collections::HashSet, sync::Arc};

/// Upstreams that are looked at for what their cache probably holds.
const PREFERRED: usize = 3;
/// Part of an engine's memory that requests may fill before others wait.
const MEMORY_PART: f64 = 0.92;
/// Parts of a shared prefix that count as held at the upstreams that all instances prefer for it,
/// the first choice first.
const PREFERRED_PARTS: [f64; 2] = [0.9, 0.5];
/// Weight of reading a prompt's own tokens against waiting for those of others: what is read here
/// also delays whoever comes next.
const REREAD_WEIGHT: f64 = 1.5;
/// Time that reading a prompt takes besides its tokens, in milliseconds.
const FIRST_STEP_MS: f64 = 16.0;
/// How much the steps of running requests slow reading down, per running request and slot.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Time after which one of the running requests of a full engine ends, in milliseconds, over its
/// slots.
const TURN_MS: f64 = 2_000.0;
/// Time to an answer of a service that nothing is known of, in milliseconds.
const START_ANSWER_MS: f64 = 20.0;
/// Part of its time that an engine may read prompts before requests of a lower rank wait. The rest
/// makes the tokens of answers that run already.
const YIELDING_READING_PART: f64 = 0.5;
/// Part of its time that an engine may read prompts before all requests wait; the steps between
/// the chunks of prompts take the rest.
const READING_PART: f64 = 0.75;
/// Part of its aim for which a job of a lower rank may stand in an engine's queue.
const QUEUE_AIM_PART: f64 = 0.15;
/// Part of its time that an engine may read prompts where it is set apart for making answers.
const APART_READING_PART: f64 = 0.15;
/// Wait, in milliseconds, that a job avoids by going to an engine that is set apart for the other
/// kind of jobs.
const APART_MS: f64 = 400.0;
/// Penalty for each moving share of failures, in milliseconds.
const ERROR_MS: f64 = 200.0;

/// A request as far as placing is concerned.
#[derive(Clone, Debug, Default)]
pub struct InferenceJob {
    /// Parts of its prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// It yields to requests of a higher rank at the same upstreams.
    pub is_yielding: bool,
}

impl InferenceJob {
    /// Tokens of the parts that other requests may share.
    pub fn shared_tokens(&self) -> u32 {
        let shared = self
            .parts
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.tokens).sum()
    }

    /// Prompt tokens that no other request shares.
    pub fn own_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }
}

/// What may be used at the moment.
pub struct PlacementRules<'a> {
    /// Service that the request belongs to.
    pub service: &'a str,
    /// Region to look in.
    pub region: &'a str,
    /// Data centres that must get nothing.
    pub evacuated: &'a HashSet<Arc<str>>,
    /// Whether a version may be used for this request.
    pub is_version_allowed: &'a dyn Fn(&str) -> bool,
    /// Whether this instance may use a cold upstream.
    pub is_cold_user: &'a dyn Fn(&str) -> bool,
    /// Memory of each engine, in tokens; 0 where there is no bound.
    pub kv_cache_tokens: u64,
    /// Upstreams that have had the request.
    pub tried: &'a [Arc<str>],
    /// Upstreams that are looked at besides the preferred ones; the draws differ between
    /// instances, so that many of them do not all choose the same one. 0: all are looked at.
    pub sample_size: usize,
    /// Part of the engines that is set apart for long answers, if any.
    pub decode_share: Option<f64>,
}

/// The upstream that takes a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Predicted time to the first byte, in milliseconds.
    pub wait_ms: f64,
    /// The part of it that is not the reading of the request's own prompt, in milliseconds.
    pub queue_ms: f64,
    /// The wait and a part of the time for the answer, in milliseconds.
    pub cost_ms: f64,
    /// Work that the request adds.
    pub load: Load,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An upstream was found.
    Placed(Placement),
    /// All upstreams read prompts for as much of their time as they should.
    Saturated,
    /// No upstream may be used.
    NoUpstream,
}

impl Choice {
    /// The choice, or that all are crowded if the job yields and would stand in a queue that is
    /// long beside its aim: a longer queue would only make all of them late. Its own prompt does
    /// not count, so that large ones are not refused for their size.
    pub fn reject_long_queue(self, job: &InferenceJob, aim_ms: u64) -> Self {
        #[allow(clippy::cast_precision_loss)]
        let most_ms = aim_ms as f64 * QUEUE_AIM_PART;
        let yields = job.is_yielding && job.prompt_tokens > 0;
        match self {
            Self::Placed(placed) if yields && placed.queue_ms > most_ms => Self::Saturated,
            choice => choice,
        }
    }
}

/// Chooses the upstream at which the job costs least: mostly its wait for the first byte.
pub fn choose(
    upstreams: &Upstreams,
    job: &InferenceJob,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Choice {
    for is_last_resort in [false, true] {
        let usable = usable(upstreams, rules, is_last_resort, now);
        let has_any = !usable.is_empty();
        let apart = apart(&usable, job, rules);
        let is_apart = |up: &Upstream| apart.contains(&up.entry.id);
        let (others, own): (Vec<&Upstream>, Vec<&Upstream>) = usable
            .into_iter()
            .filter(|up| has_room(up, job, is_apart(up), rules, now))
            .partition(|up| is_apart(up));
        let mut looked_at = sample(own, job, rules.sample_size);
        looked_at.extend(sample(others, job, rules.sample_size));
        match cheapest(&looked_at, job, &is_apart, rules, now) {
            Some(placed) => return Choice::Placed(placed),
            None if has_any => return Choice::Saturated,
            None => {}
        }
    }
    Choice::NoUpstream
}

/// Identifiers of the engines that are set apart for other jobs than this one.
fn apart(
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

/// The upstreams that may be used at the moment.
pub(super) fn usable<'a>(
    upstreams: &'a Upstreams,
    rules: &PlacementRules<'_>,
    is_last_resort: bool,
    now: Millis,
) -> Vec<&'a Upstream> {
    let candidates: Vec<&Upstream> = upstreams
        .by_id
        .values()
        .filter(|up| &*up.entry.service == rules.service && &*up.region == rules.region)
        .filter(|up| !rules.tried.contains(&up.entry.id))
        .filter(|up| !rules.evacuated.contains(&up.entry.data_centre))
        .filter(|up| up.accepts_requests(is_last_resort, now))
        .filter(|up| (rules.is_version_allowed)(&up.entry.version))
        .filter(|up| {
            !up.cold.is_cold(now) || (up.cold.is_open(now) && (rules.is_cold_user)(&up.entry.id))
        })
        .collect();
    let sound: Vec<&Upstream> = candidates
        .iter()
        .copied()
        .filter(|up| up.health.is_usable(now))
        .collect();
    // When most were ejected, the fault is probably not theirs.
    if sound.len() * 3 >= candidates.len() && !sound.is_empty() {
        return sound;
    }
    candidates
}

/// The upstreams that are preferred for the prompt, and some others by chance.
fn sample<'a>(
    mut all: Vec<&'a Upstream>,
    job: &InferenceJob,
    sample_size: usize,
) -> Vec<&'a Upstream> {
    if sample_size == 0 || all.len() <= sample_size + PREFERRED {
        return all;
    }
    let key = affinity_key(&job.parts);
    all.sort_by_cached_key(|up| Reverse(rendezvous(&up.entry.id, key)));
    let mut chosen: Vec<&Upstream> = all.drain(..PREFERRED).collect();
    for _ in 0..sample_size {
        let at = rand::random_range(0..all.len());
        chosen.push(all.swap_remove(at));
    }
    chosen
}

/// Whether the engine may read one more prompt.
pub(super) fn has_room(
    up: &Upstream,
    job: &InferenceJob,
    is_apart: bool,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> bool {
    if rules.kv_cache_tokens == 0 {
        return true;
    }
    let most = if is_apart && job.is_yielding {
        APART_READING_PART
    } else if job.is_yielding && rules.decode_share.is_none() {
        YIELDING_READING_PART
    } else {
        READING_PART
    };
    up.prefill_share(now) < most
}

/// What a job has to expect at one upstream.
struct Predicted<'a> {
    up: &'a Upstream,
    unread_tokens: f64,
    wait_ms: f64,
    cost_ms: f64,
}

/// The upstream at which the job costs least.
fn cheapest(
    usable: &[&Upstream],
    job: &InferenceJob,
    is_apart: &dyn Fn(&Upstream) -> bool,
    rules: &PlacementRules<'_>,
    now: Millis,
) -> Option<Placement> {
    let key = affinity_key(&job.parts);
    let weight = |up: &Upstream| rendezvous(&up.entry.id, key);
    let mut preferred: Vec<&Upstream> = usable.iter().copied().filter(|up| !is_apart(up)).collect();
    preferred.sort_by_cached_key(|up| Reverse(weight(up)));
    let held_part = |up: &Upstream| {
        let choices = preferred.iter().zip(PREFERRED_PARTS);
        let mut choice = choices.filter(|(choice, _)| choice.entry.id == up.entry.id);
        choice.next().map_or(0.0, |(_, part)| part)
    };
    let predicted = usable.iter().map(|up| {
        let unread_tokens = unread_tokens(up, job, held_part(up));
        let wait_ms = wait_ms(up, job, unread_tokens, rules, now);
        let time_per_token_ms = if rules.kv_cache_tokens > 0 {
            time_per_token_ms(up, now)
        } else {
            0.0
        };
        let apart_ms = if is_apart(up) { APART_MS } else { 0.0 };
        Predicted {
            up,
            unread_tokens,
            wait_ms,
            cost_ms: cost_ms(job, wait_ms, time_per_token_ms) + apart_ms,
        }
    });
    let best = predicted.min_by(|a, b| {
        let order = a.cost_ms.total_cmp(&b.cost_ms);
        order.then_with(|| weight(b.up).cmp(&weight(a.up)))
    })?;
    Some(Placement {
        id: Arc::clone(&best.up.entry.id),
        wait_ms: best.wait_ms,
        queue_ms: wait_ms(best.up, job, 0.0, rules, now),
        cost_ms: best.cost_ms,
        load: Load {
            requests: 1,
            unread_tokens: to_u32(best.unread_tokens),
            kv_cache_tokens: job.prompt_tokens.saturating_add(job.max_output_tokens),
            prefill_tokens_per_s: 0,
        },
    })
}

/// Prompt tokens that the upstream has to read if it holds at least `held_part` of what is shared.
fn unread_tokens(up: &Upstream, job: &InferenceJob, held_part: f64) -> f64 {
    let prompt = f64::from(job.prompt_tokens);
    let held = f64::from(up.cache.cached_prefix_tokens(&job.parts));
    let assumed = held_part * f64::from(job.shared_tokens());
    (prompt - held.max(assumed)).max(0.0)
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
    let errors_ms = ERROR_MS * up.health.error_share();
    if rules.kv_cache_tokens == 0 {
        let answer_ms = up.health.first_byte_ms().unwrap_or(START_ANSWER_MS);
        let turns = ((running + 1.0) / slots).max(0.2 + running / slots);
        return answer_ms * turns.max(1.0) + running + errors_ms;
    }
    let slowdown = 1.0 + BATCH_SLOWDOWN * running / slots;
    let reading_ms = (f64::from(load.unread_tokens) + unread * REREAD_WEIGHT)
        / up.prefill_tokens_per_ms
        * slowdown
        + FIRST_STEP_MS;
    let is_full = running >= slots;
    let queue_ms = if is_full {
        (running - slots + 1.0) * TURN_MS / slots
    } else {
        0.0
    };
    #[allow(clippy::cast_precision_loss)]
    let room = rules.kv_cache_tokens as f64 * MEMORY_PART;
    let wanted = f64::from(load.kv_cache_tokens)
        + f64::from(job.prompt_tokens)
        + f64::from(job.max_output_tokens);
    let memory_ms = if wanted > room {
        (wanted - room) / room * TURN_MS
    } else {
        0.0
    };
    reading_ms + queue_ms.max(memory_ms) + errors_ms
}

/// The part that decides where a prompt is preferably sent: the last one that is shared.
fn affinity_key(parts: &[PromptPart]) -> u64 {
    match parts {
        [] => 0,
        [only] => only.id,
        [.., shared, _] => shared.id,
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_u32(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
