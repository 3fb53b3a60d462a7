//! The choice among the upstreams of one service in one region.

use super::Part;
use crate::hash::rendezvous;
use crate::upstream::{Load, Upstream, Upstreams};
use carobwheel_core::time::Millis;
use std::{cmp::Reverse, collections::HashSet, sync::Arc};

/// Upstreams that are looked at for what their cache probably holds.
const PREFERRED: usize = 3;
/// Part of an engine's memory that requests may fill before others wait.
const MEMORY_PART: f64 = 0.92;
/// Part of a shared prefix that counts as held at the upstream that all instances prefer for it.
const PREFERRED_PART: f64 = 0.6;
/// Weight of reading a prompt's own tokens against waiting for those of others: what is read here
/// also delays whoever comes next.
const REREAD_WEIGHT: f64 = 1.5;
/// Time that reading a prompt takes besides its tokens, in milliseconds.
const FIRST_STEP_MS: f64 = 16.0;
/// How much the steps of running requests slow reading down, per running request and slot.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Milliseconds that one more running request adds to the others' steps, as a preference.
const SPREAD_MS: f64 = 0.6;
/// Time after which one of the running requests of a full engine ends, in milliseconds, over its
/// slots.
const TURN_MS: f64 = 2_000.0;
/// Time to an answer of a service that nothing is known of, in milliseconds.
const START_ANSWER_MS: f64 = 20.0;
/// Part of its time that an engine may read prompts before requests of a lower rank wait. The rest
/// makes the tokens of answers that run already.
const YIELDING_READING_PART: f64 = 0.5;
/// Part of its time that an engine may read prompts before all requests wait.
const READING_PART: f64 = 0.9;
/// Wait that a region reports while all of its engines are crowded, in milliseconds.
const CROWDED_MS: f64 = 3_000.0;
/// Penalty for each moving share of failures, in milliseconds.
const ERROR_MS: f64 = 200.0;

/// A request as far as placing is concerned.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Parts of its prompt, in order.
    pub parts: Vec<Part>,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_tokens: u32,
    /// It yields to requests of a higher rank at the same upstreams.
    pub is_yielding: bool,
}

/// What may be used at the moment.
pub struct Rules<'a> {
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
    pub memory_tokens: u64,
    /// Upstreams that have had the request.
    pub tried: &'a [Arc<str>],
    /// Upstreams that are looked at besides the preferred ones; the draws differ between
    /// instances, so that many of them do not all choose the same one. 0: all are looked at.
    pub sampled: usize,
}

/// The upstream that takes a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Predicted time to the first byte, in milliseconds.
    pub wait_ms: f64,
    /// Work that the request adds.
    pub load: Load,
}

/// Outcome of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An upstream was found.
    Placed(Placed),
    /// All upstreams read prompts for as much of their time as they should.
    Crowded,
    /// No upstream may be used.
    NoUpstream,
}

/// Chooses the upstream with the shortest predicted time to the first byte.
pub fn choose(upstreams: &Upstreams, job: &Job, rules: &Rules<'_>, now: Millis) -> Choice {
    for is_last_resort in [false, true] {
        let usable = usable(upstreams, rules, is_last_resort, now);
        let has_any = !usable.is_empty();
        let roomy: Vec<&Upstream> = usable
            .into_iter()
            .filter(|up| has_room(up, job, rules, now))
            .collect();
        let looked_at = sample(roomy, job, rules.sampled);
        match shortest(&looked_at, job, rules, now) {
            Some(placed) => return Choice::Placed(placed),
            None if has_any => return Choice::Crowded,
            None => {}
        }
    }
    Choice::NoUpstream
}

/// Shortest wait for a request of no size in the region, in milliseconds; `None` without upstreams.
pub fn region_wait_ms(upstreams: &Upstreams, rules: &Rules<'_>, now: Millis) -> Option<f64> {
    let usable = usable(upstreams, rules, false, now);
    let job = Job {
        is_yielding: true,
        ..Job::default()
    };
    if !usable.is_empty() && !usable.iter().any(|up| has_room(up, &job, rules, now)) {
        return Some(CROWDED_MS);
    }
    let waits = usable
        .iter()
        .map(|up| wait_ms(up, &Job::default(), 0.0, rules, now));
    waits.min_by(f64::total_cmp)
}

