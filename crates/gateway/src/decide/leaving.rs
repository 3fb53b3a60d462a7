//! Upstreams that state in their responses that they are leaving.

use super::state::State;
use carobwheel_core::{id::UpstreamId, time::Millis};
use std::collections::HashMap;

/// Time after the last statement from which an upstream is tried again, in milliseconds. The
/// document does not tell when another process has taken its place.
const TRY_AGAIN_MS: u64 = 30_000;

/// Upstreams that have stated that they are leaving, with the time of their last statement.
#[derive(Default)]
pub(super) struct LeavingUpstreams {
    stated_at: HashMap<UpstreamId, Millis>,
}

impl LeavingUpstreams {
    /// Upstreams that get no requests.
    pub(super) fn ids(&self, now: Millis) -> Vec<UpstreamId> {
        let leaving = self
            .stated_at
            .iter()
            .filter(|(_, at)| now.since(**at) < TRY_AGAIN_MS);
        leaving.map(|(id, _)| id.clone()).collect()
    }
}

impl State {
    /// Records that the response to a placed request states that its upstream is leaving.
    pub(super) fn on_leaving_news(&mut self, ticket: u64, now: Millis) {
        let Some(active) = self.active.get(&ticket) else {
            return;
        };
        let upstream = active.upstream.clone();
        self.leaving
            .stated_at
            .retain(|_, at| now.since(*at) < TRY_AGAIN_MS);
        if self
            .leaving
            .stated_at
            .insert(upstream.clone(), now)
            .is_none()
        {
            let request = active.request_id.as_str();
            log::info!(upstream = upstream.as_str(), request; "upstream is leaving");
        }
    }
}
