//! Borrowing: the side of an instance whose own parts do not suffice.

use super::account::Remote;
use super::charge::{ChargeId, ChargeRequest, Outcome};
use super::limiter::Limiter;
use super::loan::Loan;
use super::message::{LoanAck, LoanAsk, LoanGrant, LoanMessage, LoanReport, Outgoing};
use super::{MICRO_PER_TOKEN, REFILL_PER_MILLE};
use crate::id::{AccountId, RegionId};
use crate::slot::Peer;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Time for an answer from the own region, in milliseconds.
const HOME_ANSWER_MS: u64 = 20;
/// Time for an answer from another region, in milliseconds.
const AWAY_ANSWER_MS: u64 = 250;
/// Least time left to a request for which another region is asked, in milliseconds.
const AWAY_LEAST_MS: u64 = 200;
/// Longest time between two tries of a request that waits for refill, in milliseconds.
const LONGEST_WAIT_MS: u64 = 100;
/// Demand that an instance borrows ahead for, in milliseconds.
const AHEAD_MS: u64 = 1_500;
/// Demand that an instance keeps of what it has borrowed, in milliseconds.
const KEPT_MS: u64 = 3_000;
/// Age at which an unspent loan beyond the demand is given back, in milliseconds.
const IDLE_LOAN_MS: u64 = 1_500;
/// A loan that yields less than this share of what is needed is not worth a message.
const LEAST_SHARE: u64 = 8;

impl Limiter {
    /// Gathers what a request needs beyond what is available here.
    pub(super) fn gather(
        &mut self,
        request: &ChargeRequest<'_>,
        need_micro: u64,
        now: Millis,
    ) -> Outcome {
        let left_ms = request.wait_until.since(now);
        let pending_micro = self.pending_micro(request.account);
        let rate_per_ms = self.rate_micro_per_ms(request.account);
        let home = self.region.clone();
        let may_borrow = self.has_joined(now);
        let Some(active) = self.activate(request.account, now) else {
            return Outcome::UnknownAccount;
        };
        let mut within_reach: u64 = pending_micro;
        for remote in &active.remotes {
            if may_borrow && !remote.is_asked {
                within_reach += remote.estimate_micro(now);
            }
        }
        let short_micro = need_micro.saturating_sub(within_reach);
        let accrual_ms = short_micro.div_ceil(rate_per_ms);
        if accrual_ms > left_ms || left_ms == 0 {
            let retry_after_ms = accrual_ms.max(need_micro.div_ceil(rate_per_ms).min(1_000));
            return Outcome::Refused { retry_after_ms };
        }
        let may_ask_away = left_ms >= AWAY_LEAST_MS;
        let mut needed = need_micro.saturating_sub(pending_micro);
        let least = (needed / LEAST_SHARE).max(MICRO_PER_TOKEN);
        let mut asks = Vec::new();
        let mut is_away = false;
        for remote in order(&mut active.remotes, &home, now) {
            let is_home = remote.slot.region == home;
            let estimate = remote.estimate_micro(now);
            let is_too_small = estimate < least.min(needed);
            let is_in_time = may_borrow && (is_home || may_ask_away);
            if needed == 0 || remote.is_asked || is_too_small || !is_in_time {
                continue;
            }
            let wanted = needed.min(estimate);
            needed -= wanted;
            is_away |= !is_home;
            asks.push(mark_asked(remote, wanted, now));
        }
        if asks.is_empty() && pending_micro == 0 {
            let ms = accrual_ms.clamp(5, LONGEST_WAIT_MS);
            return Outcome::Wait { ms };
        }
        let wait_ms = if is_away || asks.is_empty() {
            AWAY_ANSWER_MS
        } else {
            HOME_ANSWER_MS
        };
        let messages = self.send_asks(request.account, asks, true, now);
        Outcome::Borrow { messages, wait_ms }
    }

    /// Borrows for accounts whose demand exceeds what accrues here.
    pub(super) fn borrow_ahead(&mut self, now: Millis) {
        if !self.has_joined(now) {
            return;
        }
        let hot: Vec<AccountId> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.active.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in hot {
            let asks = self.asks_ahead(&id, now);
            for (to, message) in self.send_asks(&id, asks, false, now) {
                self.outbox.entry(to).or_default().asks.extend(message.asks);
            }
        }
    }

