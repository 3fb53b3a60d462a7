//! Retry budget, which limits retries and hedges to a share of the requests.

/// Maximum number of saved-up retries, which bounds the burst of retries after a quiet period.
pub const MAX_SAVED_RETRIES: u64 = 100;
/// Number of budget units that one retry costs; each request adds one unit per percent of the
/// share.
const PARTS_PER_RETRY: u64 = 100;

/// Token bucket to which each request adds a fraction of one retry.
///
/// Every instance has its own budget, so the fleet's retries are limited to the same share of the
/// fleet's requests. The bucket starts empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share_pct: u32,
    pub(super) available_parts: u64,
    credited_parts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows `share_pct` retries per 100 requests.
    pub fn new(share_pct: u32) -> Self {
        Self {
            share_pct,
            available_parts: 0,
            credited_parts: 0,
            retries: 0,
        }
    }

    /// Changes the share for subsequent requests.
    pub fn set_share_pct(&mut self, share_pct: u32) {
        self.share_pct = share_pct;
    }

    /// Credits the budget for one request. Has to be called at its first attempt.
    pub fn on_request(&mut self) {
        let parts = u64::from(self.share_pct);
        self.credited_parts += parts;
        self.available_parts =
            (self.available_parts + parts).min(MAX_SAVED_RETRIES * PARTS_PER_RETRY);
    }

    /// Consumes one retry or hedge. Returns false if none is available.
    ///
    /// # Panics
    ///
    /// Panics if more retries were consumed than the share allows, which is a bug.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.available_parts.checked_sub(PARTS_PER_RETRY) else {
            return false;
        };
        self.available_parts = rest;
        self.retries += 1;
        assert!(
            self.retries * PARTS_PER_RETRY <= self.credited_parts,
            "more retries than the budget allows"
        );
        true
    }

    /// Returns the number of retries and hedges consumed so far.
    pub fn retries(&self) -> u64 {
        self.retries
    }
}
