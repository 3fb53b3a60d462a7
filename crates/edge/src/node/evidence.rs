//! How the ends of requests change what the instance believes of upstreams and versions.

use super::Node;
use crate::{
    hash::short_hash,
    log::Event,
    rollout::Counts,
    upstream::{Load, Outcome},
};
use std::sync::Arc;

/// A send of one request to one upstream, as far as evidence is concerned.
#[derive(Clone, Copy, Debug)]
pub struct SendIds<'a> {
    /// Request.
    pub request: &'a str,
    /// Route.
    pub route: &'a str,
    /// Upstream.
    pub upstream: &'a str,
}

impl Node {
    /// Takes note of how a send ended.
    pub fn note_outcome(&self, sent: SendIds<'_>, outcome: Outcome) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.upstreams.by_id.get_mut(sent.upstream) else {
            return;
        };
        let (service, version) = (
            Arc::clone(&upstream.seen.service),
            Arc::clone(&upstream.seen.version),
        );
        let is_ejected = upstream.health.note(outcome, now);
        let error_share = upstream.health.error_share();
        if outcome == Outcome::Unreachable {
            // A process that starts again at this address starts cold.
            let cold_ms = state.service(&service).map_or(0, |service| service.cold_ms);
            if let Some(upstream) = state.upstreams.by_id.get_mut(sent.upstream) {
                if cold_ms > 0 {
                    upstream.cold.extend(cold_ms, now);
                }
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

    /// Takes note that an upstream is cold for `left_ms` milliseconds more.
    pub fn note_cold(&self, id: &str, left_ms: u64) {
        let now = self.now();
        if let Some(upstream) = self.state.borrow_mut().upstreams.by_id.get_mut(id) {
            upstream.cold.set_left(left_ms, now);
        }
    }

    /// Takes work from an upstream's load.
    pub fn remove_load(&self, id: &str, load: Load) {
        if let Some(upstream) = self.state.borrow_mut().upstreams.by_id.get_mut(id) {
            upstream.own -= load;
        }
    }

    /// Takes note of the speed at which an upstream read prompts.
    pub fn note_speed(&self, id: &str, tokens: f64, ms: f64) {
        if let Some(upstream) = self.state.borrow_mut().upstreams.by_id.get_mut(id) {
            upstream.note_speed(tokens, ms);
        }
    }
}

fn add(counts: &mut Counts, outcome: Outcome) {
    counts.sent += 1;
    match outcome {
        Outcome::Answered { ms } => {
            counts.answered += 1;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let ms = ms.max(0.0) as u32;
            counts.time_sum_ms = counts.time_sum_ms.saturating_add(ms);
        }
        Outcome::Failed | Outcome::Unreachable => counts.bad += 1,
        Outcome::Refused => {}
    }
}
