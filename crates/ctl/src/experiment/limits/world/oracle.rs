//! Checks of what was charged against one bucket of exactly the account's rate and burst.

use carobwheel_core::id::AccountId;
use std::collections::BTreeMap;

const MS_PER_S: u64 = 1_000;

/// Tokens charged at a moment of true time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Use {
    /// True time, in milliseconds.
    pub at_ms: u64,
    /// Tokens.
    pub tokens: u64,
}

/// Everything that an account was charged, under both moments of counting.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Tokens used, counted when their request was admitted.
    pub admitted: Vec<Use>,
    /// Tokens used, counted when they were read or generated.
    pub generated: Vec<Use>,
}

/// An account that was charged more than its rate and burst allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The account.
    pub account: AccountId,
    /// Moment of counting.
    pub counting: &'static str,
    /// True time at which the reference bucket would have become negative, in milliseconds.
    pub at_ms: u64,
    /// Tokens beyond the limit.
    pub excess_tokens: u64,
}

/// Runs a reference bucket over the charges; the limit holds for every window exactly if a bucket
/// that starts full never becomes negative. Here it starts empty, as all parts do, which is
/// stricter.
pub fn violation(
    account: &AccountId,
    ledger: &Ledger,
    rate_tokens_per_s: u64,
    burst_tokens: u64,
) -> Option<Violation> {
    let countings = [
        ("at admission", &ledger.admitted),
        ("as generated", &ledger.generated),
    ];
    countings.into_iter().find_map(|(counting, uses)| {
        let (at_ms, excess_tokens) = overdraft(uses, rate_tokens_per_s, burst_tokens)?;
        Some(Violation {
            account: account.clone(),
            counting,
            at_ms,
            excess_tokens,
        })
    })
}

fn overdraft(uses: &[Use], rate_tokens_per_s: u64, burst_tokens: u64) -> Option<(u64, u64)> {
    let mut by_time: BTreeMap<u64, u64> = BTreeMap::new();
    for of in uses {
        *by_time.entry(of.at_ms).or_default() += of.tokens;
    }
    let burst_milli = burst_tokens * MS_PER_S;
    let mut level_milli = 0;
    let mut last_ms = 0;
    for (at_ms, tokens) in by_time {
        // Tokens a second times milliseconds are thousandths of a token.
        level_milli = burst_milli.min(level_milli + rate_tokens_per_s * (at_ms - last_ms));
        last_ms = at_ms;
        let charged_milli = tokens * MS_PER_S;
        if charged_milli > level_milli {
            return Some((at_ms, (charged_milli - level_milli).div_ceil(MS_PER_S)));
        }
        level_milli -= charged_milli;
    }
    None
}
