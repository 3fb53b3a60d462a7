//! Charges of admitted requests, and the outcomes of charging.

use super::message::OutgoingLoanMessage;
use crate::id::AccountId;
use crate::slot::Role;
use crate::time::Millis;

/// Identifier of an admitted request's charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChargeId(pub u64);

/// Request to charge an account.
#[derive(Clone, Copy, Debug)]
pub struct ChargeRequest<'a> {
    /// Account to charge.
    pub account: &'a AccountId,
    /// Prompt tokens; used on admission.
    pub prompt_tokens: u64,
    /// Maximum number of generated tokens; reserved until the charge is settled.
    pub max_output_tokens: u64,
    /// Deadline of the wait for tokens.
    pub wait_until: Millis,
}

/// Outcome of an attempt to charge a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// The request is charged and may run. The charge must be settled when the request ends.
    Admitted {
        /// The charge to settle.
        charge: ChargeId,
    },
    /// Tokens are being borrowed: send `messages` (empty if loan requests are already in flight)
    /// and try again when a grant arrives, or after `wait_ms` at the latest.
    Borrow {
        /// Loan requests to other owners.
        messages: Vec<OutgoingLoanMessage>,
        /// Maximum delay of the next attempt, in milliseconds.
        wait_ms: u64,
    },
    /// Try again after `ms`: enough tokens accrue before the deadline.
    Wait {
        /// Delay of the next attempt, in milliseconds.
        ms: u64,
    },
    /// Not enough tokens accrue before the deadline.
    Refused {
        /// Delay after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request exceeds the account's burst and can never be admitted.
    TooLarge,
    /// The document in force has no such account.
    UnknownAccount,
}

/// Origin of reserved tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationOrigin {
    /// A part owned by this instance, by role and epoch of ownership.
    Part { role: Role, epoch: u64 },
    /// A taken loan, by number.
    Loan(u64),
}

/// Tokens that a charge reserves at one origin.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) origin: ReservationOrigin,
    pub(super) reserved_micro: u64,
}

/// Charge of an admitted request that is not settled yet.
#[derive(Clone, Debug)]
pub(super) struct Charge {
    pub(super) account: AccountId,
    pub(super) reservations: Vec<Reservation>,
    /// Document revision at admission.
    pub(super) revision: u64,
    pub(super) expires: Millis,
}
