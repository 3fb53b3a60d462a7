//! Faults of the world, and faults planted in the mechanism to show that the checks catch them.

use super::node::Node;
use carobwheel_core::document::Document;
use carobwheel_core::limit::{AuditAnswer, Limiter, LoanMessage, LoanReport, OutgoingLoanMessage};
use carobwheel_core::slot::OwnedSlot;
use carobwheel_core::time::Millis;

/// Something that happens to the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed.
    Kill(usize),
    /// An instance is started, if it does not run.
    Start(usize),
    /// An instance is paused for some milliseconds.
    Pause(usize, u64),
    /// Messages from and to an instance are lost for some milliseconds; callers still reach it.
    Disconnect(usize, u64),
    /// The store goes down.
    StoreDown,
    /// The store comes back.
    StoreUp,
    /// A region is cut off from the others.
    IsolateRegion(usize),
    /// All regions are joined again.
    Heal,
    /// A revision of the document is published.
    Publish(u64),
}

/// A fault planted at the interface of the limiters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No fault is planted.
    None,
    /// The borrower is credited twice what the lender has debited.
    LoanCreditedTwice,
    /// The lender forgets a loan and counts its tokens as its own again.
    LoanForgotten,
    /// An instance that wakes from a long pause goes on as before.
    PauseCheckDisabled,
    /// A new owner starts with full parts and asks no one.
    NewOwnerStartsFull,
    /// A share that grows counts at once.
    ImmediateShareGrowth,
}

/// The message as it arrives.
pub fn corrupt(defect: Defect, message: &LoanMessage) -> LoanMessage {
    let mut message = message.clone();
    if defect == Defect::LoanCreditedTwice {
        for ask in &mut message.requests {
            ask.wanted_micro /= 2;
        }
        for grant in &mut message.grants {
            grant.amount_micro *= 2;
        }
    }
    message
}

/// Makes a lender take every loan that it has just granted as given back.
pub fn forget_lent(limiter: &mut Limiter, granted: &[OutgoingLoanMessage], now: Millis) {
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

/// Fills the parts of slots that an instance has just taken over.
pub fn fill_new_slots(node: &mut Node, before: &[OwnedSlot], document: &Document, now: Millis) {
    let owned = node.keeper.record().owned_by(&node.peer);
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
