//! Distributed rate limits of client accounts.
//!
//! Each instance has a token bucket for each account, whose burst and refill rate are a share of
//! the account's. The shares follow the demand at each instance, which the instances exchange;
//! unused capacity is distributed as well. Since an instance spends only its own share, delayed
//! reports or a network partition have little effect on the total.

mod peer;

pub use peer::SummedDemand;

use crate::rate::MeanRate;
use carobwheel_core::time::Millis;
use peer::PeerDemand;
use std::{collections::HashMap, sync::Arc};

/// Sum over all instances of the shares of an idle account: more than one, so that the first
/// requests are accepted at whichever instance they arrive.
const IDLE_SHARES: f64 = 2.0;
/// Time without a report after which an instance's demand counts as unknown, in milliseconds.
pub const DEMAND_TIMEOUT_MS: u64 = 1_300;
/// Time that an instance's reports have to cover before they tell its demand, in milliseconds.
pub const MIN_REPORTED_MS: u64 = 500;
/// Time over which the demand is averaged that bounds what a bucket holds, in milliseconds.
const LONG_DEMAND_MS: u64 = 8_000;
/// Share of an account's rate up to which requests larger than a part are granted at once.
const FREE_RATE_SHARE: f64 = 1.0;
/// Such requests that an instance grants before it has earned the first one.
const MAX_OWED_REQUESTS: f64 = 2.0;
/// Fraction of a grant that a new bucket starts with.
const FIRST_CHANCE: f64 = 0.5;
/// `Retry-After` of a request larger than a part that was not granted, in milliseconds.
const PART_WAIT_MS: u64 = 1_000;
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

/// One instance's token bucket for one account.
#[derive(Clone, Debug)]
pub struct Bucket {
    level_tokens: f64,
    refilled_at: Millis,
    requested_tokens: u64,
    demand: MeanRate,
    /// Demand over `LONG_DEMAND_MS`.
    long_demand: MeanRate,
    /// Fraction of a grant that parts have paid for.
    chance: f64,
    peers: HashMap<Arc<str>, PeerDemand>,
    /// Share at the time of the last request while all sums were recent.
    share_by_recent_sums: f64,
}

