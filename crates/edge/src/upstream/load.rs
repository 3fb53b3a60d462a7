//! Load of an upstream by requests in flight.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, SubAssign};

/// Load of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in flight.
    pub requests: u32,
    /// Prompt tokens that are probably still waiting for prefill.
    pub unread_tokens: u32,
    /// KV cache that the requests may fill, in tokens.
    pub kv_cache_tokens: u32,
    /// Rate of prompt tokens sent for prefill, per second.
    pub prefill_tokens_per_s: u32,
}

impl Load {
    /// Whether all fields are zero.
    pub fn is_idle(&self) -> bool {
        *self == Self::default()
    }
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.kv_cache_tokens = self.kv_cache_tokens.saturating_add(other.kv_cache_tokens);
        self.prefill_tokens_per_s = self
            .prefill_tokens_per_s
            .saturating_add(other.prefill_tokens_per_s);
    }
}

/// Removes the load of requests that have ended; the prefill rate decays on its own.
impl SubAssign for Load {
    fn sub_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.kv_cache_tokens = self.kv_cache_tokens.saturating_sub(other.kv_cache_tokens);
    }
}
