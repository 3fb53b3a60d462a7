//! State of one upstream as seen by a router.

use super::affinity::{self, PrefixView};
use super::restart::SuspectedEnd;
use super::speed::EngineSpeed;
use super::{Load, Requirement, UpstreamReport};
use crate::document::{Serves, Upstream};
use crate::time::Millis;

/// Duration of the slow start after a restart or an ejection, in milliseconds.
pub const SLOW_START_MS: u64 = 20_000;
/// Share of the full load that an upstream gets at the beginning of the slow start.
const SLOW_START_INITIAL_SHARE: f64 = 0.15;
/// Age at which an upstream's load report expires, in milliseconds.
const REPORT_LIFETIME_MS: u64 = 4_000;
/// Nominal prefill speed of a plain service, in tokens per second; its calls have no prompt.
const SERVICE_PREFILL_TOKENS_PER_S: u64 = 1_000_000;

/// Source of the information that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingSource {
    /// Configuration document.
    Document,
    /// Report or refusal from the upstream itself.
    Upstream,
    /// Live list of the platform.
    LiveList,
    /// Digest of another instance.
    Gossip,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) spec: Upstream,
    pub(super) hash: u64,
    pub(super) own: Load,
    pub(super) peers: Load,
    /// Number of peers that have requests on the upstream.
    pub(super) busy_peers: u64,
    pub(super) report: Option<UpstreamReport>,
    pub(super) speed: EngineSpeed,
    pub(super) prefixes: PrefixView,
    pub(super) registration: u64,
    /// Whether the document marks the upstream as leaving or no longer lists it.
    pub(super) is_leaving_by_document: bool,
    /// Whether any other source reports the current registration as leaving.
    pub(super) is_leaving_by_notice: bool,
    pub(super) is_ejected: bool,
    /// Time of the upstream's last restart, at which its cache was cold.
    pub(super) started_at: Option<Millis>,
    /// End of its process that is only suspected, until output shows that it still runs.
    pub(super) suspected_end: Option<SuspectedEnd>,
    /// Time at which its last ejection ended.
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
            speed: initial_speed(&spec.serves),
            prefixes: PrefixView::default(),
            registration: 0,
            is_leaving_by_document: spec.leaving,
            is_leaving_by_notice: false,
            is_ejected: false,
            started_at: None,
            suspected_end: None,
            readmitted_at: None,
            spec: spec.clone(),
        }
    }

    /// Short hash that identifies the upstream in digests.
    pub(super) fn short_hash(&self) -> [u8; 4] {
        let bytes = self.hash.to_be_bytes();
        [bytes[0], bytes[1], bytes[2], bytes[3]]
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving_by_document || self.is_leaving_by_notice
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
            (
                Serves::Service {
                    service: has_service,
                    ..
                },
                Requirement::Service(service),
            ) => has_service == *service,
            _ => false,
        }
    }

    /// Configured number of requests that the upstream serves concurrently.
    pub(super) fn slots(&self) -> u64 {
        match &self.spec.serves {
            Serves::Engine { batch_slots, .. } => u64::from(*batch_slots),
            Serves::Service { request_slots, .. } => u64::from(*request_slots),
        }
    }

    /// Number of slots that may be used now.
    ///
    /// After an ejection this is an increasing share of the slots, since the upstream may still be
    /// faulty.
    pub(super) fn allowed_slots(&self, now: Millis) -> u64 {
        let slots = self.slots();
        let share = slow_start_share(self.readmitted_at, now);
        ((slots as f64 * share) as u64).clamp(1, slots)
    }

    /// Estimated cache warmth since the upstream's last restart, up to 1 for a warm cache.
    pub(super) fn warmth(&self, now: Millis) -> f64 {
        slow_start_share(self.started_at, now)
    }

    /// Records a restart of the upstream, with a cold cache.
    pub(super) fn restart(&mut self, now: Millis) {
        self.started_at = Some(now);
        self.prefixes.clear();
    }

    /// Estimates the in-flight load.
    ///
    /// The load of this instance is exact. The estimate adds the load reported by peers, and any
    /// load in the upstream's own report beyond those two. The weight of the report decreases
    /// linearly with its age.
    pub(super) fn load(&self, now: Millis) -> Load {
        let mut load = self.own + self.peers;
        let Some(report) = self.report else {
            return load;
        };
        let age_ms = now.since(report.measured_at);
        if age_ms >= REPORT_LIFETIME_MS {
            return load;
        }
        let freshness = 1.0 - age_ms as f64 / REPORT_LIFETIME_MS as f64;
        let unexplained = |reported: u64, known: u64| {
            (reported.saturating_sub(known) as f64 * freshness).round() as u64
        };
        let requests = unexplained(report.requests, load.requests);
        let known_tokens = load.prompt_tokens + load.long_prompt_tokens;
        let prompt_tokens = unexplained(report.prompt_tokens, known_tokens);
        load.requests += requests;
        load.long_prompt_tokens += prompt_tokens;
        load
    }
}

fn initial_speed(serves: &Serves) -> EngineSpeed {
    match serves {
        Serves::Engine {
            prefill_tokens_per_s,
            ..
        } => EngineSpeed::new(*prefill_tokens_per_s),
        Serves::Service { .. } => EngineSpeed::new(SERVICE_PREFILL_TOKENS_PER_S),
    }
}

/// Returns the share of the full load at `now` for an upstream whose slow start began at `since`.
fn slow_start_share(since: Option<Millis>, now: Millis) -> f64 {
    let Some(since) = since else {
        return 1.0;
    };
    let progress = now.since(since) as f64 / SLOW_START_MS as f64;
    (SLOW_START_INITIAL_SHARE + (1.0 - SLOW_START_INITIAL_SHARE) * progress).min(1.0)
}