impl Bucket {
    /// Creates a bucket that starts with an even share of the burst.
    pub fn new(limit: &AccountLimit, fleet: Fleet, now: Millis) -> Self {
        Self {
            level_tokens: limit.burst_tokens * (IDLE_SHARES / fleet.size()).min(1.0),
            refilled_at: now,
            requested_tokens: 0,
            demand: MeanRate::default(),
            long_demand: MeanRate::over(LONG_DEMAND_MS),
            chance: FIRST_CHANCE,
            peers: HashMap::new(),
            share_by_recent_sums: 1.0,
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
        let idle_part = limit.burst_tokens * (IDLE_SHARES / fleet.size()).min(1.0);
        let result = if wanted <= idle_part {
            self.take_small(wanted, limit, fleet, now)
        } else {
            self.take_large(wanted, limit, fleet, now)
        };
        self.long_demand.add(wanted, now);
        result
    }

    /// Tokens that this instance may spend now. May be negative, since large requests are granted on
    /// credit.
    pub fn available_tokens(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let mut copy = self.clone();
        // A charge of nothing refills the bucket.
        let _ = copy.take_small(0.0, limit, fleet, now);
        copy.level_tokens
    }

    /// Takes a request that fits into an idle instance's part of the burst.
    fn take_small(
        &mut self,
        wanted: f64,
        limit: &AccountLimit,
        fleet: Fleet,
        now: Millis,
    ) -> Result<(), u64> {
        self.demand.add(wanted, now);
        let share = self.share(limit, fleet, now);
        let share = self.held_share(share, now);
        let elapsed_s = to_f64(now.since(self.refilled_at)) / 1_000.0;
        let earned = elapsed_s * limit.tokens_per_s * share;
        self.refill(earned, limit.burst_tokens * share, now);
        let needed = wanted.min(limit.burst_tokens * share) - limit.slack_tokens / fleet.size();
        if self.level_tokens < needed {
            return Err(self.wait_ms(needed, limit, share));
        }
        self.level_tokens -= wanted;
        Ok(())
    }

    /// Takes a request that is larger than an idle instance's part of the burst, as in a large fleet.
    /// While the known demand is within the rate it is granted, and the bucket owes it.
    fn take_large(
        &mut self,
        wanted: f64,
        limit: &AccountLimit,
        fleet: Fleet,
        now: Millis,
    ) -> Result<(), u64> {
        // The request itself is left out of the demand: at the moment of a rare request an instance
        // would always count itself as a busy one.
        let share = self.share(limit, fleet, now);
        let share = share.max(self.long_share(limit, fleet, now));
        let share = self.held_share(share, now);
        let slack = limit.slack_tokens / fleet.size();
        let part = limit.burst_tokens * share + slack;
        let earned = self.earned_by_demand(limit, fleet, now);
        self.refill(earned, limit.burst_tokens * share, now);
        let is_rate_free = self.is_rate_free(limit, fleet, now);
        self.demand.add(wanted, now);
        if is_rate_free && self.level_tokens >= -MAX_OWED_REQUESTS * wanted {
            self.level_tokens -= wanted;
            return Ok(());
        }
        let needed = wanted.min(part) - slack;
        if self.level_tokens < needed {
            return Err(self.wait_ms(needed, limit, share));
        }
        if wanted > part {
            return self.take_in_parts(wanted, part, limit);
        }
        self.level_tokens -= wanted;
        Ok(())
    }

    /// Time until the bucket holds `needed` tokens, in milliseconds.
    fn wait_ms(&self, needed: f64, limit: &AccountLimit, share: f64) -> u64 {
        let rate = (limit.tokens_per_s * share).max(1.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = ((needed - self.level_tokens) / rate * 1_000.0).ceil() as u64;
        wait_ms
    }

    /// Takes a request that is larger than this instance's part of the burst. Each full part buys a
    /// chance, so that all instances together grant no more than the sum of their parts.
    fn take_in_parts(&mut self, wanted: f64, part: f64, limit: &AccountLimit) -> Result<(), u64> {
        self.level_tokens -= part;
        self.chance += part / wanted.min(limit.burst_tokens).max(1.0);
        if self.chance >= 1.0 {
            self.chance -= 1.0;
            return Ok(());
        }
        Err(PART_WAIT_MS)
    }

    /// Whether the account is known to use so little of its rate that a request may be granted before
    /// this instance's part is full.
    fn is_rate_free(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> bool {
        let all = self.demand.per_s(now) + self.peer_demand(limit, fleet, now);
        let is_heard = fleet.instances <= 1 || !self.peers.is_empty();
        is_heard
            && !self.peers.values().any(|report| report.is_overdue(now))
            && all <= limit.tokens_per_s * FREE_RATE_SHARE
    }

    /// Share by the demand of a longer time: requests may be rare at each of many instances.
    fn long_share(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let own = self.long_demand.per_s(now);
        let all = own + self.peer_demand(limit, fleet, now);
        own / all.max(limit.tokens_per_s).max(1.0)
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
                summed_per_s: None,
                instances: 1,
                since: now,
                received_at: now,
            });
        let has_gap = report.is_overdue(now);
        if has_gap || report.life != life {
            // What was asked for meanwhile is unknown, so the average starts anew.
            report.demand = MeanRate::default();
            report.since = now;
        } else {
            let asked = requested_tokens.saturating_sub(report.requested_tokens);
            report.demand.add(to_f64(asked), now);
        }
        report.life = life;
        report.requested_tokens = requested_tokens;
        report.received_at = now;
    }

    /// Records the demand that a delegate has added up. `source` names the part of the fleet that the
    /// sum covers.
    pub fn update_summed_demand(&mut self, source: &Arc<str>, sum: SummedDemand, now: Millis) {
        let report = PeerDemand {
            life: 0,
            requested_tokens: 0,
            demand: MeanRate::default(),
            summed_per_s: Some(sum.per_s),
            instances: sum.instances,
            since: now,
            received_at: now,
        };
        self.peers.insert(Arc::clone(source), report);
    }

    /// Drops the reports of other instances, since another source replaces them.
    pub fn forget_peers(&mut self) {
        self.peers.clear();
    }

    /// Sum of the demand at this instance and at those sources of recent reports that `is_included`
    /// accepts, in tokens a second.
    pub fn summed_demand(&self, is_included: impl Fn(&str) -> bool, now: Millis) -> f64 {
        let is_recent = |report: &PeerDemand| now.since(report.received_at) <= DEMAND_TIMEOUT_MS;
        let peers = self.peers.iter();
        let included = peers.filter(|(source, report)| is_recent(report) && is_included(source));
        self.demand.per_s(now) + included.map(|(_, report)| report.per_s()).sum::<f64>()
    }

    /// The share, which does not grow while sums of others are overdue: all instances that miss the same
    /// sums would grow at the same time.
    fn held_share(&mut self, share: f64, now: Millis) -> f64 {
        let is_overdue =
            |report: &PeerDemand| report.summed_per_s.is_some() && report.is_overdue(now);
        if self.peers.values().any(is_overdue) {
            return share.min(self.share_by_recent_sums);
        }
        self.share_by_recent_sums = share;
        share
    }

    /// Share by the demand that is known.
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
            if age_ms > PEER_TIMEOUT_MS || !report.is_known() {
                continue;
            }
            reporting += report.instances;
            let known = report.per_s();
            let is_stale = age_ms > DEMAND_TIMEOUT_MS;
            #[allow(clippy::cast_precision_loss)]
            let even = even * report.instances as f64;
            demand += if is_stale { known.max(even) } else { known };
        }
        #[allow(clippy::cast_precision_loss)]
        let unreported = fleet.instances.saturating_sub(reporting) as f64;
        demand + unreported * even
    }

    /// Tokens that were earned since the last refill: the rate by the share of the demand during that
    /// time, and a part of what nobody asks for.
    fn earned_by_demand(&self, limit: &AccountLimit, fleet: Fleet, now: Millis) -> f64 {
        let elapsed_s = to_f64(now.since(self.refilled_at)) / 1_000.0;
        let own_tokens = self.demand.tokens_between(self.refilled_at, now);
        let own = own_tokens / elapsed_s.max(0.001);
        let all = own + self.peer_demand(limit, fleet, now);
        let rate = limit.tokens_per_s.max(1.0);
        if all >= rate {
            return own_tokens * rate / all;
        }
        own_tokens + elapsed_s * (rate - all) * (IDLE_SHARES / fleet.size()).min(1.0)
    }

    fn refill(&mut self, earned: f64, part_tokens: f64, now: Millis) {
        self.refilled_at = now;
        self.level_tokens = (self.level_tokens + earned).min(part_tokens);
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: u64) -> f64 {
    tokens as f64
}
