//! Charges of admitted requests.

use super::message::OutgoingLoanMessage;
use crate::id::AccountId;
use crate::slot::Role;
use crate::time::Millis;

/// An admitted request's charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChargeId(pub u64);

/// A request that wants to be charged.
#[derive(Clone, Copy, Debug)]
pub struct ChargeRequest<'a> {
    /// Account to charge.
    pub account: &'a AccountId,
    /// Tokens of the prompt; used at once.
    pub prompt_tokens: u64,
    /// Most tokens that may be generated; reserved until the request is settled.
    pub max_output_tokens: u64,
    /// Time until which the request may wait for tokens.
    pub wait_until: Millis,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChargeOutcome {
    /// Charged: the request may run, and has to be settled when it ends.
    Admitted {
        /// The charge to settle.
        charge: ChargeId,
    },
    /// Send `messages` (none if asks are under way already) and try again when an answer has
    /// come, at the latest after `wait_ms`.
    Borrow {
        /// Messages to other owners.
        messages: Vec<OutgoingLoanMessage>,
        /// Longest time to the next try, in milliseconds.
        wait_ms: u64,
    },
    /// Try again after `ms`: enough tokens accrue before the request's time is up.
    Wait {
        /// Time to the next try, in milliseconds.
        ms: u64,
    },
    /// Not enough tokens accrue in time.
    Refused {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request exceeds the account's whole burst and can never be admitted.
    TooLarge,
    /// The document in force names no such account.
    UnknownAccount,
}

/// Where a charge's tokens come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationOrigin {
    /// The own part in a role, owned in an epoch.
    Part { role: Role, epoch: u64 },
    /// A loan by number.
    Loan(u64),
}

/// A reservation against one origin.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) origin: ReservationOrigin,
    pub(super) reserved_micro: u64,
}

/// An admitted request that is not settled yet.
#[derive(Clone, Debug)]
pub(super) struct Charge {
    pub(super) account: AccountId,
    pub(super) reservations: Vec<Reservation>,
    /// Revision of the document at admission.
    pub(super) revision: u64,
    pub(super) expires: Millis,
}
