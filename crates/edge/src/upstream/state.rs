//! State of one upstream, and the rules for when it takes requests.

use super::{Health, Load};
use crate::{
    cold::{ColdGate, HealthChecks},
    hash::short_hash,
    place::PrefixCache,
    rate::MeanRate,
};
use carobwheel_core::{
    brittle::{BrittleGate, BrittleShare},
    time::Millis,
    upstream_limit::RateGate,
};
use std::{cell::Cell, collections::HashMap, net::SocketAddr, sync::Arc};

/// Time for which a draining upstream may get requests if there is no other, in milliseconds.
const DRAINING_USE_MS: u64 = 1_500;
/// Maximum age of a peer's load report, in milliseconds.
pub(super) const MAX_REPORT_AGE_MS: u64 = 1_500;
/// Assumed prefill speed of an engine without measurements, in tokens a millisecond.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Weight of one measurement in the moving average of the prefill speed.
const PREFILL_SPEED_WEIGHT: f64 = 0.1;

/// Lifecycle stage that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Takes requests.
    Ready,
    /// Takes no new requests and is about to stop.
    Draining,
}

/// Registration entry of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Remaining time for which it is cold, in milliseconds.
    pub cold_left_ms: u64,
    /// Time until it is stopped, in milliseconds, if it leaves at short notice.
    pub time_left_ms: Option<u64>,
    /// Start time of its process as Unix time in milliseconds, if known.
    pub started_unix_ms: Option<u64>,
}

/// One upstream with its load and health.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Latest registration entry.
    pub entry: UpstreamEntry,
    /// Short hash that identifies it in messages between instances.
    pub hash: u32,
    /// Region of its data centre.
    pub region: Arc<str>,
    /// Time at which it was first seen as draining or gone.
    pub leaving_at: Option<Millis>,
    /// End of the time for which it may get requests while it leaves if there is no other; `None` if it is
    /// not known since when it leaves.
    last_resort_until: Option<Millis>,
    /// Whether it has stated in a response that it is leaving; holds for the life of its process,
    /// whatever its entry says.
    pub has_stated_leaving: bool,
    /// Whether an entry has reported that it is draining; holds for the life of its process, if the entries
    /// tell one process from the next: a restored store may hold an earlier entry.
    has_reported_draining: bool,
    /// Time from which it counts as gone; set while its entry is missing.
    pub gone_at: Option<Millis>,
    /// Load by requests of this instance, without the prefill rate.
    pub own: Load,
    /// Rate of prompt tokens that this instance sends for prefill.
    pub prefill_rate: MeanRate,
    /// Load by requests of other instances and the time of its report, by the name of the instance or,
    /// for a sum, of the delegate that reports it.
    pub peer_loads: HashMap<Arc<str>, (Load, Millis)>,
    /// Health as observed by this instance.
    pub health: Health,
    /// Prompt parts that it probably has cached.
    pub cache: PrefixCache,
    /// Rate limit on this instance's requests while the upstream is cold.
    pub cold: ColdGate,
    /// Health checks of it.
    pub checks: HealthChecks,
    /// Limit that it states on the requests of all instances.
    pub limit: RateGate,
    /// Statement of it that it fails if it rejects too many requests.
    pub brittle: BrittleGate,
    /// Part of its places that this instance may use while it is brittle, and when that was determined.
    pub brittle_share: Cell<Option<(Millis, BrittleShare)>>,
    /// Moving average of its prefill speed, in tokens a millisecond.
    pub prefill_tokens_per_ms: f64,
}

impl Upstream {
    /// Upstream whose entry was read for the first time.
    pub(super) fn new(
        entry: UpstreamEntry,
        region: &Arc<str>,
        kv_cache_tokens: u64,
        now: Millis,
    ) -> Self {
        let mut cold = ColdGate::default();
        cold.set_remaining(entry.cold_left_ms, now);
        Self {
            hash: short_hash(&entry.id),
            region: Arc::clone(region),
            leaving_at: (entry.stage == Stage::Draining).then_some(now),
            last_resort_until: None,
            has_stated_leaving: false,
            has_reported_draining: entry.stage == Stage::Draining,
            gone_at: None,
            own: Load::default(),
            prefill_rate: MeanRate::default(),
            peer_loads: HashMap::new(),
            health: Health::default(),
            cache: PrefixCache::new(kv_cache_tokens),
            cold,
            checks: HealthChecks::default(),
            limit: RateGate::default(),
            brittle: BrittleGate::default(),
            brittle_share: Cell::new(None),
            prefill_tokens_per_ms: DEFAULT_PREFILL_TOKENS_PER_MS,
            entry,
        }
    }

