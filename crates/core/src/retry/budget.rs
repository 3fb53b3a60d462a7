//! The retry budget: retries and hedges are at most a share of the requests.

/// Most retries that may be saved up, which bounds the burst of retries after a quiet time.
pub const MAX_SAVED_RETRIES: u64 = 100;
/// Parts of one retry; a request pays in one part for each percent of the share.
const RETRY_PARTS: u64 = 100;

/// A token bucket that each request fills by a share of one retry.
///
/// Every instance keeps its own, so retries of the whole fleet are at most the same share of the
/// requests of the whole fleet. It starts empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share_pct: u32,
    pub(super) parts: u64,
    paid_in_parts: u64,
    retries: u64,
}

impl RetryBudget {
    /// A budget of `share_pct` retries for each 100 requests.
    pub fn new(share_pct: u32) -> Self {
        Self {
            share_pct,
            parts: 0,
            paid_in_parts: 0,
            retries: 0,
        }
    }

    /// Changes the share for the requests that follow.
    pub fn set_share_pct(&mut self, share_pct: u32) {
        self.share_pct = share_pct;
    }

    /// Pays in for one request, at its first attempt.
    pub fn on_request(&mut self) {
        let parts = u64::from(self.share_pct);
        self.paid_in_parts += parts;
        self.parts = (self.parts + parts).min(MAX_SAVED_RETRIES * RETRY_PARTS);
    }

    /// Takes one retry or hedge; false if none is left.
    ///
    /// # Panics
    ///
    /// Panics if more were taken than the share allows, which is a fault of the program.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.parts.checked_sub(RETRY_PARTS) else {
            return false;
        };
        self.parts = rest;
        self.retries += 1;
        assert!(
            self.retries * RETRY_PARTS <= self.paid_in_parts,
            "more retries than the budget allows"
        );
        true
    }

    /// Retries and hedges taken so far.
    pub fn retries(&self) -> u64 {
        self.retries
    }
}