    fn asks_ahead(&mut self, id: &AccountId, now: Millis) -> Vec<Ask> {
        let home = self.region.clone();
        let rate_per_ms = self.rate_micro_per_ms(id);
        let pending = self.pending_micro(id);
        let available = self.available_micro(id, now);
        let Some(account) = self.accounts.get_mut(id) else {
            return Vec::new();
        };
        let accruing = account.parts.iter().flatten();
        let own_per_ms: u64 = accruing.map(|part| part.rate_micro_per_s / 1_000).sum();
        let Some(active) = &mut account.active else {
            return Vec::new();
        };
        let demand = active.demand.over_ms(AHEAD_MS, now);
        let target = demand.min(rate_per_ms * AHEAD_MS);
        let have = available + pending + own_per_ms * AHEAD_MS;
        if have > target / 2 || target < MICRO_PER_TOKEN {
            return Vec::new();
        }
        let mut needed = target - have;
        let least = needed / LEAST_SHARE;
        let mut asks = Vec::new();
        for remote in order(&mut active.remotes, &home, now) {
            let estimate = remote.estimate_micro(now);
            if needed == 0 || remote.is_asked || estimate < least {
                continue;
            }
            let wanted = needed.min(estimate);
            needed -= wanted;
            asks.push(mark_asked(remote, wanted, now));
        }
        asks
    }

    fn send_asks(
        &mut self,
        account: &AccountId,
        asks: Vec<Ask>,
        is_urgent: bool,
        now: Millis,
    ) -> Vec<Outgoing> {
        let mut messages: BTreeMap<Peer, LoanMessage> = BTreeMap::new();
        for ask in asks {
            let number = self.next_loan();
            let item = LoanAsk {
                loan: number,
                account: account.clone(),
                role: ask.remote.slot.role,
                wanted_micro: ask.wanted_micro,
                is_urgent,
            };
            let to = ask.remote.owner.clone();
            messages.entry(to.clone()).or_default().asks.push(item);
            let loan = Loan::new(account.clone(), ask.remote.slot, to, ask.wanted_micro, now);
            self.loans.insert(number, loan);
            if let Some(active) = self.activate(account, now) {
                active.loans.push(number);
            }
        }
        messages.into_iter().collect()
    }

    /// Takes a lender's answer; returns a report at once when the loan is of no use.
    pub(super) fn on_grant(
        &mut self,
        from: &Peer,
        grant: &LoanGrant,
        now: Millis,
    ) -> Option<LoanReport> {
        let unwanted = LoanReport {
            loan: grant.loan,
            used_micro: 0,
            returned_micro: grant.amount_micro,
        };
        let Some(loan) = self.loans.get_mut(&grant.loan) else {
            return (grant.amount_micro > 0).then_some(unwanted);
        };
        if loan.granted.is_some() {
            return None;
        }
        let account = loan.account.clone();
        let slot = loan.slot.clone();
        let least_epoch = self.least_epochs.get(&slot).copied().unwrap_or(0);
        let is_valid = loan.lender == *from
            && grant.amount_micro <= loan.wanted_micro
            && grant.epoch >= least_epoch;
        if is_valid && grant.amount_micro > 0 && !loan.is_expired(now) {
            loan.grant(grant);
        } else {
            self.forget_loan(grant.loan, &account);
        }
        if let Some(active) = self.activate(&account, now) {
            let remote = active.remotes.iter_mut().find(|remote| remote.slot == slot);
            if let Some(remote) = remote {
                remote.note_level(grant.level_micro, now);
                remote.is_asked = false;
            }
        }
        let is_taken = self.loans.contains_key(&grant.loan);
        (!is_taken && grant.amount_micro > 0).then_some(unwanted)
    }

    pub(super) fn on_ack(&mut self, ack: &LoanAck) {
        if let Some(loan) = self.loans.get_mut(&ack.loan) {
            loan.ack(ack.used_micro.saturating_add(ack.returned_micro));
        }
    }

    /// Gives back what is not needed, sends due reports and forgets loans that are over.
    pub(super) fn tend_loans(&mut self, now: Millis) {
        let mut over = Vec::new();
        let mut spent = Vec::new();
        let mut excess: BTreeMap<AccountId, u64> = BTreeMap::new();
        let numbers: Vec<u64> = self.loans.keys().copied().collect();
        for number in numbers {
            self.give_back_idle(number, &mut excess, now);
            let Some(loan) = self.loans.get_mut(&number) else {
                continue;
            };
            if let Some(report) = loan.due_report(number, now) {
                let message = self.outbox.entry(loan.lender.clone()).or_default();
                message.reports.push(report);
            }
            if loan.is_over(now) {
                over.push((number, loan.account.clone()));
            } else if loan.granted.is_some() && loan.unspent_micro == 0 {
                spent.push((number, loan.account.clone()));
            }
        }
        for (number, account) in over {
            self.forget_loan(number, &account);
        }
        for (number, account) in spent {
            self.unlist_loan(number, &account);
        }
    }

