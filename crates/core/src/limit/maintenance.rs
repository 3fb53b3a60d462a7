//! What is due with time on the borrower's side: reports, returns and ends.

use super::charge::ChargeId;
use super::limiter::Limiter;
use super::message::LoanAck;
use crate::id::AccountId;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Demand that an instance keeps of what it has borrowed, in milliseconds.
const RETAINED_DEMAND_MS: u64 = 3_000;
/// Age at which an unspent loan beyond the demand is given back, in milliseconds.
const IDLE_LOAN_MS: u64 = 1_500;

impl Limiter {
    pub(super) fn on_ack(&mut self, ack: &LoanAck) {
        if let Some(loan) = self.taken_loans.get_mut(&ack.loan) {
            loan.ack(ack.used_micro.saturating_add(ack.returned_micro));
        }
    }

    /// Gives back what is not needed, sends due reports and forgets loans that are removable.
    pub(super) fn maintain_loans(&mut self, now: Millis) {
        let mut removable = Vec::new();
        let mut spent = Vec::new();
        let mut excess: BTreeMap<AccountId, u64> = BTreeMap::new();
        let numbers: Vec<u64> = self.taken_loans.keys().copied().collect();
        for number in numbers {
            self.give_back_idle(number, &mut excess, now);
            let Some(loan) = self.taken_loans.get_mut(&number) else {
                continue;
            };
            if let Some(report) = loan.due_report(number, now) {
                let message = self.outbox.entry(loan.lender.clone()).or_default();
                message.reports.push(report);
            }
            if loan.can_be_removed(now) {
                removable.push((number, loan.account.clone()));
            } else if loan.granted.is_some() && loan.unspent_micro == 0 {
                spent.push((number, loan.account.clone()));
            }
        }
        for (number, account) in removable {
            self.remove_loan(number, &account);
        }
        for (number, account) in spent {
            self.unlist_loan(number, &account);
        }
    }

    pub(super) fn give_back_idle(
        &mut self,
        number: u64,
        excess: &mut BTreeMap<AccountId, u64>,
        now: Millis,
    ) {
        let Some(loan) = self.taken_loans.get(&number) else {
            return;
        };
        if loan.unspent_micro == 0 {
            return;
        }
        let mut is_due = loan.is_expired(now);
        if !is_due && now.since(loan.requested_at) >= IDLE_LOAN_MS {
            let account = loan.account.clone();
            let unspent = loan.unspent_micro;
            let spare = match excess.get(&account) {
                Some(spare) => *spare,
                None => self.excess_micro(&account, now),
            };
            is_due = unspent <= spare;
            let remaining = if is_due { spare - unspent } else { spare };
            excess.insert(account, remaining);
        }
        if !is_due {
            return;
        }
        if let Some(loan) = self.taken_loans.get_mut(&number) {
            loan.give_back();
        }
    }

    /// What is borrowed beyond the demand of the next seconds.
    pub(super) fn excess_micro(&self, id: &AccountId, now: Millis) -> u64 {
        let Some(account) = self.accounts.get(id) else {
            return u64::MAX;
        };
        let Some(active) = &account.active else {
            return u64::MAX;
        };
        let numbers = active.loan_numbers.iter();
        let loans = numbers.filter_map(|number| self.taken_loans.get(number));
        let borrowed: u64 = loans.map(|loan| loan.unspent_micro).sum();
        borrowed.saturating_sub(active.demand.expected_micro(RETAINED_DEMAND_MS, now))
    }

    pub(super) fn remove_loan(&mut self, number: u64, account: &AccountId) {
        let Some(loan) = self.taken_loans.remove(&number) else {
            return;
        };
        let account = self.accounts.get_mut(account);
        let Some(active) = account.and_then(|account| account.active.as_mut()) else {
            return;
        };
        active.loan_numbers.retain(|listed| *listed != number);
        if loan.granted.is_none() {
            for remote in &mut active.remotes {
                remote.is_request_pending &= remote.slot != loan.slot;
            }
        }
    }

    /// Takes a loan without unspent tokens off the account's list.
    pub(super) fn unlist_loan(&mut self, number: u64, account: &AccountId) {
        let account = self.accounts.get_mut(account);
        if let Some(active) = account.and_then(|account| account.active.as_mut()) {
            active.loan_numbers.retain(|listed| *listed != number);
        }
    }

    /// Ends charges that were never settled, as fully used.
    pub(super) fn expire_charges(&mut self, now: Millis) {
        while let Some((&number, charge)) = self.charges.iter().next() {
            if charge.expires > now {
                return;
            }
            self.settle(ChargeId(number), u64::MAX, now);
            self.expired_charges.push(ChargeId(number));
        }
    }

    /// Drops the state in use of accounts without demand and loans.
    pub(super) fn drop_idle_state(&mut self, now: Millis) {
        for account in self.accounts.values_mut() {
            let is_idle = account.active.as_ref().is_some_and(|active| {
                active.loan_numbers.is_empty()
                    && active.demand.expected_micro(RETAINED_DEMAND_MS, now) == 0
            });
            if is_idle {
                account.active = None;
            }
        }
    }
}
