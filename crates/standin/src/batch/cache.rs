//! Prefix cache of an engine, with a fixed number of blocks.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Change of the cache that the engine publishes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The block with this prefix hash was added.
    Stored(u64),
    /// The block with this prefix hash was evicted.
    Evicted(u64),
}

/// Prefix cache with least-recently-used eviction. Blocks are identified by their prefix hashes.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_use_by_hash: HashMap<u64, u64>,
    hash_by_last_use: BTreeMap<u64, u64>,
    use_counter: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_use_by_hash: HashMap::new(),
            hash_by_last_use: BTreeMap::new(),
            use_counter: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of cached blocks at the start of a prompt and marks them as used.
    pub fn use_prefix(&mut self, prefix_hashes: &[u64]) -> u64 {
        let is_cached = |hash: &&u64| self.last_use_by_hash.contains_key(*hash);
        let cached = prefix_hashes.iter().take_while(is_cached).count();
        for hash in prefix_hashes[..cached].iter().rev() {
            self.touch(*hash);
        }
        cached as u64
    }

    /// Adds the blocks of a prompt and evicts the least recently used blocks beyond the capacity.
    pub fn store(&mut self, prefix_hashes: &[u64], now_us: u64) {
        // Blocks are touched from last to first, so that a chain of blocks is evicted from its end.
        for hash in prefix_hashes.iter().rev() {
            if !self.touch(*hash) {
                self.events.push_back((now_us, CacheEvent::Stored(*hash)));
            }
        }
        while self.last_use_by_hash.len() > self.capacity {
            self.evict(now_us);
        }
    }

    /// Removes all blocks and undelivered events, as a restart does.
    pub fn clear(&mut self) {
        self.last_use_by_hash.clear();
        self.hash_by_last_use.clear();
        self.events.clear();
    }

    /// Removes and returns the events that are at least `lag_us` old. Of the events of one call,
    /// every `drop_every`-th is dropped; 0 drops none.
    pub fn take_events(&mut self, now_us: u64, lag_us: u64, drop_every: u64) -> Vec<CacheEvent> {
        let mut delivered = Vec::new();
        let mut event_number = 0;
        while let Some((at_us, event)) = self.events.front().copied() {
            if at_us + lag_us > now_us {
                break;
            }
            self.events.pop_front();
            event_number += 1;
            if drop_every == 0 || event_number % drop_every != 0 {
                delivered.push(event);
            }
        }
        delivered
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use_by_hash.len()
    }

    /// Returns true if no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_use_by_hash.is_empty()
    }

    /// Marks a block as used, adding it if needed. Returns true if it was cached before.
    fn touch(&mut self, hash: u64) -> bool {
        self.use_counter += 1;
        let previous = self.last_use_by_hash.insert(hash, self.use_counter);
        if let Some(previous) = previous {
            self.hash_by_last_use.remove(&previous);
        }
        self.hash_by_last_use.insert(self.use_counter, hash);
        previous.is_some()
    }

    fn evict(&mut self, now_us: u64) {
        if let Some((_, hash)) = self.hash_by_last_use.pop_first() {
            self.last_use_by_hash.remove(&hash);
            self.events.push_back((now_us, CacheEvent::Evicted(hash)));
        }
    }
}
