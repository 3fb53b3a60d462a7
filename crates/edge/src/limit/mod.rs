//! Distributed rate limits of client accounts.
//!
//! Each instance has a token bucket for each account, whose burst and refill rate are a share of
//! the account's. The shares follow the demand at each instance, which the instances exchange;
//! unused capacity is distributed as well. Since an instance spends only its own share, delayed
//! reports or a network partition have little effect on the total.

use crate::rate::MeanRate;
use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Sum over all instances of the shares of an idle account: more than one, so that the first
/// requests are accepted at whichever instance they arrive.
const IDLE_SHARES: f64 = 2.0;
/// Time without a report after which an instance's demand counts as unknown, in milliseconds.
const DEMAND_TIMEOUT_MS: u64 = 1_300;
/// Time without a report after which an instance is ignored, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 12_000;

/// Rate and burst of one account, over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimit {
    /// Refill rate, in tokens a second.
    pub tokens_per_s: f64,
    /// Bucket size, in tokens.
    pub burst_tokens: f64,
    /// Tokens by which all instances together may exceed the limit, so that no request within the
    /// limit is refused because its instance's share is too small.
    pub slack_tokens: f64,
}

/// Number of instances, and how many of them are reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Instances that may serve requests, including this one.
    pub instances: usize,
    /// Instances with recent messages, including this one.
    pub reachable: usize,
}

impl Fleet {
    #[allow(clippy::cast_precision_loss)]
    fn size(self) -> f64 {
        self.instances.max(self.reachable).max(1) as f64
    }
}

/// Demand reported by another instance.
#[derive(Clone, Debug)]
struct PeerDemand {
    life: u64,
    requested_tokens: u64,
    demand: MeanRate,
    received_at: Millis,
}

/// One instance's token bucket for one account.
#[derive(Clone, Debug)]
pub struct Bucket {
    level_tokens: f64,
    refilled_at: Millis,
    requested_tokens: u64,
    demand: MeanRate,
    peers: HashMap<Arc<str>, PeerDemand>,
}

impl Bucket {
    /// Creates a bucket that starts with an even share of the burst.
    pub fn new(limit: &AccountLimit, fleet: Fleet, now: Millis) -> Self {
        Self {
            level_tokens: limit.burst_tokens * (IDLE_SHARES / fleet.size()).min(1.0),
            refilled_at: now,
            requested_tokens: 0,
            demand: MeanRate::default(),
            peers: HashMap::new(),
        }
    }

    /// Charges `tokens` to the account.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds until enough tokens are available.
    pub fn take(
        &mut self,
        tokens: u64,
        limit: &AccountLimit,
        fleet: Fleet,
        now: Millis,
    ) -> Result<(), u64> {
        let wanted = to_f64(tokens);
        self.requested_tokens += tokens;
        self.demand.add(wanted, now);
        let share = self.share(limit, fleet, now);
        self.refill(limit, share, now);
        // A request larger than the burst may run once the bucket is full.
        let slack = limit.slack_tokens / fleet.size();
        let needed = wanted.min(limit.burst_tokens * share) - slack;
        if self.level_tokens < needed {
            let rate = (limit.tokens_per_s * share).max(1.0);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let wait_ms = ((needed - self.level_tokens) / rate * 1_000.0).ceil() as u64;
            return Err(wait_ms);
        }
        self.level_tokens -= wanted;
        Ok(())
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&mut self, tokens: u64) {
        self.level_tokens += to_f64(tokens);
    }

    /// Total tokens that callers requested from this instance since it started.
    pub fn requested_tokens(&self) -> u64 {
        self.requested_tokens
    }

    /// Records the total tokens that callers requested from another instance in its lifetime
    /// `life`.
    pub fn update_peer_demand(
        &mut self,
        instance: &Arc<str>,
        life: u64,
        requested_tokens: u64,
        now: Millis,
    ) {
        let report = self
            .peers
            .entry(Arc::clone(instance))
            .or_insert_with(|| PeerDemand {
                life,
                requested_tokens,
                demand: MeanRate::default(),
                received_at: now,
            });
        let before = if report.life == life {
            report.requested_tokens
        } else {
            0
        };
        let age_ms = now.since(report.received_at);
        if age_ms <= DEMAND_TIMEOUT_MS {
            report
                .demand
                .add(to_f64(requested_tokens.saturating_sub(before)), now);
        }
        report.life = life;
        report.requested_tokens = requested_tokens;
        report.received_at = now;
    }

    /// Share of the account's rate and burst that this instance may use.
    fn share(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let rate = limit.tokens_per_s.max(1.0);
        let own = self.demand.per_s(now) / rate;
        let peers = self.peer_demand(limit, fleet, now) / rate;
        let all = own + peers;
        if all >= 1.0 {
            return own / all;
        }
        let spare = 1.0 - all;
        own + spare * (IDLE_SHARES / fleet.size()).min(1.0)
    }

    /// Demand at the other instances, in tokens a second. An instance without recent reports counts
    /// with its last known demand, but at least with an even share of the rate.
    fn peer_demand(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let even = limit.tokens_per_s / fleet.size();
        let mut demand = 0.0;
        let mut reporting = 1;
        for report in self.peers.values() {
            let age_ms = now.since(report.received_at);
            if age_ms > PEER_TIMEOUT_MS {
                continue;
            }
            reporting += 1;
            let known = report.demand.per_s(report.received_at);
            let is_stale = age_ms > DEMAND_TIMEOUT_MS;
            demand += if is_stale { known.max(even) } else { known };
        }
        #[allow(clippy::cast_precision_loss)]
        let unreported = fleet.instances.saturating_sub(reporting) as f64;
        demand + unreported * even
    }

    fn refill(&mut self, limit: &AccountLimit, share: f64, now: Millis) {
        let elapsed_s = to_f64(now.since(self.refilled_at)) / 1_000.0;
        self.refilled_at = now;
        let refilled = self.level_tokens + elapsed_s * limit.tokens_per_s * share;
        self.level_tokens = refilled.min(limit.burst_tokens * share);
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
