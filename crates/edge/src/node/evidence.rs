//! Recording of request outcomes, which feed the health of upstreams and the evidence on new
//! versions.

use super::Node;
use crate::{
    hash::short_hash,
    log::Event,
    rollout::VersionCounts,
    upstream::{Load, Outcome, Upstream},
};
use carobwheel_core::time::Millis;
use std::sync::Arc;

/// Why an upstream is taken to be cold without an entry that says so.
#[derive(Clone, Copy, Debug)]
pub(super) enum ColdCause {
    /// It could not be reached and may be restarting.
    Unreachable,
    /// The evacuation of its data centre has ended.
    EvacuationEnded,
    /// It stated so in a response.
    Response,
    /// Its entry cannot be followed, and it has not said lately that it is warm.
    Unconfirmed,
}

impl ColdCause {
    fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::EvacuationEnded => "evacuation_ended",
            Self::Response => "response",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Identifiers of one send of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendIds<'a> {
    /// Request id.
    pub request: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Id of the upstream.
    pub upstream: &'a str,
}

impl Node {
    /// Records the outcome of a send.
    pub fn note_outcome(&self, sent: SendIds<'_>, outcome: Outcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstreams.by_id.get(sent.upstream) else {
            return;
        };
        let (service, version) = (
            Arc::clone(&upstream.entry.service),
            Arc::clone(&upstream.entry.version),
        );
        // Without a path to any upstream, failures say nothing about this one or its version.
        let is_failure = matches!(outcome, Outcome::Failed | Outcome::Unreachable);
        if is_failure && state.cut_off.contains(&service) {
            return;
        }
        let Some(upstream) = state.upstreams.by_id.get_mut(sent.upstream) else {
            return;
        };
        let is_ejected = upstream.health.record_outcome(outcome, now);
        let error_share = upstream.health.error_share();
        if outcome == Outcome::Unreachable {
            // An unreachable upstream may be restarting, and the new process at its address starts
            // cold.
            let cold_ms = state.service(&service).map_or(0, |service| service.cold_ms);
            if let Some(upstream) = state.upstreams.by_id.get_mut(sent.upstream) {
                self.assume_cold(upstream, cold_ms, ColdCause::Unreachable, now);
                upstream.cache.clear();
            }
        }
        if is_ejected {
            let (request, upstream) = (sent.request, sent.upstream);
            self.log.event(Event::UpstreamEjected {
                upstream,
                request,
                error_share,
            });
        }
        if let Some(trial) = state.trials.get_mut(&service) {
            let route = trial
                .evidence
                .own
                .entry(short_hash(sent.route))
                .or_default();
            let is_new = trial.order.target == version;
            add(
                if is_new {
                    &mut route.new
                } else {
                    &mut route.old
                },
                outcome,
            );
        }
    }

    /// Records the time for which a response states that its upstream stays cold.
    pub fn note_cold(&self, id: &str, left_ms: u64) {
        let now = self.now();
        if let Some(upstream) = self.state.borrow_mut().upstreams.by_id.get_mut(id) {
            self.assume_cold(upstream, left_ms, ColdCause::Response, now);
        }
    }

    /// Treats an upstream as cold for a time, whatever its entry says, and logs the change.
    pub(super) fn assume_cold(
        &self,
        upstream: &mut Upstream,
        left_ms: u64,
        cause: ColdCause,
        now: Millis,
    ) {
        if upstream.cold.assume(left_ms, now) {
            self.log.event(Event::UpstreamAssumedCold {
                upstream: &upstream.entry.id,
                cause: cause.name(),
                left_ms,
            });
        }
    }

    /// Subtracts completed work from the upstream's load.
    pub fn remove_load(&self, id: &str, load: Load) {
        if let Some(upstream) = self.state.borrow_mut().upstreams.by_id.get_mut(id) {
            upstream.own -= load;
        }
    }

    /// Records a sample of an upstream's prefill speed.
    pub fn note_speed(&self, id: &str, tokens: f64, ms: f64) {
        if let Some(upstream) = self.state.borrow_mut().upstreams.by_id.get_mut(id) {
            upstream.record_prefill_speed(tokens, ms);
        }
    }
}

/// Adds an outcome to the counts of a version.
fn add(counts: &mut VersionCounts, outcome: Outcome) {
    counts.sent += 1;
    match outcome {
        Outcome::Answered { ms } => {
            counts.answered += 1;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let ms = ms.max(0.0) as u32;
            counts.time_sum_ms = counts.time_sum_ms.saturating_add(ms);
        }
        Outcome::Failed | Outcome::Unreachable => counts.failed += 1,
        Outcome::Refused => {}
    }
}