    fn give_back_idle(&mut self, number: u64, excess: &mut BTreeMap<AccountId, u64>, now: Millis) {
        let Some(loan) = self.loans.get(&number) else {
            return;
        };
        if loan.unspent_micro == 0 {
            return;
        }
        let mut is_due = loan.is_expired(now);
        if !is_due && now.since(loan.asked) >= IDLE_LOAN_MS {
            let account = loan.account.clone();
            let unspent = loan.unspent_micro;
            let spare = match excess.get(&account) {
                Some(spare) => *spare,
                None => self.excess_micro(&account, now),
            };
            is_due = unspent <= spare;
            let rest = if is_due { spare - unspent } else { spare };
            excess.insert(account, rest);
        }
        if !is_due {
            return;
        }
        if let Some(loan) = self.loans.get_mut(&number) {
            loan.give_back();
        }
    }

    /// What is available here beyond the demand of the next seconds.
    fn excess_micro(&mut self, id: &AccountId, now: Millis) -> u64 {
        let available = self.available_micro(id, now);
        let account = self.accounts.get(id);
        let active = account.and_then(|account| account.active.as_ref());
        let demand = active.map_or(0, |active| active.demand.over_ms(KEPT_MS, now));
        available.saturating_sub(demand)
    }

    fn forget_loan(&mut self, number: u64, account: &AccountId) {
        let Some(loan) = self.loans.remove(&number) else {
            return;
        };
        let account = self.accounts.get_mut(account);
        let Some(active) = account.and_then(|account| account.active.as_mut()) else {
            return;
        };
        active.loans.retain(|of| *of != number);
        if loan.granted.is_none() {
            for remote in &mut active.remotes {
                remote.is_asked &= remote.slot != loan.slot;
            }
        }
    }

    /// Takes a loan without unspent tokens off the account's list.
    fn unlist_loan(&mut self, number: u64, account: &AccountId) {
        let account = self.accounts.get_mut(account);
        if let Some(active) = account.and_then(|account| account.active.as_mut()) {
            active.loans.retain(|of| *of != number);
        }
    }

    /// Tokens asked for and not answered yet.
    fn pending_micro(&self, id: &AccountId) -> u64 {
        let account = self.accounts.get(id);
        let active = account.and_then(|account| account.active.as_ref());
        active
            .iter()
            .flat_map(|active| &active.loans)
            .filter_map(|number| self.loans.get(number))
            .filter(|loan| loan.granted.is_none())
            .map(|loan| loan.wanted_micro)
            .sum()
    }

    fn rate_micro_per_ms(&self, id: &AccountId) -> u64 {
        let table = self.tables.last();
        let limits = table.and_then(|table| table.accounts.get(id));
        limits.map_or(1, |limits| {
            (limits.rate_tokens_per_s * REFILL_PER_MILLE).max(1)
        })
    }

    /// Ends charges that were never settled, as fully used.
    pub(super) fn end_charges(&mut self, now: Millis) {
        while let Some((&number, charge)) = self.charges.iter().next() {
            if charge.ends > now {
                return;
            }
            self.settle(ChargeId(number), u64::MAX, now);
            self.ended.push(ChargeId(number));
        }
    }

    /// Drops the state in use of accounts without demand and loans.
    pub(super) fn forget_idle(&mut self, now: Millis) {
        for account in self.accounts.values_mut() {
            let is_idle = account.active.as_ref().is_some_and(|active| {
                active.loans.is_empty() && active.demand.over_ms(KEPT_MS, now) == 0
            });
            if is_idle {
                account.active = None;
            }
        }
    }
}

/// An ask to be sent.
struct Ask {
    remote: Remote,
    wanted_micro: u64,
}

fn mark_asked(remote: &mut Remote, wanted_micro: u64, now: Millis) -> Ask {
    let left_micro = remote.estimate_micro(now) - wanted_micro;
    remote.note_level(left_micro, now);
    remote.is_asked = true;
    Ask {
        remote: remote.clone(),
        wanted_micro,
    }
}

/// Slots of the home region first, then the fullest of the others.
fn order<'a>(remotes: &'a mut [Remote], home: &RegionId, now: Millis) -> Vec<&'a mut Remote> {
    let mut ordered: Vec<&mut Remote> = remotes.iter_mut().collect();
    ordered.sort_by_key(|remote| {
        let is_away = remote.slot.region != *home;
        (is_away, std::cmp::Reverse(remote.estimate_micro(now)))
    });
    ordered
}
