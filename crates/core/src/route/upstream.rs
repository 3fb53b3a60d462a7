//! What a router knows of one upstream.

use super::affinity::{self, PrefixView};
use super::speed::Speed;
use super::{Load, Requirement, UpstreamReport};
use crate::document::{Serves, Upstream};
use crate::time::Millis;

/// Time over which an upstream that comes back is given its full work, in milliseconds.
pub const SLOW_START_MS: u64 = 20_000;
/// Share of its work that an upstream gets at the start of the ramp.
const RAMP_START: f64 = 0.15;
/// Age at which an upstream's own report no longer counts, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 4_000;
/// Prompt tokens that a plain service reads in a second; its calls have no prompt.
const SERVICE_TOKENS_PER_S: u64 = 1_000_000;

/// Where the news of an upstream's leaving came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// The configuration document.
    Document,
    /// The upstream's own report or refusal.
    Upstream,
    /// The platform's live list.
    LiveList,
    /// Another instance.
    Gossip,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) spec: Upstream,
    pub(super) hash: u64,
    pub(super) own: Load,
    pub(super) peers: Load,
    /// Peers that have work on the upstream.
    pub(super) busy_peers: u64,
    pub(super) report: Option<UpstreamReport>,
    pub(super) speed: Speed,
    pub(super) prefixes: PrefixView,
    pub(super) registration: u64,
    /// The document says that the upstream leaves, or no longer names it.
    pub(super) is_leaving_by_document: bool,
    /// Any other source has said so of the current registration.
    pub(super) is_leaving_by_news: bool,
    pub(super) is_ejected: bool,
    /// When the upstream last started anew; its cache was cold then.
    pub(super) started_at: Option<Millis>,
    /// When its last ejection ended.
    pub(super) readmitted_at: Option<Millis>,
}

impl UpstreamState {
    pub(super) fn new(spec: &Upstream) -> Self {
        Self {
            hash: affinity::hash(0, spec.id.as_str().as_bytes()),
            own: Load::default(),
            peers: Load::default(),
            busy_peers: 0,
            report: None,
            speed: speed_of(&spec.serves),
            prefixes: PrefixView::default(),
            registration: 0,
            is_leaving_by_document: spec.leaving,
            is_leaving_by_news: false,
            is_ejected: false,
            started_at: None,
            readmitted_at: None,
            spec: spec.clone(),
        }
    }

    /// Short hash that stands for the upstream in digests.
    pub(super) fn short_hash(&self) -> [u8; 4] {
        let bytes = self.hash.to_be_bytes();
        [bytes[0], bytes[1], bytes[2], bytes[3]]
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving_by_document || self.is_leaving_by_news
    }

    pub(super) fn serves(&self, requirement: &Requirement<'_>) -> bool {
        match (&self.spec.serves, requirement) {
            (
                Serves::Engine {
                    model: has_model,
                    version: has_version,
                    ..
                },
                Requirement::Model { model, version },
            ) => has_model == *model && has_version == *version,
            (Serves::Service { service: has, .. }, Requirement::Service(service)) => {
                has == *service
            }
            _ => false,
        }
    }

    /// Requests that the upstream serves at the same time, in full health.
    pub(super) fn slots(&self) -> u64 {
        match &self.spec.serves {
            Serves::Engine { batch_slots, .. } => u64::from(*batch_slots),
            Serves::Service { request_slots, .. } => u64::from(*request_slots),
        }
    }

    /// Requests that the upstream is given at the same time now: all slots, or a growing part of
    /// them after an ejection, since it may still be faulty.
    pub(super) fn open_slots(&self, now: Millis) -> u64 {
        let slots = self.slots();
        let share = ramp(self.readmitted_at, now);
        ((slots as f64 * share) as u64).clamp(1, slots)
    }

    /// How far the cache has filled since the upstream started: 1 when it is warm.
    pub(super) fn warmth(&self, now: Millis) -> f64 {
        ramp(self.started_at, now)
    }

    /// The upstream has started anew with a cold cache.
    pub(super) fn restart(&mut self, now: Millis) {
        self.started_at = Some(now);
        self.prefixes.clear();
    }

    /// Work in flight: own work is exact, that of others is the larger of what peers say and what
    /// the upstream's report leaves unexplained. The report fades with its age.
    pub(super) fn load(&self, now: Millis) -> Load {
        let mut load = self.own + self.peers;
        let Some(report) = self.report else {
            return load;
        };
        let age_ms = now.since(report.measured_at);
        if age_ms >= REPORT_LIFETIME_MS {
            return load;
        }
        let fresh = 1.0 - age_ms as f64 / REPORT_LIFETIME_MS as f64;
        let faded = |reported: u64, known: u64| {
            (reported.saturating_sub(known) as f64 * fresh).round() as u64
        };
        let requests = faded(report.requests, load.requests);
        let known_tokens = load.prompt_tokens + load.long_prompt_tokens;
        let prompt_tokens = faded(report.prompt_tokens, known_tokens);
        load.requests += requests;
        load.long_prompt_tokens += prompt_tokens;
        load
    }
}

fn speed_of(serves: &Serves) -> Speed {
    match serves {
        Serves::Engine {
            prefill_tokens_per_s,
            ..
        } => Speed::new(*prefill_tokens_per_s),
        Serves::Service { .. } => Speed::new(SERVICE_TOKENS_PER_S),
    }
}

/// Share of the full work at `now` for an upstream that came back at `since`.
fn ramp(since: Option<Millis>, now: Millis) -> f64 {
    let Some(since) = since else {
        return 1.0;
    };
    let progress = now.since(since) as f64 / SLOW_START_MS as f64;
    (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
}
