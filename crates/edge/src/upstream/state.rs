//! The upstreams by identifier, with the decisions about when one may be used.

use super::{Health, Load};
use crate::{cold::ColdGate, hash::short_hash, place::PrefixCache, rate::MeanRate};
use carobwheel_core::time::Millis;
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Time for which an entry may be missing after the store was away, in milliseconds.
const RETURN_GRACE_MS: u64 = 2_300;
/// Time for which a leaving upstream may still get requests if there is no other, in milliseconds.
const LEAVING_USE_MS: u64 = 1_500;
/// Age of a peer's report of its work after which it no longer counts, in milliseconds.
const REPORT_AGE_MS: u64 = 1_500;
/// Prompt tokens that an engine reads in a millisecond, before any measurement.
const START_TOKENS_PER_MS: f64 = 40.0;
/// Weight of one measurement of the reading speed.
const SPEED_WEIGHT: f64 = 0.1;

/// Whether an upstream takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Takes requests.
    Ready,
    /// Is leaving.
    Draining,
}

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes part.
    pub stage: Stage,
    /// How much longer it stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// Time until it is gone, in milliseconds, where it leaves at short notice.
    pub time_left_ms: Option<u64>,
    /// Its start in civil time, in milliseconds, where it is told.
    pub started_unix_ms: Option<u64>,
}

/// Why an upstream is used or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It may be used.
    Usable,
    /// It is leaving or gone.
    Leaving,
    /// It was ejected after failures.
    Ejected,
    /// Its data centre is evacuated.
    Evacuated,
    /// Its version must not be used.
    Version,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it said last.
    pub entry: UpstreamEntry,
    /// Short name of it in messages between instances.
    pub hash: u32,
    /// Region that it stands in.
    pub region: Arc<str>,
    /// When it was first seen as leaving or gone.
    pub leaving_at: Option<Millis>,
    /// Its entry is missing; it counts as gone then.
    pub gone_at: Option<Millis>,
    /// Work of this instance.
    pub own: Load,
    /// Rate of prompt tokens that this instance sends.
    pub prefill_rate: MeanRate,
    /// Work of other instances, by their names, and when it was reported.
    pub peer_loads: HashMap<Arc<str>, (Load, Millis)>,
    /// Health as this instance has seen it.
    pub health: Health,
    /// Parts of prompts that it probably holds.
    pub cache: PrefixCache,
    /// Bound on requests while it is cold.
    pub cold: ColdGate,
    /// Prompt tokens that it reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
}

impl Upstream {
    /// Work of this instance, with its rate.
    pub fn own_load(&self, now: Millis) -> Load {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let prefill_tokens_per_s = self.prefill_rate.per_s(now) as u32;
        Load {
            prefill_tokens_per_s,
            ..self.own
        }
    }

    /// Part of the time that the upstream spends reading prompts.
    pub fn prefill_share(&self, now: Millis) -> f64 {
        f64::from(self.load(now).prefill_tokens_per_s) / (self.prefill_tokens_per_ms * 1_000.0)
    }

    /// Work of all instances that is known at `now`.
    pub fn load(&self, now: Millis) -> Load {
        let mut load = self.own_load(now);
        for (other, reported_at) in self.peer_loads.values() {
            if now.since(*reported_at) <= REPORT_AGE_MS {
                load += *other;
            }
        }
        load
    }

    /// Takes note that `tokens` were read within `ms` milliseconds.
    pub fn record_prefill_speed(&mut self, tokens: f64, ms: f64) {
        let sample = (tokens / ms.max(1.0)).clamp(5.0, 200.0);
        self.prefill_tokens_per_ms += SPEED_WEIGHT * (sample - self.prefill_tokens_per_ms);
    }

    /// Whether it takes new requests; a leaving one only for a short time and as the last resort.
    pub fn accepts_requests(&self, is_last_resort: bool, now: Millis) -> bool {
        match self.leaving_at {
            None => true,
            Some(at) => is_last_resort && now.since(at) < LEAVING_USE_MS,
        }
    }
}

/// All upstreams that are known.
#[derive(Clone, Debug, Default)]
pub struct Upstreams {
    /// Upstreams by identifier.
    pub by_id: HashMap<Arc<str>, Upstream>,
}

impl Upstreams {
    /// Takes note of an entry. `memory_tokens` is the size of its cache, 0 where it has none.
    /// Returns true if anything changed that concerns requests.
    pub fn update_entry(
        &mut self,
        entry: UpstreamEntry,
        region: &Arc<str>,
        kv_cache_tokens: u64,
        now: Millis,
    ) -> bool {
        let leaving_at = (entry.stage == Stage::Draining).then_some(now);
        let is_same_life = |known: &Upstream| {
            known.entry.address == entry.address
                && known.entry.service == entry.service
                && known.entry.started_unix_ms == entry.started_unix_ms
        };
        if let Some(known) = self
            .by_id
            .get_mut(&entry.id)
            .filter(|known| is_same_life(known))
        {
            let is_change = known.entry != entry || known.gone_at.is_some();
            known.cold.set_remaining(entry.cold_left_ms, now);
            known.leaving_at = leaving_at.map(|at| known.leaving_at.unwrap_or(at));
            known.gone_at = None;
            known.entry = entry;
            return is_change;
        }
        let mut cold = ColdGate::default();
        cold.set_remaining(entry.cold_left_ms, now);
        let upstream = Upstream {
            hash: short_hash(&entry.id),
            region: Arc::clone(region),
            leaving_at,
            gone_at: None,
            own: Load::default(),
            prefill_rate: MeanRate::default(),
            peer_loads: HashMap::new(),
            health: Health::default(),
            cache: PrefixCache::new(kv_cache_tokens),
            cold,
            prefill_tokens_per_ms: START_TOKENS_PER_MS,
            entry,
        };
        self.by_id.insert(Arc::clone(&upstream.entry.id), upstream);
        true
    }

    /// Takes note that the entry of `id` is gone. After an outage of the store it has a short time
    /// to come back.
    pub fn entry_removed(&mut self, id: &str, is_after_outage: bool, now: Millis) {
        let Some(upstream) = self.by_id.get_mut(id) else {
            return;
        };
        if is_after_outage && upstream.leaving_at.is_none() {
            upstream.gone_at.get_or_insert(now.plus(RETURN_GRACE_MS));
        } else {
            upstream.leaving_at.get_or_insert(now);
            upstream.gone_at = Some(now);
        }
    }

    /// Forgets upstreams that are gone and have no work left. Returns their identifiers.
    pub fn sweep(&mut self, now: Millis) -> Vec<Arc<str>> {
        for upstream in self.by_id.values_mut() {
            if upstream.gone_at.is_some_and(|at| now >= at) {
                upstream.leaving_at.get_or_insert(now);
            }
            upstream
                .peer_loads
                .retain(|_, (_, at)| now.since(*at) <= REPORT_AGE_MS);
        }
        let is_over = |upstream: &Upstream| {
            upstream.gone_at.is_some_and(|at| now >= at) && upstream.own.requests == 0
        };
        let over: Vec<_> = self
            .by_id
            .values()
            .filter(|upstream| is_over(upstream))
            .map(|upstream| Arc::clone(&upstream.entry.id))
            .collect();
        for id in &over {
            self.by_id.remove(id);
        }
        over
    }
}
