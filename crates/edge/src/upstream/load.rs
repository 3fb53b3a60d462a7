//! Work that was sent to an upstream and has not ended.

use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, SubAssign};

/// Work at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that have not ended.
    pub requests: u32,
    /// Prompt tokens that are probably still to be read.
    pub unread_tokens: u32,
    /// Tokens of memory that the requests may take.
    pub kv_cache_tokens: u32,
    /// Prompt tokens sent for reading in a second.
    pub prefill_tokens_per_s: u32,
}

impl Load {
    /// Whether there is no work.
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

/// Takes away work that has ended; the rate falls by itself.
impl SubAssign for Load {
    fn sub_assign(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.kv_cache_tokens = self.kv_cache_tokens.saturating_sub(other.kv_cache_tokens);
    }
}
