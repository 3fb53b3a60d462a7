//! Attempts that this instance has in flight.

use super::upstream::UpstreamState;
use super::Load;
use crate::id::UpstreamId;
use crate::time::Millis;

/// Identifier of an attempt, unique within a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// One attempt of a request on one upstream.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) upstream: UpstreamId,
    /// Remaining load of the attempt on the upstream.
    pub(super) load: Load,
    pub(super) is_long: bool,
    pub(super) max_output_tokens: u64,
    pub(super) output_tokens: u64,
    pub(super) started_at: Millis,
    /// Time at which the last tokens were counted.
    pub(super) measured_at: Millis,
    pub(super) has_first_token: bool,
    pub(super) uncorrected_ms: f64,
    pub(super) network_ms: f64,
}

impl Attempt {
    /// Replaces the attempt's share of the upstream's load.
    pub(super) fn set_load(&mut self, load: Load, state: &mut UpstreamState) {
        state.own -= self.load;
        state.own += load;
        self.load = load;
    }
}
