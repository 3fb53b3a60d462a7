//! State of one account at one instance.

use super::part::BucketPart;
use super::table::PartShare;
use crate::slot::{Peer, SlotId};
use crate::time::Millis;

/// Time constant of the demand average, in milliseconds.
const DEMAND_TIME_CONSTANT_MS: f64 = 2_000.0;

/// State of one account. Idle accounts keep only their parts.
#[derive(Clone, Debug)]
pub(super) struct AccountState {
    pub(super) shard: u16,
    /// Own parts by role, in the order of `Role::ALL`.
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

    /// Tokens in the own parts that may be used, in micro-tokens.
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

/// State of an account that has been used lately.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveState {
    pub(super) demand: Demand,
    /// Numbers of the loans that are asked for or not spent.
    pub(super) loan_numbers: Vec<u64>,
    /// Slots of other owners.
    pub(super) remotes: Vec<RemoteSlot>,
}

/// Exponentially weighted average of the tokens that requests ask for.
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

    /// Tokens asked for in `span_ms` at the present rate, in micro-tokens.
    pub(super) fn expected_micro(&self, span_ms: u64, now: Millis) -> u64 {
        (self.decayed(now) * span_ms as f64 / DEMAND_TIME_CONSTANT_MS) as u64
    }

    fn decayed(&self, now: Millis) -> f64 {
        let elapsed_ms = now.since(self.updated) as f64;
        self.sum_micro * (-elapsed_ms / DEMAND_TIME_CONSTANT_MS).exp()
    }
}

/// What is known of a slot of another owner.
#[derive(Clone, Debug)]
pub(super) struct RemoteSlot {
    pub(super) slot: SlotId,
    pub(super) owner: Peer,
    pub(super) share: PartShare,
    pub(super) level_micro: u64,
    pub(super) updated: Millis,
    /// An ask to the slot is under way.
    pub(super) is_request_pending: bool,
}

impl RemoteSlot {
    /// What the slot can be expected to lend.
    pub(super) fn estimate_micro(&self, now: Millis) -> u64 {
        let accrued = self.share.rate_micro_per_s / 1_000 * now.since(self.updated);
        self.share.cap_micro.min(self.level_micro + accrued)
    }

    /// Notes a level that was seen or is expected.
    pub(super) fn note_level(&mut self, level_micro: u64, now: Millis) {
        self.level_micro = level_micro;
        self.updated = now;
    }
}
