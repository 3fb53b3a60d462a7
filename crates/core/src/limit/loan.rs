//! Loans as their borrower and their lender keep them.

use super::message::{LoanGrant, LoanReport};
use super::{FORMER_OWNER_HOLD_MS, LOAN_USABLE_MS, MAX_CLOCK_DRIFT_PPM};
use crate::id::AccountId;
use crate::slot::{Peer, Role, SlotId};
use crate::time::Millis;

/// Time after which an ask without an answer is given up, in milliseconds.
pub(super) const LOAN_REQUEST_TIMEOUT_MS: u64 = 1_000;
/// Time between two reports on the same loan while nothing is final, in milliseconds.
const PARTIAL_REPORT_INTERVAL_MS: u64 = 1_000;
/// Time after which a final report without an acknowledgement is sent again, in milliseconds.
const FINAL_REPORT_RETRY_MS: u64 = 1_000;

/// A loan as the borrower keeps it.
#[derive(Clone, Debug)]
pub(super) struct TakenLoan {
    pub(super) account: AccountId,
    pub(super) slot: SlotId,
    pub(super) lender: Peer,
    pub(super) requested_at: Millis,
    pub(super) wanted_micro: u64,
    /// Absent until the lender has answered.
    pub(super) granted: Option<GrantTerms>,
    pub(super) unspent_micro: u64,
    pub(super) reserved_micro: u64,
    pub(super) used_micro: u64,
    pub(super) returned_micro: u64,
    acked_micro: u64,
    reported_micro: u64,
    reported_at: Millis,
}

/// Under what conditions a loan was granted.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantTerms {
    pub(super) epoch: u64,
    pub(super) revision: u64,
}

impl TakenLoan {
    pub(super) fn new(
        account: AccountId,
        slot: SlotId,
        lender: Peer,
        wanted_micro: u64,
        requested_at: Millis,
    ) -> Self {
        Self {
            account,
            slot,
            lender,
            requested_at,
            wanted_micro,
            granted: None,
            unspent_micro: 0,
            reserved_micro: 0,
            used_micro: 0,
            returned_micro: 0,
            acked_micro: 0,
            reported_micro: 0,
            reported_at: requested_at,
        }
    }

    /// Takes the lender's answer, which the caller has checked.
    pub(super) fn grant(&mut self, grant: &LoanGrant) {
        assert!(self.granted.is_none(), "a loan credited twice");
        assert!(grant.amount_micro <= self.wanted_micro, "a loan too large");
        self.unspent_micro = grant.amount_micro;
        self.granted = Some(GrantTerms {
            epoch: grant.epoch,
            revision: grant.revision,
        });
    }

    /// Requests may no longer be admitted against the loan.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        now.since(self.requested_at)
            >= LOAN_USABLE_MS - LOAN_USABLE_MS * MAX_CLOCK_DRIFT_PPM / 1_000_000
    }

    /// Nothing of the loan can still be used.
    pub(super) fn is_final(&self) -> bool {
        self.granted.is_some() && self.unspent_micro == 0 && self.reserved_micro == 0
    }

    /// The borrower may forget the loan.
    pub(super) fn can_be_removed(&self, now: Millis) -> bool {
        if self.granted.is_none() {
            return now.since(self.requested_at) > LOAN_REQUEST_TIMEOUT_MS;
        }
        let is_acked = self.is_final() && self.acked_micro == self.settled_micro();
        is_acked || now.since(self.requested_at) > FORMER_OWNER_HOLD_MS + LOAN_USABLE_MS
    }

    /// Gives back what is not spent.
    pub(super) fn give_back(&mut self) {
        self.returned_micro += self.unspent_micro;
        self.unspent_micro = 0;
    }

    fn settled_micro(&self) -> u64 {
        self.used_micro + self.returned_micro
    }

    /// Notes what the lender has taken note of.
    pub(super) fn ack(&mut self, acked_micro: u64) {
        self.acked_micro = self.acked_micro.max(acked_micro.min(self.settled_micro()));
    }

    /// The report to send now, if one is due.
    pub(super) fn due_report(&mut self, number: u64, now: Millis) -> Option<LoanReport> {
        let settled = self.settled_micro();
        if self.granted.is_none() || self.acked_micro == settled {
            return None;
        }
        let age_ms = now.since(self.reported_at);
        let is_new = self.reported_micro != settled;
        let is_due = match (self.is_final(), is_new) {
            (true, true) => true,
            (true, false) => age_ms >= FINAL_REPORT_RETRY_MS,
            (false, _) => age_ms >= PARTIAL_REPORT_INTERVAL_MS,
        };
        if !is_due {
            return None;
        }
        self.reported_micro = settled;
        self.reported_at = now;
        Some(self.report(number))
    }

    /// What became of the loan so far.
    pub(super) fn report(&self, number: u64) -> LoanReport {
        LoanReport {
            loan: number,
            used_micro: self.used_micro,
            returned_micro: self.returned_micro,
        }
    }
}

/// A loan as the lender keeps it, so that a doubled ask gets the same answer.
#[derive(Clone, Debug)]
pub(super) struct GivenLoan {
    pub(super) account: AccountId,
    pub(super) role: Role,
    pub(super) epoch: u64,
    pub(super) amount_micro: u64,
    pub(super) used_micro: u64,
    pub(super) returned_micro: u64,
    pub(super) expires: Millis,
}

impl GivenLoan {
    /// What the borrower may still hold.
    pub(super) fn outstanding_micro(&self) -> u64 {
        self.amount_micro - self.used_micro - self.returned_micro
    }

    /// Takes a cumulative report; returns what was used and returned beyond what was known, or
    /// none when the report cannot belong to this loan.
    pub(super) fn merge(&mut self, report: &LoanReport) -> Option<(u64, u64)> {
        let used = self.used_micro.max(report.used_micro);
        let returned = self.returned_micro.max(report.returned_micro);
        if used.checked_add(returned)? > self.amount_micro {
            return None;
        }
        let newly_settled = (used - self.used_micro, returned - self.returned_micro);
        self.used_micro = used;
        self.returned_micro = returned;
        Some(newly_settled)
    }
}
