//! Rate limits of client accounts: distributed token buckets with lending between instances.
//!
//! An account's bucket is split into parts, one for each slot of its shard. A [`Limiter`] holds
//! the parts of the slots that one instance owns, the loans it has taken from other owners, and
//! the charges of the requests it has admitted. The invariant behind the correctness proof (see
//! `docs/design/limits.md`) is that a part's level, its reservations and its loans together never
//! exceed the part's share of the burst.
//!
//! Amounts are in micro-tokens, so that low rates accrue exactly even in ticks of 1 ms.

mod account;
mod audit;
mod borrow;
mod charge;
mod charging;
mod lend;
mod limiter;
mod loan;
mod maintenance;
mod message;
mod part;
mod table;

pub use charge::{ChargeId, ChargeOutcome, ChargeRequest};
pub use limiter::{Limiter, LimiterTotals};
pub use message::{
    Audit, AuditAnswer, LoanAck, LoanGrant, LoanMessage, LoanReport, LoanRequest,
    OutgoingLoanMessage,
};

/// Micro-tokens per token.
pub const MICRO_PER_TOKEN: u64 = 1_000_000;
/// Refill rate of parts relative to the account's rate, in parts per thousand. Less than 1000, to
/// allow for clock drift.
pub const REFILL_PER_MILLE: u64 = 999;
/// Period after the loan request during which a borrower may admit requests against the loan, in
/// milliseconds.
pub const LOAN_USABLE_MS: u64 = 10_000;
/// Maximum time from admission to settlement, in milliseconds. The request must end by then.
pub const MAX_CHARGE_DURATION_MS: u64 = 600_000;
/// Maximum drift between two clocks, in parts per million.
pub const MAX_CLOCK_DRIFT_PPM: u64 = 1_000;
/// Delay after its start before an instance borrows, in milliseconds. Before that, a new owner of a
/// slot might not know the instance and would not audit its loans.
pub const JOIN_DELAY_MS: u64 = 3_000;
/// Period for which a lender counts a loan as outstanding without a report, in milliseconds.
pub const GIVEN_LOAN_LIFE_MS: u64 = with_drift(with_drift(LOAN_USABLE_MS + MAX_CHARGE_DURATION_MS));
/// Period after a change of owner in which tokens of a slot's former owner may still be spent, in
/// milliseconds.
pub const FORMER_OWNER_HOLD_MS: u64 = GIVEN_LOAN_LIFE_MS;

/// Adds the maximum clock drift to a duration, rounded up.
const fn with_drift(duration_ms: u64) -> u64 {
    duration_ms + duration_ms * MAX_CLOCK_DRIFT_PPM / 1_000_000 + 1
}
