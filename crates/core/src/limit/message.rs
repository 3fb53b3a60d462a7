//! Messages between lenders and borrowers.
//!
//! Every item may be lost, duplicated, reordered or delayed. A duplicate loan request gets the
//! stored grant, reports and acknowledgements are cumulative, and amounts in audit answers only
//! decrease.

use crate::id::{AccountId, RegionId};
use crate::slot::{Peer, Role};
use serde::{Deserialize, Serialize};

/// A loan message with its receiver.
pub type OutgoingLoanMessage = (Peer, LoanMessage);

/// Loan request to the owner of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the loan, unique within the borrower's incarnation.
    pub loan: u64,
    /// Account to borrow for; it also determines the shard.
    pub account: AccountId,
    /// Role of the slot in the lender's region.
    pub role: Role,
    /// Maximum amount that the borrower can use, in micro-tokens.
    pub wanted_micro: u64,
    /// An inference request is waiting for the tokens.
    pub is_urgent: bool,
}

/// Answer to a [`LoanRequest`]; an amount of 0 is a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Number of the loan.
    pub loan: u64,
    /// Incarnation of the borrower that sent the request.
    pub incarnation: u64,
    /// Epoch in which the lender owns the slot.
    pub epoch: u64,
    /// Revision of the configuration document that the lender applies.
    pub revision: u64,
    /// Tokens lent, in micro-tokens.
    pub amount_micro: u64,
    /// Lendable amount left in the lender's part, in micro-tokens.
    pub level_micro: u64,
}

/// Cumulative report on a loan. Both amounts only increase, and their sum never exceeds the amount
/// lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Number of the loan.
    pub loan: u64,
    /// Used tokens, in micro-tokens.
    pub used_micro: u64,
    /// Returned tokens, in micro-tokens.
    pub returned_micro: u64,
}

/// Acknowledgement of a [`LoanReport`] by the lender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAck {
    /// Number of the loan.
    pub loan: u64,
    /// Incarnation of the borrower that reported.
    pub incarnation: u64,
    /// The loan is closed: no amount is outstanding.
    pub is_closed: bool,
    /// Used tokens recorded by the lender, in micro-tokens.
    pub used_micro: u64,
    /// Returned tokens recorded by the lender, in micro-tokens.
    pub returned_micro: u64,
}

/// Query by a slot's new owner: how many tokens of earlier owners the receiver may still spend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Region of the slot.
    pub region: RegionId,
    /// Shard of the slot.
    pub shard: u16,
    /// Role of the slot.
    pub role: Role,
    /// Epoch of the new owner.
    pub epoch: u64,
}

/// Answer to an [`Audit`]. The sender no longer accepts grants of earlier epochs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditAnswer {
    /// Shard of the slot.
    pub shard: u16,
    /// Role of the slot.
    pub role: Role,
    /// Epoch of the new owner.
    pub epoch: u64,
    /// Revision of the configuration document that the sender applies.
    pub revision: u64,
    /// Reservations of earlier epochs by account, in micro-tokens.
    pub outstanding: Vec<(AccountId, u64)>,
    /// Levels by account that the sender hands over as the former owner, in micro-tokens.
    pub levels: Vec<(AccountId, u64)>,
}

/// Batch of all items for one receiver, across accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanMessage {
    /// Loan requests.
    pub requests: Vec<LoanRequest>,
    /// Answers to loan requests.
    pub grants: Vec<LoanGrant>,
    /// Reports on taken loans.
    pub reports: Vec<LoanReport>,
    /// Acknowledgements of reports.
    pub acks: Vec<LoanAck>,
    /// Audits by new owners of slots.
    pub audits: Vec<Audit>,
    /// Answers to audits.
    pub audit_answers: Vec<AuditAnswer>,
}
