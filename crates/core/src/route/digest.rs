//! What instances tell each other about the work they have in flight.

use super::Load;
use serde::{Deserialize, Serialize};

/// Time after which the digest of a silent peer no longer counts, in milliseconds.
pub const DIGEST_LIFETIME_MS: u64 = 5_000;
/// Tokens in one unit of a digest.
const UNIT_TOKENS: u64 = 64;

/// Work of one instance on one upstream. Token counts are in units of 64 tokens, rounded up, which
/// takes one or two bytes each on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigestEntry {
    /// Hash of the upstream's name.
    pub upstream: [u8; 4],
    /// Requests in flight.
    pub requests: u16,
    /// Requests of classes with long prompts among them.
    pub long_requests: u16,
    /// Uncached prompt of short requests to be read, in units of 64 tokens.
    pub prompt_units: u32,
    /// Uncached prompt of long requests to be read, in units of 64 tokens.
    pub long_prompt_units: u32,
    /// Output still expected, in units of 64 tokens.
    pub output_units: u32,
}

impl LoadDigestEntry {
    pub(super) fn new(upstream: [u8; 4], load: &Load) -> Self {
        let units = |tokens: u64| u32::try_from(tokens.div_ceil(UNIT_TOKENS)).unwrap_or(u32::MAX);
        let count = |requests: u64| u16::try_from(requests).unwrap_or(u16::MAX);
        Self {
            upstream,
            requests: count(load.requests),
            long_requests: count(load.long_requests),
            prompt_units: units(load.prompt_tokens),
            long_prompt_units: units(load.long_prompt_tokens),
            output_units: units(load.output_tokens),
        }
    }

    pub(super) fn load(&self) -> Load {
        let requests = u64::from(self.requests);
        Load {
            requests,
            long_requests: u64::from(self.long_requests).min(requests),
            prompt_tokens: u64::from(self.prompt_units) * UNIT_TOKENS,
            long_prompt_tokens: u64::from(self.long_prompt_units) * UNIT_TOKENS,
            output_tokens: u64::from(self.output_units) * UNIT_TOKENS,
        }
    }
}

/// An upstream is leaving, as the upstream itself or the live list has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Hash of the upstream's name.
    pub upstream: [u8; 4],
    /// Registration that leaves; a newer one is not affected.
    pub registration: u64,
}

/// One instance's work in flight, for its peers. Upstreams without work are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Number of the digest; an older one than the last received is dropped.
    pub sequence: u64,
    /// Work on each upstream that has any.
    pub entries: Vec<LoadDigestEntry>,
    /// Upstreams that are leaving.
    pub leaving: Vec<LeavingNotice>,
}
