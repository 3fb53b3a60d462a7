//! What the cached parts of a prompt save at an engine, against the wait there.
//!
//! An instance sees only its own share of a region's requests, so most of what an engine has cached
//! was sent by others. The estimate therefore combines the instance's own record with the demand
//! for a part and the share of it that goes to the engine when all instances prefer the same home
//! engines for a subject. A part counts as cached if a request with it probably came within the
//! time for which the engine keeps unused parts.

/// Tokens of shared parts from which a prompt has home engines. A shorter prefix is read in a few
/// milliseconds on any engine, and its many requests would crowd the home engines of long prompts.
pub(super) const MIN_HOME_TOKENS: u32 = 512;
/// Share of a subject's requests that reach its home engines, as assumed for the estimate.
const HOME_REQUEST_SHARE: f64 = 0.85;
/// Share of a subject's requests that go to the next engine in rank after the homes.
const NEXT_REQUEST_SHARE: f64 = 0.1;
/// Share of an engine's time that the unshared parts of one subject's prompts may take before the
/// subject gets a further home.
const MAX_SUBJECT_TIME_SHARE: f64 = 0.2;
/// Upper bound on the time for which an engine is taken to keep unused parts, in milliseconds.
const MAX_RETENTION_MS: f64 = 60_000.0;
/// Part of the retention time by which it may be wrong in either direction.
const RETENTION_ERROR: f64 = 0.25;
/// Weight of the tokens that the next request with the same subject saves, against those of this
/// one.
const NEXT_SAVING_WEIGHT: f64 = 1.0;
/// Lower bound on the weight of engine time for a prompt's uncached tokens.
pub(super) const MIN_PREFILL_WEIGHT: f64 = 1.5;
/// Upper bound on that weight, so that in an overloaded region requests do not wait for a cached copy
/// for as long as the whole prompt takes on an idle engine.
const MAX_PREFILL_WEIGHT: f64 = 4.0;

/// Weight of engine time for a prompt's uncached tokens, in a region whose engines spend
/// `used_share` of the time that they may spend on prefill.
///
/// Additional work delays the requests that arrive before the queue is empty again; their number is
/// in proportion to 1 / (1 - load).
pub fn prefill_weight(used_share: f64) -> f64 {
    let spare_share = (1.0 - used_share).max(f64::MIN_POSITIVE);
    (1.0 / spare_share).clamp(MIN_PREFILL_WEIGHT, MAX_PREFILL_WEIGHT)
}

/// A shared part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
    /// Requests of the region with this part, per second.
    pub per_s: f64,
}

/// What the region's engines, on average, do for prompts of this kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionLoad {
    /// Number of engines.
    pub engines: usize,
    /// Prefill speed, in tokens a millisecond.
    pub tokens_per_ms: f64,
    /// Prompt tokens that an engine prefills, per second.
    pub new_tokens_per_s: f64,
    /// Part in use of the time that engines may spend on prefill.
    pub used_share: f64,
}

/// Shared parts of a prompt and the number of home engines of its subject.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedPrompt {
    parts: Vec<SharedPart>,
    homes: usize,
}

/// Facts about an engine that decide what it has cached.
pub struct EngineMemory<'a> {
    /// Rank among the engines for the prompt's subject; `None` if other instances do not use it.
    pub rank: Option<usize>,
    /// KV cache that running requests leave free, in tokens.
    pub free_tokens: f64,
    /// Prompt tokens that the engine prefills, per second.
    pub new_tokens_per_s: f64,
    /// Time since this instance last sent a part to the engine, in milliseconds, if it ever did.
    pub idle_ms: &'a dyn Fn(u64) -> Option<u64>,
}

/// Expected reuse of a prompt's shared parts at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReuseEstimate {
    /// Tokens that are probably cached.
    pub cached_tokens: f64,
    /// Tokens that the next prompt with the subject probably finds cached because this one was sent
    /// here.
    pub next_tokens: f64,
    /// Time for which the engine keeps unused parts, in milliseconds.
    pub retention_ms: f64,
}

impl SharedPrompt {
    /// Shared parts of a prompt with `own_tokens` others, in a region with this load.
    pub fn new(parts: Vec<SharedPart>, own_tokens: u32, region: &RegionLoad) -> Self {
        let homes = home_count(&parts, own_tokens, region);
        Self { parts, homes }
    }

    /// Number of home engines; 0 if the prompt shares too little for it to matter.
    pub fn homes(&self) -> usize {
        self.homes
    }

