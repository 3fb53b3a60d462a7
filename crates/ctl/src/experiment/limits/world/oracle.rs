//! Checks all charges of an account against one bucket of exactly its rate and burst.

use carobwheel_core::id::AccountId;
use std::collections::BTreeMap;

const MS_PER_S: u64 = 1_000;

/// Tokens charged at one point of true time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TokenUse {
    /// True time, in milliseconds.
    pub at_ms: u64,
    /// Number of tokens.
    pub tokens: u64,
}

/// All charges of an account, under both methods of counting.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Tokens used, counted at the admission of their request.
    pub admitted: Vec<TokenUse>,
    /// Tokens used, counted when the prompt is read or the output token is generated.
    pub generated: Vec<TokenUse>,
}

/// An account that was charged more than its rate and burst allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The account.
    pub account: AccountId,
    /// Method of counting.
    pub counting: &'static str,
    /// True time at which the level of the reference bucket would become negative, in milliseconds.
    pub at_ms: u64,
    /// Tokens beyond the limit.
    pub excess_tokens: u64,
}

/// Runs a reference bucket over the charges and returns the first violation.
///
/// The limit holds for every window if and only if the level of a bucket that starts full never
/// becomes negative. This bucket starts empty, as all parts do, which is stricter.
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

fn overdraft(uses: &[TokenUse], rate_tokens_per_s: u64, burst_tokens: u64) -> Option<(u64, u64)> {
    let mut by_time: BTreeMap<u64, u64> = BTreeMap::new();
    for token_use in uses {
        *by_time.entry(token_use.at_ms).or_default() += token_use.tokens;
    }
    let burst_milli = burst_tokens * MS_PER_S;
    let mut level_milli = 0;
    let mut last_ms = 0;
    for (at_ms, tokens) in by_time {
        // Tokens per second times milliseconds gives thousandths of a token.
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
