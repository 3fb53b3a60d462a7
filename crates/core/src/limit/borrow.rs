//! Borrowing: the side of an instance whose own parts do not suffice.

use super::account::{Active, Remote};
use super::charge::{ChargeOutcome, ChargeRequest};
use super::limiter::Limiter;
use super::loan::Loan;
use super::message::{LoanGrant, LoanMessage, LoanReport, LoanRequest, OutgoingLoanMessage};
use super::{MICRO_PER_TOKEN, REFILL_PER_MILLE};
use crate::id::{AccountId, RegionId};
use crate::slot::Peer;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Time for an answer from the own region, in milliseconds.
const HOME_ANSWER_MS: u64 = 20;
/// Time for an answer from another region, in milliseconds.
const AWAY_ANSWER_MS: u64 = 250;
/// Time after which an answer from the own region is no longer expected, in milliseconds.
const HOME_LONGEST_ANSWER_MS: u64 = 100;
/// Time after which an answer from another region is no longer expected, in milliseconds.
const AWAY_LONGEST_ANSWER_MS: u64 = 400;
/// Least time left to a request for which another region is asked, in milliseconds.
const AWAY_LEAST_MS: u64 = 200;
/// Longest time between two tries of a request that waits for refill, in milliseconds.
const LONGEST_WAIT_MS: u64 = 100;
/// Demand that an instance borrows ahead for, in milliseconds.
const AHEAD_MS: u64 = 1_500;
/// An account's demand is concentrated at an instance from one in this many of its rate on.
const CONCENTRATED_SHARE: u64 = 4;
/// A part from this share of its burst on is about to lose accrual, in percent.
const FULL_PCT: u64 = 90;
/// A full part is asked for one in this many of its tokens.
const FULL_SHARE_LENT: u64 = 3;
/// A loan that yields less than this share of what is needed is not worth a message.
const LEAST_SHARE: u64 = 8;

