//! Prefix affinity: an estimate of the engines that hold a prompt's prefix in their KV cache.

use std::collections::{HashMap, VecDeque};

/// Number of tokens by which each prefix hash extends the previous one.
pub const PREFIX_BLOCK_TOKENS: u64 = 256;
/// Maximum number of prefixes tracked per engine.
const MAX_PREFIXES: usize = 1_024;
/// Prime of the 64-bit FNV-1a hash. All instances have to compute the same hashes.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Computes the 64-bit FNV-1a hash of `bytes`, chained from `state`, with a final mixing step.
pub(super) fn hash(state: u64, bytes: &[u8]) -> u64 {
    let hash = bytes.iter().fold(state ^ FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Mixes the bits so that each input bit affects the whole word.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Computes the prefix hashes of `prompt`, one per complete block of [`PREFIX_BLOCK_TOKENS`] tokens
/// at `bytes_per_token` bytes per token.
///
/// The account is part of each hash, since caches are not shared between accounts.
pub fn prefix_hashes(account: &str, prompt: &[u8], bytes_per_token: u64) -> Vec<u64> {
    let block_bytes = PREFIX_BLOCK_TOKENS.saturating_mul(bytes_per_token.max(1));
    let block_bytes = usize::try_from(block_bytes).unwrap_or(usize::MAX);
    let mut state = hash(0, account.as_bytes());
    prompt
        .chunks_exact(block_bytes)
        .map(|block| {
            state = hash(state, block);
            state
        })
        .collect()
}

/// Computes the rendezvous weight of an upstream for a prefix. All instances prefer the upstream
/// with the highest weight.
pub(super) fn rendezvous(upstream_hash: u64, prefix: u64) -> u64 {
    mix(upstream_hash ^ prefix.rotate_left(32))
}

/// Prefixes recently sent to one engine, evicted in order of insertion.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixView {
    uses: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PrefixView {
    /// Estimates the number of prompt tokens that are in the engine's cache.
    pub(super) fn cached_tokens(&self, prefix_hashes: &[u64]) -> u64 {
        let blocks = prefix_hashes
            .iter()
            .take_while(|hash| self.uses.contains_key(*hash))
            .count();
        blocks as u64 * PREFIX_BLOCK_TOKENS
    }

    /// Adds the prefixes of a prompt that is sent to the engine.
    pub(super) fn insert(&mut self, prefix_hashes: &[u64]) {
        for hash in prefix_hashes {
            *self.uses.entry(*hash).or_default() += 1;
            self.order.push_back(*hash);
        }
        while self.order.len() > MAX_PREFIXES {
            self.forget_oldest();
        }
    }

    /// Adds prefixes that were sent before those of this view.
    pub(super) fn prepend(&mut self, earlier: Self) {
        let later = std::mem::replace(self, earlier);
        for hash in later.order {
            self.insert(&[hash]);
        }
    }

    /// Removes prefixes that the engine has reported as evicted.
    pub(super) fn remove(&mut self, prefix_hashes: &[u64]) {
        for hash in prefix_hashes {
            self.uses.remove(hash);
        }
        let uses = &self.uses;
        self.order.retain(|hash| uses.contains_key(hash));
    }

    /// Removes all prefixes, for example after a restart of the engine.
    pub(super) fn clear(&mut self) {
        self.uses.clear();
        self.order.clear();
    }

    fn forget_oldest(&mut self) {
        let Some(hash) = self.order.pop_front() else {
            return;
        };
        if let Some(uses) = self.uses.get_mut(&hash) {
            *uses -= 1;
            if *uses == 0 {
                self.uses.remove(&hash);
            }
        }
    }
}