    /// Whether `entry` was written by the same process.
    pub(super) fn is_process_of(&self, entry: &UpstreamEntry) -> bool {
        self.entry.address == entry.address
            && self.entry.service == entry.service
            && self.entry.started_unix_ms == entry.started_unix_ms
    }

    /// Applies a further entry of the same process.
    pub(super) fn update(&mut self, entry: UpstreamEntry, now: Millis) {
        self.cold.set_remaining(entry.cold_left_ms, now);
        let is_draining = entry.stage == Stage::Draining;
        self.has_reported_draining |= is_draining;
        let has_drained = self.has_reported_draining && entry.started_unix_ms.is_some();
        if is_draining || has_drained || self.has_stated_leaving {
            self.leave(now);
        } else {
            self.leaving_at = None;
        }
        self.gone_at = None;
        self.entry = entry;
    }

    /// Takes the place of another process, by an entry with this cold time. The entry may be that of an earlier
    /// process, so it does not end what the known one is assumed to be.
    pub(super) fn follow(&mut self, before: &Self, cold_left_ms: u64, now: Millis) {
        self.cold.join(before.cold);
        self.cold.set_remaining_of_other_process(cold_left_ms, now);
        if before.checks.is_suspected() && cold_left_ms == 0 {
            self.checks.suspect(now);
        }
    }

    /// Records that it is leaving, unless that is known.
    pub(super) fn leave(&mut self, now: Millis) {
        if self.leaving_at.is_none() {
            self.leaving_at = Some(now);
            self.last_resort_until = Some(now.plus(DRAINING_USE_MS));
        }
    }

    /// Drops what refers to requests and checks in progress, and the cached prompt parts, which take most of
    /// its memory.
    pub(super) fn detach(&mut self) {
        self.own = Load::default();
        self.cache.clear();
        self.peer_loads.clear();
        self.checks.abandon();
    }

    /// Hash that identifies its process in messages between instances.
    pub fn process_key(&self) -> u32 {
        let started = self.entry.started_unix_ms.unwrap_or_default();
        short_hash(&format!("{}/{started}", self.entry.id))
    }

    /// Hash that identifies its statement on rejections in the reports on limits. Builds that do not know
    /// such statements find no upstream of this hash.
    pub fn brittle_key(&self) -> u32 {
        let started = self.entry.started_unix_ms.unwrap_or_default();
        short_hash(&format!("brittle/{}/{started}", self.entry.id))
    }

    /// Load by requests of this instance, including the prefill rate.
    pub fn own_load(&self, now: Millis) -> Load {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let prefill_tokens_per_s = self.prefill_rate.per_s(now) as u32;
        Load {
            prefill_tokens_per_s,
            ..self.own
        }
    }

    /// Share of its time that the upstream spends on prefill.
    pub fn prefill_share(&self, now: Millis) -> f64 {
        f64::from(self.load(now).prefill_tokens_per_s) / (self.prefill_tokens_per_ms * 1_000.0)
    }

    /// Load by requests of all instances with a current report.
    pub fn load(&self, now: Millis) -> Load {
        self.load_without("", now)
    }

    /// Load by requests of all instances with a current report, except those of `excluded`.
    pub fn load_without(&self, excluded: &str, now: Millis) -> Load {
        let mut load = self.own_load(now);
        for (name, (other, reported_at)) in &self.peer_loads {
            if now.since(*reported_at) <= MAX_REPORT_AGE_MS && **name != *excluded {
                load += *other;
            }
        }
        load
    }

    /// Adds a measurement: a prefill of `tokens` took `ms` milliseconds.
    pub fn record_prefill_speed(&mut self, tokens: f64, ms: f64) {
        let sample = (tokens / ms.max(1.0)).clamp(5.0, 200.0);
        self.prefill_tokens_per_ms += PREFILL_SPEED_WEIGHT * (sample - self.prefill_tokens_per_ms);
    }

    /// Records that it has stated that it is leaving. Returns true if that is news.
    pub fn state_leaving(&mut self, now: Millis) -> bool {
        self.leave(now);
        !std::mem::replace(&mut self.has_stated_leaving, true)
    }

    /// Whether it takes new requests. A draining upstream does so only for a short time, and only
    /// as the last resort.
    pub fn accepts_requests(&self, is_last_resort: bool, now: Millis) -> bool {
        match self.leaving_at {
            None => true,
            Some(_) => is_last_resort && self.last_resort_until.is_some_and(|until| now < until),
        }
    }
}
