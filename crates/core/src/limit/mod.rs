//! Rate and burst of a client account: token buckets, parts and lending.
//!
//! An account's bucket is split into parts, one for each slot of its shard. A [`Limiter`] holds
//! the parts of the slots that one instance owns, the loans it has taken from other owners, and
//! the charges of the requests it has admitted. The rule that carries the proof (see
//! `docs/design/limits.md`) is that a part's level, its reservations and its loans together never
//! exceed the part's share of the burst.
//!
//! Amounts are micro-tokens, so that slow rates with ticks of a millisecond are exact.

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

/// Micro-tokens in a token.
pub const MICRO_PER_TOKEN: u64 = 1_000_000;
/// Parts refill at this share of the rate, in parts per thousand, which covers clock drift.
pub const REFILL_PER_MILLE: u64 = 999;
/// Time for which a borrower may admit requests against a loan, from its asking, in milliseconds.
pub const LOAN_USABLE_MS: u64 = 10_000;
/// Longest time from admission to settlement, in milliseconds; the request has to end by then.
pub const MAX_CHARGE_DURATION_MS: u64 = 600_000;
/// Allowed difference between two clocks, in parts per million.
pub const MAX_CLOCK_DRIFT_PPM: u64 = 1_000;
/// Time after its start in which an instance borrows nothing, in milliseconds. Until then a new
/// owner of a slot might not know of it and would not ask it what it has borrowed.
pub const JOIN_DELAY_MS: u64 = 3_000;
/// Time for which a lender counts a loan that is not reported, in milliseconds.
pub const GIVEN_LOAN_LIFE_MS: u64 = with_drift(with_drift(LOAN_USABLE_MS + MAX_CHARGE_DURATION_MS));
/// Time after which nobody can still spend tokens of a slot's former owner, in milliseconds.
pub const FORMER_OWNER_HOLD_MS: u64 = GIVEN_LOAN_LIFE_MS;

const fn with_drift(duration_ms: u64) -> u64 {
    duration_ms + duration_ms * MAX_CLOCK_DRIFT_PPM / 1_000_000 + 1
}
