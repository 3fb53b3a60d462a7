//! Possible restarts of upstreams, inferred from connections that broke or were refused.
//!
//! A process that starts again under the same name and address has an empty cache, and nothing of
//! what its predecessor was sent.

use super::affinity::PrefixView;
use super::router::Router;
use super::upstream::UpstreamState;
use crate::id::UpstreamId;
use crate::time::Millis;

/// Period within which reports concern the same end of a process, in milliseconds.
const SAME_END_MS: u64 = 1_000;
/// Time after a suspected end from which output of an earlier attempt shows that the process still
/// runs, in milliseconds. Earlier output may have been in transit.
const OUTPUT_IN_TRANSIT_MS: u64 = 250;

/// A suspected end of an upstream's process, with the state from before it.
#[derive(Clone, Debug)]
pub(super) struct SuspectedEnd {
    at: Millis,
    started_at: Option<Millis>,
    prefixes: PrefixView,
}

impl Router {
    /// Records that the process of an upstream may have ended at `at`: the upstream counts as
    /// restarted with a cold cache. Returns false if this is known already or does not concern an
    /// upstream of the document.
    pub fn suspect_end(&mut self, upstream: &UpstreamId, at: Millis) -> bool {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return false;
        };
        let is_known = state
            .started_at
            .is_some_and(|started_at| at < started_at.plus(SAME_END_MS));
        if is_known {
            return false;
        }
        state.suspected_end = Some(SuspectedEnd {
            at,
            started_at: state.started_at,
            prefixes: std::mem::take(&mut state.prefixes),
        });
        state.restart(at);
        true
    }
}

impl UpstreamState {
    /// Restores the state from before a suspected end if an attempt that had started before it
    /// still gets output.
    pub(super) fn note_output(&mut self, attempt_started_at: Millis, now: Millis) {
        let is_alive = self.suspected_end.as_ref().is_some_and(|end| {
            attempt_started_at < end.at && now >= end.at.plus(OUTPUT_IN_TRANSIT_MS)
        });
        if !is_alive {
            return;
        }
        if let Some(end) = self.suspected_end.take() {
            self.started_at = end.started_at;
            self.prefixes.prepend(end.prefixes);
        }
    }
}
