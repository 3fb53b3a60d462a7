//! Periodic work on loans and charges: reports, returns and expiry.

use super::charge::ChargeId;
use super::limiter::Limiter;
use super::message::LoanAck;
use crate::id::AccountId;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Horizon of the expected demand for which borrowed tokens are retained, in milliseconds.
const RETAINED_DEMAND_MS: u64 = 3_000;
/// Age at which an unspent loan that exceeds the expected demand is returned, in milliseconds.
const IDLE_LOAN_MS: u64 = 1_500;

impl Limiter {
    pub(super) fn on_ack(&mut self, ack: &LoanAck) {
        if let Some(loan) = self.taken_loans.get_mut(&ack.loan) {
            loan.ack(ack.used_micro.saturating_add(ack.returned_micro));
        }
    }

    /// Returns unneeded tokens, queues due reports and removes finished loans.
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

    /// Returns the unspent tokens of a loan if it has expired, or if it is idle and exceeds the
    /// expected demand. `excess` caches the remaining excess by account.
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

    /// Borrowed tokens beyond the expected demand of the next [`RETAINED_DEMAND_MS`], in
    /// micro-tokens.
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

    /// Removes a loan without unspent tokens from the account's list.
    pub(super) fn unlist_loan(&mut self, number: u64, account: &AccountId) {
        let account = self.accounts.get_mut(account);
        if let Some(active) = account.and_then(|account| account.active.as_mut()) {
            active.loan_numbers.retain(|listed| *listed != number);
        }
    }

    /// Settles expired charges as fully used.
    pub(super) fn expire_charges(&mut self, now: Millis) {
        while let Some((&number, charge)) = self.charges.iter().next() {
            if charge.expires > now {
                return;
            }
            self.settle(ChargeId(number), u64::MAX, now);
            self.expired_charges.push(ChargeId(number));
        }
    }

    /// Drops the active state of accounts without demand and loans.
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
