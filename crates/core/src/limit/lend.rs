//! Lender side of lending, and dispatch of loan messages.

use super::limiter::Limiter;
use super::loan::GivenLoan;
use super::message::{
    LoanAck, LoanGrant, LoanMessage, LoanReport, LoanRequest, OutgoingLoanMessage,
};
use super::GIVEN_LOAN_LIFE_MS;
use crate::slot::Peer;
use crate::time::Millis;

/// Horizon of its own expected demand that a lender withholds from loan requests that are not
/// urgent, in milliseconds.
const LENDER_RESERVE_MS: u64 = 500;
/// Interval between sweeps for expired loans and idle accounts, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1_000;

impl Limiter {
    /// Handles a message and returns the answers.
    pub fn on_message(
        &mut self,
        from: &Peer,
        message: &LoanMessage,
        now: Millis,
    ) -> Vec<OutgoingLoanMessage> {
        let mut answer = LoanMessage::default();
        for request in &message.requests {
            answer.grants.push(self.on_loan_request(from, request, now));
        }
        for grant in &message.grants {
            if grant.incarnation == self.me.incarnation {
                answer.reports.extend(self.on_grant(from, grant, now));
            }
        }
        for report in &message.reports {
            answer.acks.push(self.on_report(from, report, now));
        }
        for ack in &message.acks {
            if ack.incarnation == self.me.incarnation {
                self.on_ack(ack);
            }
        }
        for audit in &message.audits {
            answer.audit_answers.push(self.on_audit(audit, now));
        }
        for audit_answer in &message.audit_answers {
            self.on_audit_answer(from, audit_answer, now);
        }
        if answer == LoanMessage::default() {
            return Vec::new();
        }
        vec![(from.clone(), answer)]
    }

    /// Runs periodic work, such as expiry, borrowing ahead and audits, and returns the messages to
    /// send.
    pub fn tick(&mut self, now: Millis) -> Vec<OutgoingLoanMessage> {
        self.first_tick.get_or_insert(now);
        self.expire_charges(now);
        self.maintain_loans(now);
        self.borrow_ahead(now);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL_MS {
            self.last_sweep = now;
            self.expire_given_loans(now);
            self.drop_idle_state(now);
        }
        self.send_audits(now);
        std::mem::take(&mut self.outbox).into_iter().collect()
    }

    fn on_loan_request(&mut self, from: &Peer, request: &LoanRequest, now: Millis) -> LoanGrant {
        let mut grant = LoanGrant {
            loan: request.loan,
            incarnation: from.incarnation,
            epoch: 0,
            revision: self.revision(),
            amount_micro: 0,
            level_micro: 0,
        };
        let is_usable = !self.are_slots_invalid;
        let Some(account) = self.accounts.get_mut(&request.account) else {
            return grant;
        };
        let active = account.active.as_ref();
        let demand_micro = active.map_or(0, |active| {
            active.demand.expected_micro(LENDER_RESERVE_MS, now)
        });
        let Some(part) = &mut account.parts[request.role as usize] else {
            return grant;
        };
        part.accrue(now);
        grant.epoch = part.epoch;
        let key = (from.clone(), request.loan);
        if let Some(lent) = self.given_loans.get(&key) {
            grant.amount_micro = lent.amount_micro;
            grant.epoch = lent.epoch;
            grant.level_micro = part.level_micro;
            return grant;
        }
        if !is_usable || part.is_suspended {
            return grant;
        }
        let withheld_micro = if request.is_urgent { 0 } else { demand_micro };
        let spare_micro = part.level_micro.saturating_sub(withheld_micro);
        grant.amount_micro = request.wanted_micro.min(spare_micro);
        part.lend(grant.amount_micro);
        grant.level_micro = spare_micro - grant.amount_micro;
        if grant.amount_micro > 0 {
            let lent = GivenLoan {
                account: request.account.clone(),
                role: request.role,
                epoch: part.epoch,
                amount_micro: grant.amount_micro,
                used_micro: 0,
                returned_micro: 0,
                expires: now.plus(GIVEN_LOAN_LIFE_MS),
            };
            self.given_loans.insert(key, lent);
        }
        grant
    }

    fn on_report(&mut self, from: &Peer, report: &LoanReport, now: Millis) -> LoanAck {
        let mut ack = LoanAck {
            loan: report.loan,
            incarnation: from.incarnation,
            is_closed: true,
            used_micro: report.used_micro,
            returned_micro: report.returned_micro,
        };
        let key = (from.clone(), report.loan);
        let Some(lent) = self.given_loans.get_mut(&key) else {
            return ack;
        };
        let newly_settled = lent.merge(report);
        ack.used_micro = lent.used_micro;
        ack.returned_micro = lent.returned_micro;
        ack.is_closed = lent.outstanding_micro() == 0;
        if let Some((used_micro, returned_micro)) = newly_settled {
            let account = self.accounts.get_mut(&lent.account);
            let part = account.and_then(|account| account.parts[lent.role as usize].as_mut());
            if let Some(part) = part.filter(|part| part.epoch == lent.epoch) {
                part.repay(used_micro, returned_micro, now);
            }
        }
        if ack.is_closed {
            self.given_loans.remove(&key);
        }
        ack
    }

    /// Counts expired loans, which their borrowers have not fully reported, as spent.
    fn expire_given_loans(&mut self, now: Millis) {
        let expired: Vec<(Peer, u64)> = self
            .given_loans
            .iter()
            .filter(|(_, lent)| lent.expires <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            let Some(lent) = self.given_loans.remove(&key) else {
                continue;
            };
            let account = self.accounts.get_mut(&lent.account);
            let part = account.and_then(|account| account.parts[lent.role as usize].as_mut());
            if let Some(part) = part.filter(|part| part.epoch == lent.epoch) {
                part.repay(lent.outstanding_micro(), 0, now);
            }
        }
    }
}
