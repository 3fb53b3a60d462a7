//! Shares of rate and burst, computed from the configuration document alone.

use crate::document::{Document, WHOLE_PPM};
use crate::id::{AccountId, RegionId};
use crate::slot::Role;
use std::collections::HashMap;

/// Configured rate and burst of an account.
#[derive(Clone, Debug)]
pub(super) struct AccountLimits {
    pub(super) rate_tokens_per_s: u64,
    pub(super) burst_tokens: u64,
    bound_region: Option<RegionId>,
}

/// Share of an account's burst and rate that belongs to one part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PartShare {
    pub(super) cap_micro: u64,
    pub(super) rate_micro_per_s: u64,
}

impl PartShare {
    /// Minimum of burst and rate, each on its own.
    pub(super) fn min(self, other: Self) -> Self {
        Self {
            cap_micro: self.cap_micro.min(other.cap_micro),
            rate_micro_per_s: self.rate_micro_per_s.min(other.rate_micro_per_s),
        }
    }
}

/// Limits of all accounts in one revision of the document.
#[derive(Clone, Debug)]
pub(super) struct LimitTable {
    pub(super) revision: u64,
    /// Regions with their weights, in parts per million.
    regions: Vec<(RegionId, u64)>,
    pub(super) accounts: HashMap<AccountId, AccountLimits>,
}

impl LimitTable {
    pub(super) fn new(revision: u64, document: &Document) -> Self {
        let total: u64 = document
            .regions
            .iter()
            .map(|region| u64::from(region.rate_weight))
            .sum();
        let share = |weight: u32| u64::from(weight) * u64::from(WHOLE_PPM) / total.max(1);
        let regions = document
            .regions
            .iter()
            .map(|region| (region.id.clone(), share(region.rate_weight)))
            .collect();
        let accounts = document
            .accounts
            .iter()
            .map(|account| {
                let limits = AccountLimits {
                    rate_tokens_per_s: account.rate_tokens_per_s,
                    burst_tokens: account.burst_tokens,
                    bound_region: account.bound_region.clone(),
                };
                (account.id.clone(), limits)
            })
            .collect();
        Self {
            revision,
            regions,
            accounts,
        }
    }

    /// Regions in document order.
    pub(super) fn regions(&self) -> impl Iterator<Item = &RegionId> {
        self.regions.iter().map(|(region, _)| region)
    }

    /// Share of `account`'s part in `region` and `role`.
    pub(super) fn share(&self, account: &AccountId, region: &RegionId, role: Role) -> PartShare {
        let Some(limits) = self.accounts.get(account) else {
            return PartShare::default();
        };
        let weight_ppm = self.weight_ppm(limits, region) * role.share_ppm() / u64::from(WHOLE_PPM);
        // Tokens times parts per million yields micro-tokens.
        PartShare {
            cap_micro: limits.burst_tokens.saturating_mul(weight_ppm),
            rate_micro_per_s: limits.rate_tokens_per_s.saturating_mul(weight_ppm),
        }
    }

    fn weight_ppm(&self, limits: &AccountLimits, region: &RegionId) -> u64 {
        if let Some(bound) = &limits.bound_region {
            return if bound == region {
                u64::from(WHOLE_PPM)
            } else {
                0
            };
        }
        self.regions
            .iter()
            .find(|(id, _)| id == region)
            .map_or(0, |(_, weight_ppm)| *weight_ppm)
    }
}
