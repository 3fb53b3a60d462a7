//! Faults of the environment, and defects injected into the limiter to verify that the checks
//! detect them.

use super::node::Node;
use carobwheel_core::document::Document;
use carobwheel_core::limit::{AuditAnswer, Limiter, LoanMessage, LoanReport, OutgoingLoanMessage};
use carobwheel_core::slot::OwnedSlot;
use carobwheel_core::time::Millis;

/// A fault or another scheduled change of the environment; instances and regions are indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed.
    Kill(usize),
    /// An instance is started if it is not running.
    Start(usize),
    /// An instance is paused for a number of milliseconds.
    Pause(usize, u64),
    /// An instance is disconnected from its peers for a number of milliseconds; callers and the
    /// store still reach it.
    Disconnect(usize, u64),
    /// The store becomes unavailable.
    StoreDown,
    /// The store becomes available again.
    StoreUp,
    /// A region is partitioned from all others.
    IsolateRegion(usize),
    /// All partitions between regions end.
    Heal,
    /// A revision of the document is published.
    Publish(u64),
}

/// A defect injected at the interface of the limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// The borrower is credited twice the amount that the lender has debited.
    LoanCreditedTwice,
    /// The lender treats a loan as returned at once and counts its tokens as its own again.
    LoanForgotten,
    /// An instance does not invalidate its slots after a long pause.
    PauseCheckDisabled,
    /// A new owner starts with full parts and does not audit its peers.
    NewOwnerStartsFull,
    /// An increased share takes effect before all instances have applied the revision.
    ImmediateShareGrowth,
}

/// Returns the message as received, modified if the defect concerns messages.
pub fn corrupt(defect: Defect, message: &LoanMessage) -> LoanMessage {
    let mut message = message.clone();
    if defect == Defect::LoanCreditedTwice {
        for request in &mut message.requests {
            request.wanted_micro /= 2;
        }
        for grant in &mut message.grants {
            grant.amount_micro *= 2;
        }
    }
    message
}

/// Makes a lender treat every loan that it has just granted as returned.
pub fn forget_loans(limiter: &mut Limiter, granted: &[OutgoingLoanMessage], now: Millis) {
    for (borrower, message) in granted {
        let reports = message.grants.iter().map(|grant| LoanReport {
            loan: grant.loan,
            used_micro: 0,
            returned_micro: grant.amount_micro,
        });
        let forged = LoanMessage {
            reports: reports.collect(),
            ..LoanMessage::default()
        };
        limiter.on_message(borrower, &forged, now);
    }
}

/// Fills the parts of slots that an instance has just acquired.
pub fn fill_new_slots(node: &mut Node, before: &[OwnedSlot], document: &Document, now: Millis) {
    let owned = node.reconciler.record().owned_by(&node.peer);
    let levels: Vec<_> = document
        .accounts
        .iter()
        .map(|account| (account.id.clone(), account.burst_tokens * 1_000_000))
        .collect();
    let mut members = node.known_peers();
    members.push(node.peer.clone());
    for slot in owned.iter().filter(|slot| !before.contains(slot)) {
        for member in &members {
            let answer = AuditAnswer {
                shard: slot.shard,
                role: slot.role,
                epoch: slot.epoch,
                revision: 0,
                outstanding: Vec::new(),
                levels: levels.clone(),
            };
            let forged = LoanMessage {
                audit_answers: vec![answer],
                ..LoanMessage::default()
            };
            node.limiter.on_message(member, &forged, now);
        }
    }
}
