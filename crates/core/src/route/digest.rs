//! Digests of in-flight load exchanged between instances.

use super::Load;
use serde::{Deserialize, Serialize};

/// Age at which the last digest of a silent peer expires, in milliseconds.
pub const DIGEST_LIFETIME_MS: u64 = 5_000;
/// Number of tokens per unit in a digest.
const TOKENS_PER_UNIT: u64 = 64;

/// In-flight load of one instance on one upstream.
///
/// Token counts are in units of 64 tokens, rounded up, which takes one or two bytes each on the
/// wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigestEntry {
    /// Hash of the upstream's name.
    pub upstream: [u8; 4],
    /// Requests in flight.
    pub requests: u16,
    /// Requests in flight that belong to classes with long prompts.
    pub long_requests: u16,
    /// Uncached prompt tokens of short requests awaiting prefill, in units of 64 tokens.
    pub prompt_units: u32,
    /// Uncached prompt tokens of long requests awaiting prefill, in units of 64 tokens.
    pub long_prompt_units: u32,
    /// Output tokens still expected, in units of 64 tokens.
    pub output_units: u32,
}

impl LoadDigestEntry {
    pub(super) fn new(upstream: [u8; 4], load: &Load) -> Self {
        let units =
            |tokens: u64| u32::try_from(tokens.div_ceil(TOKENS_PER_UNIT)).unwrap_or(u32::MAX);
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
            prompt_tokens: u64::from(self.prompt_units) * TOKENS_PER_UNIT,
            long_prompt_tokens: u64::from(self.long_prompt_units) * TOKENS_PER_UNIT,
            output_tokens: u64::from(self.output_units) * TOKENS_PER_UNIT,
        }
    }
}

/// Notice that an upstream is leaving, as reported by the upstream itself or the live list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Hash of the upstream's name.
    pub upstream: [u8; 4],
    /// Registration that is leaving; newer registrations are not affected.
    pub registration: u64,
}

/// In-flight load of one instance, sent to its peers. Upstreams without load are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDigest {
    /// Sequence number; receivers drop digests that are not newer than the last one received.
    pub sequence: u64,
    /// Load on each upstream that has any.
    pub entries: Vec<LoadDigestEntry>,
    /// Notices of upstreams that are leaving.
    pub leaving: Vec<LeavingNotice>,
}
