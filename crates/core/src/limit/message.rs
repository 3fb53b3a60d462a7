//! Messages between lenders and borrowers.
//!
//! Every item may be lost, doubled, reordered or late. Asks are answered again from memory,
//! reports and acknowledgements are cumulative, audit answers only ever shrink.

use crate::id::{AccountId, RegionId};
use crate::slot::{Peer, Role};
use serde::{Deserialize, Serialize};

/// A message to send.
pub type OutgoingLoanMessage = (Peer, LoanMessage);

/// Asks the owner of a slot for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number of the loan, unique in the borrower's incarnation.
    pub loan: u64,
    /// Account to borrow for; it also names the shard.
    pub account: AccountId,
    /// Role of the slot in the lender's region.
    pub role: Role,
    /// Most that the borrower can use, in micro-tokens.
    pub wanted_micro: u64,
    /// A request waits for the tokens.
    pub is_urgent: bool,
}

/// The lender's answer to an ask; an amount of 0 is a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Number of the loan.
    pub loan: u64,
    /// Incarnation of the borrower that asked.
    pub incarnation: u64,
    /// Epoch in which the lender owns the slot.
    pub epoch: u64,
    /// Revision of the configuration document that the lender applies.
    pub revision: u64,
    /// Tokens lent, in micro-tokens.
    pub amount_micro: u64,
    /// What is left in the lender's part, in micro-tokens.
    pub level_micro: u64,
}

/// What became of a loan so far. Both sums only grow, and together they reach at most the amount.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Number of the loan.
    pub loan: u64,
    /// Tokens used, in micro-tokens.
    pub used_micro: u64,
    /// Tokens given back, in micro-tokens.
    pub returned_micro: u64,
}

/// The lender has noted a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanAck {
    /// Number of the loan.
    pub loan: u64,
    /// Incarnation of the borrower that reported.
    pub incarnation: u64,
    /// Nothing of the loan is outstanding any more.
    pub is_closed: bool,
    /// Tokens used as noted, in micro-tokens.
    pub used_micro: u64,
    /// Tokens given back as noted, in micro-tokens.
    pub returned_micro: u64,
}

/// The new owner of a slot asks what the receiver may still use of earlier owners' tokens.
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

/// Answer to an [`Audit`]. The sender accepts no more loans of earlier epochs.
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
    /// Levels that the sender, as the former owner, passes on by account, in micro-tokens.
    pub levels: Vec<(AccountId, u64)>,
}

/// All items for one receiver, over all accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanMessage {
    /// Asks for tokens.
    pub requests: Vec<LoanRequest>,
    /// Answers to asks.
    pub grants: Vec<LoanGrant>,
    /// Reports on loans taken.
    pub reports: Vec<LoanReport>,
    /// Acknowledgements of reports.
    pub acks: Vec<LoanAck>,
    /// Questions of new owners.
    pub audits: Vec<Audit>,
    /// Answers to new owners.
    pub audit_answers: Vec<AuditAnswer>,
}
