//! Limits of client accounts over all instances.
//!
//! Each instance has a bucket for each account, filled at the account's rate. Its own use and the
//! use that other instances report are taken from it. While an instance does not hear another, it
//! leaves that instance's part of the rate and of the burst to it.

use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Rate and burst of one account, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimit {
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Tokens at once.
    pub burst_tokens: f64,
}

/// How many instances there are, and how many of them are heard (this one included).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Instances that may serve requests.
    pub instances: usize,
    /// Instances whose use is known, this one included.
    pub heard: usize,
}

impl Fleet {
    /// Part of the limits that the instances in reach may use together.
    fn part(self) -> f64 {
        let instances = self.instances.max(self.heard).max(1);
        #[allow(clippy::cast_precision_loss)]
        let part = self.heard.max(1) as f64 / instances as f64;
        part
    }
}

/// The tokens of one account as one instance counts them.
#[derive(Clone, Debug)]
pub struct Bucket {
    level_tokens: f64,
    filled_at: Millis,
    used_tokens: u64,
    reported: HashMap<Arc<str>, (u64, u64)>,
}

impl Bucket {
    /// A bucket that starts with this instance's part of the burst.
    pub fn new(limit: &AccountLimit, fleet: Fleet, now: Millis) -> Self {
        Self {
            level_tokens: limit.burst_tokens * fleet.part(),
            filled_at: now,
            used_tokens: 0,
            reported: HashMap::new(),
        }
    }

    /// Takes `tokens`.
    ///
    /// # Errors
    ///
    /// Returns the milliseconds until they will be there.
    pub fn take(
        &mut self,
        tokens: u64,
        limit: &AccountLimit,
        fleet: Fleet,
        now: Millis,
    ) -> Result<(), u64> {
        self.fill(limit, fleet, now);
        let wanted = to_f64(tokens);
        // A request above the burst may run once the bucket is full.
        let needed = wanted.min(limit.burst_tokens * fleet.part());
        if self.level_tokens < needed {
            let rate = (limit.tokens_per_s * fleet.part()).max(1.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wait_ms = ((needed - self.level_tokens) / rate * 1_000.0).ceil() as u64;
            return Err(wait_ms);
        }
        self.level_tokens -= wanted;
        self.used_tokens += tokens;
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    pub fn give_back(&mut self, tokens: u64) {
        self.level_tokens += to_f64(tokens);
        self.used_tokens = self.used_tokens.saturating_sub(tokens);
    }

    /// Tokens that this instance has used in its lifetime.
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Takes note of the tokens that another instance has used in its lifetime `life`.
    pub fn hear(&mut self, instance: &Arc<str>, life: u64, used_tokens: u64) {
        let known = self
            .reported
            .entry(Arc::clone(instance))
            .or_insert((life, used_tokens));
        let before = if known.0 == life { known.1 } else { 0 };
        self.level_tokens -= to_f64(used_tokens.saturating_sub(before));
        *known = (life, used_tokens.max(before));
    }

    fn fill(&mut self, limit: &AccountLimit, fleet: Fleet, now: Millis) {
        let passed_s = to_f64(now.since(self.filled_at)) / 1_000.0;
        self.filled_at = now;
        let filled = self.level_tokens + passed_s * limit.tokens_per_s * fleet.part();
        let most = limit.burst_tokens * fleet.part();
        // Use that became known late must not keep the account out for long.
        self.level_tokens = filled
            .min(most)
            .max(-limit.burst_tokens.max(limit.tokens_per_s));
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