    /// Estimates the reuse of the parts at an engine.
    pub fn estimate(&self, engine: &EngineMemory<'_>, region: &RegionLoad) -> ReuseEstimate {
        let retention_ms = retention_ms(engine, region);
        let mut estimate = ReuseEstimate {
            retention_ms,
            ..ReuseEstimate::default()
        };
        // An engine that keeps a part also keeps the parts before it, which are used with it.
        let mut later_probability: f64 = 0.0;
        for (at, part) in self.parts.iter().enumerate().rev() {
            let share = engine
                .rank
                .map_or(0.0, |rank| self.request_share(at, rank, region));
            let expected_uses = part.per_s * share * retention_ms / 1_000.0;
            let by_others = 1.0 - (-expected_uses).exp();
            let idle_ms = (engine.idle_ms)(part.id);
            let by_own = idle_ms.map_or(0.0, |idle_ms| kept_probability(idle_ms, retention_ms));
            let probability = by_others.max(by_own).max(later_probability);
            later_probability = probability;
            estimate.cached_tokens += probability * f64::from(part.tokens);
            if self.is_subject(at) {
                let returns = 1.0 - (-part.per_s * retention_ms / 1_000.0).exp();
                estimate.next_tokens = share * returns * f64::from(part.tokens);
            }
        }
        estimate
    }

    /// Whether the part names the subject, by which prompts are sent to home engines.
    fn is_subject(&self, at: usize) -> bool {
        self.homes > 0 && at + 1 == self.parts.len()
    }

    /// Share of the requests with the part at index `at` that go to the engine of this rank. The
    /// subjects that share an earlier part have different homes.
    fn request_share(&self, at: usize, rank: usize, region: &RegionLoad) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let (homes, engines) = (self.homes as f64, region.engines.max(1) as f64);
        if !self.is_subject(at) || region.engines <= self.homes {
            return 1.0 / engines;
        }
        match rank {
            rank if rank < self.homes => HOME_REQUEST_SHARE / homes,
            rank if rank == self.homes => NEXT_REQUEST_SHARE,
            _ => (1.0 - HOME_REQUEST_SHARE - NEXT_REQUEST_SHARE) / (engines - homes - 1.0).max(1.0),
        }
    }
}

/// Cost of the prompt's engine time to other requests, less what the next request with the subject
/// saves, in milliseconds.
pub fn shared_cost_ms(unread_tokens: f64, reuse: &ReuseEstimate, region: &RegionLoad) -> f64 {
    let weight = prefill_weight(region.used_share);
    let beyond_own_wait = unread_tokens * (weight - MIN_PREFILL_WEIGHT);
    let saved_for_next = reuse.next_tokens * weight * NEXT_SAVING_WEIGHT;
    (beyond_own_wait - saved_for_next) / region.tokens_per_ms
}

/// Number of home engines that the demand for a prompt's subject needs.
fn home_count(parts: &[SharedPart], own_tokens: u32, region: &RegionLoad) -> usize {
    let shared_tokens: u32 = parts.iter().map(|part| part.tokens).sum();
    let Some(subject) = parts.last().filter(|_| shared_tokens >= MIN_HOME_TOKENS) else {
        return 0;
    };
    let engine_time_share =
        subject.per_s * f64::from(own_tokens) / (region.tokens_per_ms * 1_000.0);
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let homes = (engine_time_share / MAX_SUBJECT_TIME_SHARE).ceil() as usize;
    homes.clamp(1, region.engines.max(1))
}

/// Time for which an engine keeps unused parts, in milliseconds.
///
/// The rate of new tokens is the mean of the engine's and the region's: over the last second alone
/// an engine that has just received a prompt would seem to forget its parts sooner than others.
fn retention_ms(engine: &EngineMemory<'_>, region: &RegionLoad) -> f64 {
    let new_tokens_per_s = (engine.new_tokens_per_s + region.new_tokens_per_s) / 2.0;
    let kept_tokens = engine.free_tokens.max(0.0);
    (kept_tokens / new_tokens_per_s.max(1.0) * 1_000.0).min(MAX_RETENTION_MS)
}

/// Probability that an engine still has a part that was last used `idle_ms` milliseconds ago.
fn kept_probability(idle_ms: u64, retention_ms: f64) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let idle_share = idle_ms as f64 / retention_ms.max(1.0);
    ((1.0 + RETENTION_ERROR - idle_share) / (2.0 * RETENTION_ERROR)).clamp(0.0, 1.0)
}
