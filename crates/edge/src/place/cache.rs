//! Parts of prompts that an engine probably holds in its memory.

use std::collections::{BTreeMap, HashMap};

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// Parts that were sent to one engine, the least recently used forgotten first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    parts: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// An empty cache for an engine whose memory holds `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Changes the size of the engine's memory.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Tokens of the leading parts that the engine probably holds.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u32 {
        let held = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        held.map(|part| part.tokens).sum()
    }

    /// Takes note that the engine reads a prompt with these parts.
    pub fn insert(&mut self, parts: &[PromptPart]) {
        for part in parts {
            self.uses += 1;
            let before = self.parts.insert(part.id, (part.tokens, self.uses));
            match before {
                Some((_, used)) => {
                    self.by_use.remove(&used);
                }
                None => self.held_tokens += u64::from(part.tokens),
            }
            self.by_use.insert(self.uses, part.id);
        }
        while self.held_tokens > self.capacity_tokens {
            if !self.forget_oldest() {
                break;
            }
        }
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity_tokens);
    }

    fn forget_oldest(&mut self) -> bool {
        let Some((_, id)) = self.by_use.pop_first() else {
            return false;
        };
        if let Some((tokens, _)) = self.parts.remove(&id) {
            self.held_tokens -= u64::from(tokens);
        }
        true
    }
}
