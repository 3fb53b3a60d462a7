//! The engine's limited cache of prompt prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// A change of the cache, as the engine publishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix is cached from now on.
    Stored(u64),
    /// The prefix is no longer cached.
    Evicted(u64),
}

/// Prefixes in order of their last use. The least recently used one is evicted first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_uses: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(u64, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_uses: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
        }
    }

    /// Blocks at the start of a prompt that are cached; they count as used.
    pub fn use_prefix(&mut self, prefix_hashes: &[u64]) -> u64 {
        let is_cached = |hash: &&u64| self.last_uses.contains_key(*hash);
        let cached = prefix_hashes.iter().take_while(is_cached).count();
        for hash in prefix_hashes[..cached].iter().rev() {
            self.touch(*hash);
        }
        cached as u64
    }

    /// Stores the blocks of a prompt.
    pub fn store(&mut self, prefix_hashes: &[u64], now_us: u64) {
        // The first block is touched last, so that a chain is evicted from its end.
        for hash in prefix_hashes.iter().rev() {
            if !self.touch(*hash) {
                self.events.push_back((now_us, CacheEvent::Stored(*hash)));
            }
        }
        while self.last_uses.len() > self.capacity {
            self.evict(now_us);
        }
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.last_uses.clear();
        self.by_use.clear();
        self.events.clear();
    }

    /// Takes the events that are at least `lag_us` old. Each event whose number is a multiple of
    /// `drop_every` is lost; 0 loses none.
    pub fn take_events(&mut self, now_us: u64, lag_us: u64, drop_every: u64) -> Vec<CacheEvent> {
        let mut taken = Vec::new();
        let mut number = 0;
        while let Some((at_us, event)) = self.events.front().copied() {
            if at_us + lag_us > now_us {
                break;
            }
            self.events.pop_front();
            number += 1;
            if drop_every == 0 || number % drop_every != 0 {
                taken.push(event);
            }
        }
        taken
    }

    /// Cached blocks.
    pub fn len(&self) -> usize {
        self.last_uses.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.last_uses.is_empty()
    }

    /// Marks a block as used; true if it was cached.
    fn touch(&mut self, hash: u64) -> bool {
        self.uses += 1;
        let former = self.last_uses.insert(hash, self.uses);
        if let Some(former) = former {
            self.by_use.remove(&former);
        }
        self.by_use.insert(self.uses, hash);
        former.is_some()
    }

    fn evict(&mut self, now_us: u64) {
        if let Some((_, hash)) = self.by_use.pop_first() {
            self.last_uses.remove(&hash);
            self.events.push_back((now_us, CacheEvent::Evicted(hash)));
        }
    }
}