impl Limiter {
    /// Gathers what a request needs beyond what is available here.
    pub(super) fn gather(
        &mut self,
        request: &ChargeRequest<'_>,
        need_micro: u64,
        now: Millis,
    ) -> ChargeOutcome {
        let left_ms = request.wait_until.since(now);
        let pending_micro = self.pending_micro(request.account, now);
        let rate_per_ms = self.rate_micro_per_ms(request.account);
        let home = self.region.clone();
        let may_borrow = self.has_joined(now);
        let Some(active) = self.activate(request.account, now) else {
            return ChargeOutcome::UnknownAccount;
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
            return ChargeOutcome::Refused { retry_after_ms };
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
            return ChargeOutcome::Wait { ms };
        }
        let wait_ms = if is_away || asks.is_empty() {
            AWAY_ANSWER_MS
        } else {
            HOME_ANSWER_MS
        };
        let messages = self.send_asks(request.account, asks, true, now);
        ChargeOutcome::Borrow { messages, wait_ms }
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
                self.outbox
                    .entry(to)
                    .or_default()
                    .requests
                    .extend(message.requests);
            }
        }
    }

    fn asks_ahead(&mut self, id: &AccountId, now: Millis) -> Vec<Ask> {
        let home = self.region.clone();
        let rate_per_ms = self.rate_micro_per_ms(id);
        let pending = self.pending_micro(id, now);
        let available = self.available_micro(id, now);
        let Some(account) = self.accounts.get_mut(id) else {
            return Vec::new();
        };
        let parts = || account.parts.iter().flatten();
        let own_per_ms: u64 = parts().map(|part| part.rate_micro_per_s / 1_000).sum();
        let own_cap: u64 = parts().map(|part| part.cap_micro).sum();
        let own_level: u64 = parts().map(|part| part.level_micro).sum();
        let Some(active) = &mut account.active else {
            return Vec::new();
        };
        let demand = active.demand.over_ms(AHEAD_MS, now);
        let target = demand.min(rate_per_ms * AHEAD_MS);
        let accruing = own_per_ms * AHEAD_MS;
        let have = available + pending + accruing;
        if target < MICRO_PER_TOKEN || accruing >= target {
            return Vec::new();
        }
        if have <= target / 2 {
            let least = (target - have) / LEAST_SHARE;
            return ask_in_order(active, &home, target - have, least, now);
        }
        let borrowed = available.saturating_sub(own_level) + pending;
        let is_concentrated = target >= rate_per_ms * AHEAD_MS / CONCENTRATED_SHARE;
        if !is_concentrated || borrowed >= target || is_nearly_full(own_level, own_cap) {
            return Vec::new();
        }
        ask_full_ones(active, target - borrowed, now)
    }

    fn send_asks(
        &mut self,
        account: &AccountId,
        asks: Vec<Ask>,
        is_urgent: bool,
        now: Millis,
    ) -> Vec<OutgoingLoanMessage> {
        let mut messages: BTreeMap<Peer, LoanMessage> = BTreeMap::new();
        for ask in asks {
            let number = self.next_loan();
            let item = LoanRequest {
                loan: number,
                account: account.clone(),
                role: ask.remote.slot.role,
                wanted_micro: ask.wanted_micro,
                is_urgent,
            };
            let to = ask.remote.owner.clone();
            messages.entry(to.clone()).or_default().requests.push(item);
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

    /// Tokens asked for and not answered yet.
    /// Tokens that are asked for and whose answer is still to be expected. A lender that is gone
    /// never answers, so others are asked in its place.
    fn pending_micro(&self, id: &AccountId, now: Millis) -> u64 {
        let account = self.accounts.get(id);
        let active = account.and_then(|account| account.active.as_ref());
        active
            .iter()
            .flat_map(|active| &active.loans)
            .filter_map(|number| self.loans.get(number))
            .filter(|loan| loan.granted.is_none())
            .filter(|loan| now.since(loan.asked) < self.longest_answer_ms(&loan.slot.region))
            .map(|loan| loan.wanted_micro)
            .sum()
    }

    fn longest_answer_ms(&self, region: &RegionId) -> u64 {
        if *region == self.region {
            HOME_LONGEST_ANSWER_MS
        } else {
            AWAY_LONGEST_ANSWER_MS
        }
    }

    fn rate_micro_per_ms(&self, id: &AccountId) -> u64 {
        let table = self.tables.last();
        let limits = table.and_then(|table| table.accounts.get(id));
        limits.map_or(1, |limits| {
            (limits.rate_tokens_per_s * REFILL_PER_MILLE).max(1)
        })
    }
}

/// Asks for `needed` micro-tokens, of slots that yield at least `least`.
fn ask_in_order(
    active: &mut Active,
    home: &RegionId,
    mut needed: u64,
    least: u64,
    now: Millis,
) -> Vec<Ask> {
    let mut asks = Vec::new();
    for remote in order(&mut active.remotes, home, now) {
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

/// Asks slots that are about to lose accrual because they are full, while this one is not. With
/// all parts equally full the account can spend its whole burst, as with a single bucket.
fn ask_full_ones(active: &mut Active, mut wanted_micro: u64, now: Millis) -> Vec<Ask> {
    let mut asks = Vec::new();
    for remote in &mut active.remotes {
        let estimate = remote.estimate_micro(now);
        let is_full = is_nearly_full(estimate, remote.share.cap_micro);
        if remote.is_asked || !is_full || wanted_micro < MICRO_PER_TOKEN {
            continue;
        }
        let wanted = wanted_micro.min(estimate / FULL_SHARE_LENT);
        wanted_micro -= wanted;
        asks.push(mark_asked(remote, wanted, now));
    }
    asks
}

fn is_nearly_full(level_micro: u64, cap_micro: u64) -> bool {
    level_micro >= cap_micro / 100 * FULL_PCT && cap_micro > 0
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
