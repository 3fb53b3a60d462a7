//! Per-account limiter state of one instance.

use super::part::BucketPart;
use super::table::PartShare;
use crate::slot::{Peer, SlotId};
use crate::time::Millis;

/// Time constant of the exponentially weighted demand average, in milliseconds.
const DEMAND_TIME_CONSTANT_MS: f64 = 2_000.0;

/// Limiter state of one account. An idle account holds only its bucket parts.
#[derive(Clone, Debug)]
pub(super) struct AccountState {
    pub(super) shard: u16,
    /// Parts owned by this instance, indexed by role in the order of `Role::ALL`.
    pub(super) parts: [Option<BucketPart>; 2],
    pub(super) active: Option<Box<ActiveState>>,
}

impl AccountState {
    pub(super) fn new(shard: u16) -> Self {
        Self {
            shard,
            parts: [None, None],
            active: None,
        }
    }

    /// Spendable tokens in the parts owned by this instance, in micro-tokens.
    pub(super) fn level_micro(&mut self, now: Millis) -> u64 {
        let mut total = 0;
        for part in self.parts.iter_mut().flatten() {
            part.accrue(now);
            if !part.is_suspended {
                total += part.level_micro;
            }
        }
        total
    }
}

/// Additional state of an account with recent requests or open loans.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveState {
    pub(super) demand: Demand,
    /// Numbers of the taken loans that are requested or still hold unspent tokens.
    pub(super) loan_numbers: Vec<u64>,
    /// Slots of the account's shard that other instances own.
    pub(super) remotes: Vec<RemoteSlot>,
}

/// Exponentially weighted average of the tokens requested per time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    sum_micro: f64,
    updated: Millis,
}

impl Demand {
    pub(super) fn add(&mut self, amount_micro: u64, now: Millis) {
        self.sum_micro = self.decayed(now) + amount_micro as f64;
        self.updated = now;
    }

    /// Expected demand over the next `span_ms` at the current rate, in micro-tokens.
    pub(super) fn expected_micro(&self, span_ms: u64, now: Millis) -> u64 {
        (self.decayed(now) * span_ms as f64 / DEMAND_TIME_CONSTANT_MS) as u64
    }

    fn decayed(&self, now: Millis) -> f64 {
        let elapsed_ms = now.since(self.updated) as f64;
        self.sum_micro * (-elapsed_ms / DEMAND_TIME_CONSTANT_MS).exp()
    }
}

/// Local estimate of a slot that another instance owns.
#[derive(Clone, Debug)]
pub(super) struct RemoteSlot {
    pub(super) slot: SlotId,
    pub(super) owner: Peer,
    pub(super) share: PartShare,
    pub(super) level_micro: u64,
    pub(super) updated: Millis,
    /// A loan request to the slot is in flight.
    pub(super) is_request_pending: bool,
}

impl RemoteSlot {
    /// Estimated amount that the slot can lend, in micro-tokens.
    pub(super) fn estimate_micro(&self, now: Millis) -> u64 {
        let accrued = self.share.rate_micro_per_s / 1_000 * now.since(self.updated);
        self.share.cap_micro.min(self.level_micro + accrued)
    }

    /// Sets the estimated level to a reported or predicted value.
    pub(super) fn note_level(&mut self, level_micro: u64, now: Millis) {
        self.level_micro = level_micro;
        self.updated = now;
    }
}
