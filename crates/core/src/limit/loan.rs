//! Loan bookkeeping of borrowers and lenders.

use super::message::{LoanGrant, LoanReport};
use super::{FORMER_OWNER_HOLD_MS, LOAN_USABLE_MS, MAX_CLOCK_DRIFT_PPM};
use crate::id::AccountId;
use crate::slot::{Peer, Role, SlotId};
use crate::time::Millis;

/// Age at which an unanswered loan request is dropped, in milliseconds.
pub(super) const LOAN_REQUEST_TIMEOUT_MS: u64 = 1_000;
/// Interval between reports on a loan that is not final yet, in milliseconds.
const PARTIAL_REPORT_INTERVAL_MS: u64 = 1_000;
/// Retry interval of a final report that is not acknowledged, in milliseconds.
const FINAL_REPORT_RETRY_MS: u64 = 1_000;

/// A loan, as recorded by the borrower.
#[derive(Clone, Debug)]
pub(super) struct TakenLoan {
    pub(super) account: AccountId,
    pub(super) slot: SlotId,
    pub(super) lender: Peer,
    pub(super) requested_at: Millis,
    pub(super) wanted_micro: u64,
    /// Absent until the lender has granted the loan.
    pub(super) granted: Option<GrantTerms>,
    pub(super) unspent_micro: u64,
    pub(super) reserved_micro: u64,
    pub(super) used_micro: u64,
    pub(super) returned_micro: u64,
    acked_micro: u64,
    reported_micro: u64,
    reported_at: Millis,
}

/// Epoch and document revision of the lender when it granted a loan.
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

    /// Credits the lender's grant, which the caller has validated.
    pub(super) fn grant(&mut self, grant: &LoanGrant) {
        assert!(self.granted.is_none(), "loan credited twice");
        assert!(
            grant.amount_micro <= self.wanted_micro,
            "grant exceeds the requested amount"
        );
        self.unspent_micro = grant.amount_micro;
        self.granted = Some(GrantTerms {
            epoch: grant.epoch,
            revision: grant.revision,
        });
    }

    /// Whether requests may no longer be admitted against the loan. The usable time is shortened by
    /// the maximum clock drift.
    pub(super) fn is_expired(&self, now: Millis) -> bool {
        now.since(self.requested_at)
            >= LOAN_USABLE_MS - LOAN_USABLE_MS * MAX_CLOCK_DRIFT_PPM / 1_000_000
    }

    /// Whether the loan has no unspent or reserved tokens left.
    pub(super) fn is_final(&self) -> bool {
        self.granted.is_some() && self.unspent_micro == 0 && self.reserved_micro == 0
    }

    /// Whether the borrower may remove the loan: the request timed out, the final report is
    /// acknowledged, or the lender no longer counts the loan.
    pub(super) fn can_be_removed(&self, now: Millis) -> bool {
        if self.granted.is_none() {
            return now.since(self.requested_at) > LOAN_REQUEST_TIMEOUT_MS;
        }
        let is_acked = self.is_final() && self.acked_micro == self.settled_micro();
        is_acked || now.since(self.requested_at) > FORMER_OWNER_HOLD_MS + LOAN_USABLE_MS
    }

    /// Marks unspent tokens as returned.
    pub(super) fn give_back(&mut self) {
        self.returned_micro += self.unspent_micro;
        self.unspent_micro = 0;
    }

    fn settled_micro(&self) -> u64 {
        self.used_micro + self.returned_micro
    }

    /// Records the cumulative amount that the lender has acknowledged.
    pub(super) fn ack(&mut self, acked_micro: u64) {
        self.acked_micro = self.acked_micro.max(acked_micro.min(self.settled_micro()));
    }

    /// Returns the report to send now, if one is due.
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

    /// Cumulative report on the loan.
    pub(super) fn report(&self, number: u64) -> LoanReport {
        LoanReport {
            loan: number,
            used_micro: self.used_micro,
            returned_micro: self.returned_micro,
        }
    }
}

/// A loan, as recorded by the lender, so that a duplicate request gets the same grant.
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
    /// Amount that the borrower may still hold, in micro-tokens.
    pub(super) fn outstanding_micro(&self) -> u64 {
        self.amount_micro - self.used_micro - self.returned_micro
    }

    /// Merges a cumulative report and returns the newly used and newly returned amounts, or `None`
    /// if the report exceeds the amount of the loan and so cannot belong to it.
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
