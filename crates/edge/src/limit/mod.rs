//! Limits of client accounts over all instances.
//!
//! Each instance has a bucket for each account, which holds and is filled with a share of the
//! account's burst and rate. The shares follow what callers ask of each instance, which the
//! instances tell each other; what nobody asks for is shared out as well. Since an instance spends
//! only its own share, lateness of what it hears, or a cut, changes little.

use crate::rate::MeanRate;
use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Sum of the shares that an account has while nobody asks for it: more than one, so that the first
/// requests are not refused wherever they come.
const IDLE_SHARES: f64 = 2.0;
/// Silence after which an instance's demand is no longer known, in milliseconds.
const SILENCE_MS: u64 = 1_300;
/// Silence after which an instance no longer takes part, in milliseconds.
const GONE_MS: u64 = 12_000;

/// Rate and burst of one account, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimit {
    /// Tokens a second.
    pub tokens_per_s: f64,
    /// Tokens at once.
    pub burst_tokens: f64,
    /// Tokens that all instances together may use besides, so that no request within the limit is
    /// refused for want of a share.
    pub slack_tokens: f64,
}

/// How many instances there are, and how many of them are heard (this one included).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Instances that may serve requests.
    pub instances: usize,
    /// Instances that are heard, this one included.
    pub reachable: usize,
}

impl Fleet {
    #[allow(clippy::cast_precision_loss)]
    fn size(self) -> f64 {
        self.instances.max(self.reachable).max(1) as f64
    }
}

/// What another instance has told of its demand.
#[derive(Clone, Debug)]
struct Report {
    life: u64,
    asked_tokens: u64,
    demand: MeanRate,
    heard_at: Millis,
}

/// The tokens of one account as one instance counts them.
#[derive(Clone, Debug)]
pub struct Bucket {
    level_tokens: f64,
    filled_at: Millis,
    asked_tokens: u64,
    demand: MeanRate,
    others: HashMap<Arc<str>, Report>,
}

impl Bucket {
    /// A bucket that starts with an even share of the burst.
    pub fn new(limit: &AccountLimit, fleet: Fleet, now: Millis) -> Self {
        Self {
            level_tokens: limit.burst_tokens * (IDLE_SHARES / fleet.size()).min(1.0),
            filled_at: now,
            asked_tokens: 0,
            demand: MeanRate::default(),
            others: HashMap::new(),
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
        let wanted = to_f64(tokens);
        self.asked_tokens += tokens;
        self.demand.add(wanted, now);
        let share = self.share(limit, fleet, now);
        self.fill(limit, share, now);
        // A request above the burst may run once the bucket is full.
        let debt = limit.slack_tokens / fleet.size();
        let needed = wanted.min(limit.burst_tokens * share) - debt;
        if self.level_tokens < needed {
            let rate = (limit.tokens_per_s * share).max(1.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wait_ms = ((needed - self.level_tokens) / rate * 1_000.0).ceil() as u64;
            return Err(wait_ms);
        }
        self.level_tokens -= wanted;
        Ok(())
    }

    /// Gives back tokens of a request that did not run.
    pub fn refund(&mut self, tokens: u64) {
        self.level_tokens += to_f64(tokens);
    }

    /// Tokens that callers have asked of this instance in its lifetime.
    pub fn requested_tokens(&self) -> u64 {
        self.asked_tokens
    }

    /// Takes note of the tokens that callers have asked of another instance in its lifetime `life`.
    pub fn update_peer_demand(
        &mut self,
        instance: &Arc<str>,
        life: u64,
        asked_tokens: u64,
        now: Millis,
    ) {
        let report = self
            .others
            .entry(Arc::clone(instance))
            .or_insert_with(|| Report {
                life,
                asked_tokens,
                demand: MeanRate::default(),
                heard_at: now,
            });
        let before = if report.life == life {
            report.asked_tokens
        } else {
            0
        };
        let silent_ms = now.since(report.heard_at);
        if silent_ms <= SILENCE_MS {
            report
                .demand
                .add(to_f64(asked_tokens.saturating_sub(before)), now);
        }
        report.life = life;
        report.asked_tokens = asked_tokens;
        report.heard_at = now;
    }

    /// Part of the account's rate and burst that this instance may use.
    fn share(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let rate = limit.tokens_per_s.max(1.0);
        let own = self.demand.per_s(now) / rate;
        let others = self.others_demand(limit, fleet, now) / rate;
        let all = own + others;
        if all >= 1.0 {
            return own / all;
        }
        let spare = 1.0 - all;
        own + spare * (IDLE_SHARES / fleet.size()).min(1.0)
    }

    /// Demand at the other instances, in tokens a second. One that has fallen silent keeps what it
    /// had, but at least an even part of the rate.
    fn others_demand(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let even = limit.tokens_per_s / fleet.size();
        let mut demand = 0.0;
        let mut heard = 1;
        for report in self.others.values() {
            let silent_ms = now.since(report.heard_at);
            if silent_ms > GONE_MS {
                continue;
            }
            heard += 1;
            let known = report.demand.per_s(report.heard_at);
            let is_silent = silent_ms > SILENCE_MS;
            demand += if is_silent { known.max(even) } else { known };
        }
        #[allow(clippy::cast_precision_loss)]
        let unheard = fleet.instances.saturating_sub(heard) as f64;
        demand + unheard * even
    }

    fn fill(&mut self, limit: &AccountLimit, share: f64, now: Millis) {
        let passed_s = to_f64(now.since(self.filled_at)) / 1_000.0;
        self.filled_at = now;
        let filled = self.level_tokens + passed_s * limit.tokens_per_s * share;
        self.level_tokens = filled.min(limit.burst_tokens * share);
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
