//! Estimate of the prompt parts in an engine's prefix cache.

use carobwheel_core::time::Millis;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of parts that are remembered for one engine, whatever their tokens. The largest
/// engine holds 691,000 tokens, so that parts of 170 tokens each stay.
const MAX_PARTS: usize = 4_096;

/// One part of a prompt, as the unit of prefix caching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// A part in the cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
    used_at: Millis,
}

/// LRU model of the prompt parts that one engine has cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    total_tokens: u64,
    parts: HashMap<u64, CachedPart>,
    by_last_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Creates an empty cache for an engine whose KV cache holds `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Changes the capacity; parts above it are evicted at the next insertion.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Tokens of the leading parts that the engine probably has cached.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.map(|part| part.tokens).sum()
    }

    /// Time since a part was last sent to the engine, in milliseconds; `None` if it is unknown.
    pub fn idle_ms(&self, id: u64, now: Millis) -> Option<u64> {
        self.parts.get(&id).map(|part| now.since(part.used_at))
    }

    /// Records that a prompt with these parts was sent to the engine.
    pub fn insert(&mut self, parts: &[PromptPart], now: Millis) {
        for part in parts {
            self.uses += 1;
            let cached = CachedPart {
                tokens: part.tokens,
                last_use: self.uses,
                used_at: now,
            };
            match self.parts.insert(part.id, cached) {
                Some(previous) => {
                    self.by_last_use.remove(&previous.last_use);
                }
                None => self.total_tokens += u64::from(part.tokens),
            }
            self.by_last_use.insert(self.uses, part.id);
        }
        while self.total_tokens > self.capacity_tokens || self.parts.len() > MAX_PARTS {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Removes all parts, as after a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity_tokens);
    }

    fn evict_oldest(&mut self) -> bool {
        let Some((_, id)) = self.by_last_use.pop_first() else {
            return false;
        };
        if let Some(part) = self.parts.remove(&id) {
            self.total_tokens -= u64::from(part.tokens);
        }
        true
    }
}