fn usable<'a>(
    upstreams: &'a Upstreams,
    rules: &Rules<'_>,
    is_last_resort: bool,
    now: Millis,
) -> Vec<&'a Upstream> {
    let candidates: Vec<&Upstream> = upstreams
        .by_id
        .values()
        .filter(|up| &*up.seen.service == rules.service && &*up.region == rules.region)
        .filter(|up| !rules.tried.contains(&up.seen.id))
        .filter(|up| !rules.evacuated.contains(&up.seen.data_centre))
        .filter(|up| up.is_taking(is_last_resort, now))
        .filter(|up| (rules.is_version_allowed)(&up.seen.version))
        .filter(|up| {
            !up.cold.is_cold(now) || (up.cold.is_open(now) && (rules.is_cold_user)(&up.seen.id))
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
fn sample<'a>(mut all: Vec<&'a Upstream>, job: &Job, sampled: usize) -> Vec<&'a Upstream> {
    if sampled == 0 || all.len() <= sampled + PREFERRED {
        return all;
    }
    let key = affinity_key(&job.parts);
    all.sort_by_cached_key(|up| Reverse(rendezvous(&up.seen.id, key)));
    let mut chosen: Vec<&Upstream> = all.drain(..PREFERRED).collect();
    for _ in 0..sampled {
        let at = rand::random_range(0..all.len());
        chosen.push(all.swap_remove(at));
    }
    chosen
}

/// Whether the engine may read one more prompt.
fn has_room(up: &Upstream, job: &Job, rules: &Rules<'_>, now: Millis) -> bool {
    if rules.memory_tokens == 0 {
        return true;
    }
    let most = if job.is_yielding {
        YIELDING_READING_PART
    } else {
        READING_PART
    };
    up.reading_part(now) < most
}

fn shortest(usable: &[&Upstream], job: &Job, rules: &Rules<'_>, now: Millis) -> Option<Placed> {
    let key = affinity_key(&job.parts);
    let weight = |up: &Upstream| rendezvous(&up.seen.id, key);
    let preferred = usable
        .iter()
        .max_by_key(|up| weight(up))
        .map(|up| Arc::clone(&up.seen.id));
    let predicted = usable.iter().map(|up| {
        let unread = unread_tokens(up, job, preferred.as_ref() == Some(&up.seen.id));
        let wait = wait_ms(up, job, unread, rules, now);
        (up, unread, wait)
    });
    let best = predicted.min_by(|a, b| {
        let order = a.2.total_cmp(&b.2);
        order.then_with(|| weight(b.0).cmp(&weight(a.0)))
    });
    best.map(|(up, unread, wait_ms)| Placed {
        id: Arc::clone(&up.seen.id),
        wait_ms,
        load: Load {
            requests: 1,
            unread_tokens: to_u32(unread),
            memory_tokens: job.prompt_tokens.saturating_add(job.answer_tokens),
            read_per_s: 0,
        },
    })
}

/// Prompt tokens that the upstream has to read.
fn unread_tokens(up: &Upstream, job: &Job, is_preferred: bool) -> f64 {
    let prompt = f64::from(job.prompt_tokens);
    let held = f64::from(up.cache.held_prefix_tokens(&job.parts));
    let shared: u32 = job
        .parts
        .split_last()
        .map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum());
    let assumed = if is_preferred {
        PREFERRED_PART * f64::from(shared)
    } else {
        0.0
    };
    (prompt - held.max(assumed)).max(0.0)
}

fn wait_ms(up: &Upstream, job: &Job, unread: f64, rules: &Rules<'_>, now: Millis) -> f64 {
    let load = up.load(now);
    let slots = f64::from(up.seen.slots.max(1));
    let running = f64::from(load.requests);
    let errors_ms = ERROR_MS * up.health.error_share();
    if rules.memory_tokens == 0 {
        let answer_ms = up.health.time_ms().unwrap_or(START_ANSWER_MS);
        let turns = ((running + 1.0) / slots).max(0.2 + running / slots);
        return answer_ms * turns.max(1.0) + running + errors_ms;
    }
    let slowdown = 1.0 + BATCH_SLOWDOWN * running / slots;
    let reading_ms = (f64::from(load.unread_tokens) + unread * REREAD_WEIGHT) / up.tokens_per_ms
        * slowdown
        + FIRST_STEP_MS;
    let is_full = running >= slots;
    let queue_ms = if is_full {
        (running - slots + 1.0) * TURN_MS / slots
    } else {
        0.0
    };
    #[allow(clippy::cast_precision_loss)]
    let room = rules.memory_tokens as f64 * MEMORY_PART;
    let wanted =
        f64::from(load.memory_tokens) + f64::from(job.prompt_tokens) + f64::from(job.answer_tokens);
    let memory_ms = if wanted > room {
        (wanted - room) / room * TURN_MS
    } else {
        0.0
    };
    reading_ms + queue_ms.max(memory_ms) + SPREAD_MS * running + errors_ms
}

/// The part that decides where a prompt is preferably sent: the last one that is shared.
fn affinity_key(parts: &[Part]) -> u64 {
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
