//! Parts of an account's token bucket.

use super::REFILL_PER_MILLE;
use crate::time::Millis;

/// Units of accrual per micro-token: 1,000 milliseconds a second times 1,000 parts per thousand.
const ACCRUAL_SCALE: u128 = 1_000_000;

/// Part of an account's token bucket that belongs to one slot.
#[derive(Clone, Debug, Default)]
pub(super) struct BucketPart {
    /// Epoch of the slot's ownership.
    pub(super) epoch: u64,
    /// The slot is being handed over: the part must not be used.
    pub(super) is_suspended: bool,
    /// Tokens that can be charged or lent.
    pub(super) level_micro: u64,
    /// Output tokens that admitted requests may still generate.
    pub(super) reserved_micro: u64,
    /// Lent tokens that borrowers have not reported as used or returned.
    pub(super) lent_micro: u64,
    /// Tokens of earlier owners that other instances may still spend.
    pub(super) held_micro: u64,
    /// The part's share of the burst.
    pub(super) cap_micro: u64,
    /// The part's share of the rate, in micro-tokens a second.
    pub(super) rate_micro_per_s: u64,
    /// Accrued fraction of a micro-token, in millionths.
    remainder: u32,
    updated: Millis,
}

impl BucketPart {
    /// Creates an empty part.
    pub(super) fn new(epoch: u64, now: Millis) -> Self {
        Self {
            epoch,
            updated: now,
            ..Self::default()
        }
    }

    /// Adds the tokens accrued since the last update.
    pub(super) fn accrue(&mut self, now: Millis) {
        let elapsed_ms = now.since(self.updated);
        if elapsed_ms == 0 {
            return;
        }
        self.updated = now;
        let per_s = u128::from(self.rate_micro_per_s) * u128::from(REFILL_PER_MILLE);
        let scaled = per_s * u128::from(elapsed_ms) + u128::from(self.remainder);
        let gained = u64::try_from(scaled / ACCRUAL_SCALE).unwrap_or(u64::MAX);
        self.remainder = u32::try_from(scaled % ACCRUAL_SCALE).unwrap_or(0);
        self.level_micro = self.level_micro.saturating_add(gained);
        self.clamp_level();
    }

    /// Tokens that are not in the level but may still be spent.
    pub(super) fn committed_micro(&self) -> u64 {
        self.reserved_micro
            .saturating_add(self.lent_micro)
            .saturating_add(self.held_micro)
    }

    /// Whether the committed tokens are within the part's share of the burst.
    pub(super) fn is_within_share(&self) -> bool {
        self.committed_micro() <= self.cap_micro
    }

    /// Clamps the level to the room that committed tokens leave in the share of the burst.
    fn clamp_level(&mut self) {
        let room = self.cap_micro.saturating_sub(self.committed_micro());
        if self.level_micro > room {
            self.level_micro = room;
            self.remainder = 0;
        }
        assert!(
            self.level_micro == 0 || self.level_micro + self.committed_micro() <= self.cap_micro,
            "part exceeds its share of the burst"
        );
    }

    /// Sets the part's shares of the burst and the rate.
    pub(super) fn set_limits(&mut self, cap_micro: u64, rate_micro_per_s: u64, now: Millis) {
        self.accrue(now);
        self.cap_micro = cap_micro;
        self.rate_micro_per_s = rate_micro_per_s;
        self.clamp_level();
    }

    /// Sets the amount held back for tokens of earlier owners.
    pub(super) fn set_held(&mut self, held_micro: u64, now: Millis) {
        self.accrue(now);
        self.held_micro = held_micro;
        self.clamp_level();
    }

    /// Adds tokens that the former owner hands over.
    pub(super) fn add_level(&mut self, amount_micro: u64) {
        self.level_micro = self.level_micro.saturating_add(amount_micro);
        self.clamp_level();
    }

    /// Charges tokens to the level: `used_micro` is spent, `reserved_micro` becomes a reservation.
    pub(super) fn charge(&mut self, used_micro: u64, reserved_micro: u64) {
        let total = used_micro + reserved_micro;
        assert!(total <= self.level_micro, "charge exceeds the part's level");
        self.level_micro -= total;
        self.reserved_micro += reserved_micro;
    }

    /// Releases a reservation of which `used_micro` was used.
    pub(super) fn settle(&mut self, reserved_micro: u64, used_micro: u64, now: Millis) {
        assert!(
            used_micro <= reserved_micro,
            "settled more tokens than were reserved"
        );
        assert!(
            reserved_micro <= self.reserved_micro,
            "reservation settled twice"
        );
        self.accrue(now);
        self.reserved_micro -= reserved_micro;
        self.level_micro += reserved_micro - used_micro;
        self.clamp_level();
    }

    /// Lends tokens from the level.
    pub(super) fn lend(&mut self, amount_micro: u64) {
        assert!(
            amount_micro <= self.level_micro,
            "loan exceeds the part's level"
        );
        self.level_micro -= amount_micro;
        self.lent_micro += amount_micro;
    }

    /// Applies a borrower's report of used and returned tokens.
    pub(super) fn repay(&mut self, used_micro: u64, returned_micro: u64, now: Millis) {
        let total = used_micro + returned_micro;
        assert!(
            total <= self.lent_micro,
            "reported more tokens than were lent"
        );
        self.accrue(now);
        self.lent_micro -= total;
        self.level_micro += returned_micro;
        self.clamp_level();
    }
}
