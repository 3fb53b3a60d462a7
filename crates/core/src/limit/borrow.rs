//! Borrower side of lending: loan requests of an instance whose own parts do not suffice.

use super::account::{ActiveState, RemoteSlot};
use super::charge::{ChargeOutcome, ChargeRequest};
use super::limiter::Limiter;
use super::loan::TakenLoan;
use super::message::{LoanGrant, LoanMessage, LoanReport, LoanRequest, OutgoingLoanMessage};
use super::{MICRO_PER_TOKEN, REFILL_PER_MILLE};
use crate::id::{AccountId, RegionId};
use crate::slot::Peer;
use crate::time::Millis;
use std::collections::BTreeMap;

/// Wait for grants from the home region before a request is tried again, in milliseconds.
const HOME_ANSWER_WAIT_MS: u64 = 20;
/// Wait for grants from another region before a request is tried again, in milliseconds.
const OTHER_REGION_ANSWER_WAIT_MS: u64 = 250;
/// Age at which a loan request to the home region no longer counts as pending, in milliseconds.
const HOME_ANSWER_TIMEOUT_MS: u64 = 100;
/// Age at which a loan request to another region no longer counts as pending, in milliseconds.
const OTHER_REGION_ANSWER_TIMEOUT_MS: u64 = 400;
/// Minimum time left to a request for borrowing from another region, in milliseconds.
const MIN_OTHER_REGION_TIME_LEFT_MS: u64 = 200;
/// Maximum retry interval of a request that waits for refill, in milliseconds.
const MAX_REFILL_RETRY_MS: u64 = 100;
/// Horizon of the expected demand that is borrowed ahead, in milliseconds.
const BORROW_AHEAD_MS: u64 = 1_500;
/// An account's demand counts as concentrated at an instance if it is at least the account's rate
/// divided by this.
const CONCENTRATED_RATE_DIVISOR: u64 = 4;
/// Fill level from which a part is about to lose accrual, in percent of its share of the burst.
const NEARLY_FULL_PCT: u64 = 90;
/// A loan request to a full part is for at most its tokens divided by this.
const FULL_PART_LOAN_DIVISOR: u64 = 3;
/// A slot is not asked if it would yield less than the needed amount divided by this, since that
/// is not worth a message.
const MIN_LOAN_DIVISOR: u64 = 8;

impl Limiter {
    /// Requests loans for the `need_micro` that a request needs beyond the locally available
    /// tokens, or decides that it waits or is refused.
    pub(super) fn borrow_for_request(
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
        let mut obtainable_micro: u64 = pending_micro;
        for remote in &active.remotes {
            if may_borrow && !remote.is_request_pending {
                obtainable_micro += remote.estimate_micro(now);
            }
        }
        let shortfall_micro = need_micro.saturating_sub(obtainable_micro);
        let accrual_ms = shortfall_micro.div_ceil(rate_per_ms);
        if accrual_ms > left_ms || left_ms == 0 {
            let retry_after_ms = accrual_ms.max(need_micro.div_ceil(rate_per_ms).min(1_000));
            return ChargeOutcome::Refused { retry_after_ms };
        }
        let may_ask_other_regions = left_ms >= MIN_OTHER_REGION_TIME_LEFT_MS;
        let mut needed_micro = need_micro.saturating_sub(pending_micro);
        let min_micro = (needed_micro / MIN_LOAN_DIVISOR).max(MICRO_PER_TOKEN);
        let mut planned = Vec::new();
        let mut asks_other_region = false;
        for remote in by_preference(&mut active.remotes, &home, now) {
            let is_home = remote.slot.region == home;
            let estimate_micro = remote.estimate_micro(now);
            let is_too_small = estimate_micro < min_micro.min(needed_micro);
            let is_in_time = may_borrow && (is_home || may_ask_other_regions);
            if needed_micro == 0 || remote.is_request_pending || is_too_small || !is_in_time {
                continue;
            }
            let wanted_micro = needed_micro.min(estimate_micro);
            needed_micro -= wanted_micro;
            asks_other_region |= !is_home;
            planned.push(mark_requested(remote, wanted_micro, now));
        }
        if planned.is_empty() && pending_micro == 0 {
            let ms = accrual_ms.clamp(5, MAX_REFILL_RETRY_MS);
            return ChargeOutcome::Wait { ms };
        }
        let wait_ms = if asks_other_region || planned.is_empty() {
            OTHER_REGION_ANSWER_WAIT_MS
        } else {
            HOME_ANSWER_WAIT_MS
        };
        let messages = self.send_loan_requests(request.account, planned, true, now);
        ChargeOutcome::Borrow { messages, wait_ms }
    }

    /// Requests loans for accounts whose expected demand exceeds the local accrual.
    pub(super) fn borrow_ahead(&mut self, now: Millis) {
        if !self.has_joined(now) {
            return;
        }
        let active_accounts: Vec<AccountId> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.active.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in active_accounts {
            let planned = self.plan_ahead(&id, now);
            for (to, message) in self.send_loan_requests(&id, planned, false, now) {
                self.outbox
                    .entry(to)
                    .or_default()
                    .requests
                    .extend(message.requests);
            }
        }
    }

    fn plan_ahead(&mut self, id: &AccountId, now: Millis) -> Vec<PlannedRequest> {
        let home = self.region.clone();
        let rate_per_ms = self.rate_micro_per_ms(id);
        let pending_micro = self.pending_micro(id, now);
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
        let demand = active.demand.expected_micro(BORROW_AHEAD_MS, now);
        let target = demand.min(rate_per_ms * BORROW_AHEAD_MS);
        let accruing = own_per_ms * BORROW_AHEAD_MS;
        let have = available + pending_micro + accruing;
        if target < MICRO_PER_TOKEN || accruing >= target {
            return Vec::new();
        }
        if have <= target / 2 {
            let min_micro = (target - have) / MIN_LOAN_DIVISOR;
            return plan_requests_in_order(active, &home, target - have, min_micro, now);
        }
        let borrowed = available.saturating_sub(own_level) + pending_micro;
        let is_concentrated = target >= rate_per_ms * BORROW_AHEAD_MS / CONCENTRATED_RATE_DIVISOR;
        if !is_concentrated || borrowed >= target || is_nearly_full(own_level, own_cap) {
            return Vec::new();
        }
        plan_requests_to_full_parts(active, target - borrowed, now)
    }

    fn send_loan_requests(
        &mut self,
        account: &AccountId,
        planned: Vec<PlannedRequest>,
        is_urgent: bool,
        now: Millis,
    ) -> Vec<OutgoingLoanMessage> {
        let mut messages: BTreeMap<Peer, LoanMessage> = BTreeMap::new();
        for plan in planned {
            let number = self.next_loan();
            let request = LoanRequest {
                loan: number,
                account: account.clone(),
                role: plan.remote.slot.role,
                wanted_micro: plan.wanted_micro,
                is_urgent,
            };
            let to = plan.remote.owner.clone();
            messages
                .entry(to.clone())
                .or_default()
                .requests
                .push(request);
            let loan = TakenLoan::new(
                account.clone(),
                plan.remote.slot,
                to,
                plan.wanted_micro,
                now,
            );
            self.taken_loans.insert(number, loan);
            if let Some(active) = self.activate(account, now) {
                active.loan_numbers.push(number);
            }
        }
        messages.into_iter().collect()
    }

    /// Applies a lender's grant. A grant that cannot be used is returned by an immediate report.
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
        let Some(loan) = self.taken_loans.get_mut(&grant.loan) else {
            return (grant.amount_micro > 0).then_some(unwanted);
        };
        if loan.granted.is_some() {
            return None;
        }
        let account = loan.account.clone();
        let slot = loan.slot.clone();
        let min_epoch = self.min_epochs.get(&slot).copied().unwrap_or(0);
        let is_valid = loan.lender == *from
            && grant.amount_micro <= loan.wanted_micro
            && grant.epoch >= min_epoch;
        if is_valid && grant.amount_micro > 0 && !loan.is_expired(now) {
            loan.grant(grant);
        } else {
            self.remove_loan(grant.loan, &account);
        }
        if let Some(active) = self.activate(&account, now) {
            let remote = active.remotes.iter_mut().find(|remote| remote.slot == slot);
            if let Some(remote) = remote {
                remote.note_level(grant.level_micro, now);
                remote.is_request_pending = false;
            }
        }
        let is_taken = self.taken_loans.contains_key(&grant.loan);
        (!is_taken && grant.amount_micro > 0).then_some(unwanted)
    }

    /// Requested tokens whose grant is still expected, in micro-tokens. A lender that is gone never
    /// answers, so after a timeout its amount no longer counts and other lenders are asked.
    fn pending_micro(&self, id: &AccountId, now: Millis) -> u64 {
        let account = self.accounts.get(id);
        let active = account.and_then(|account| account.active.as_ref());
        active
            .iter()
            .flat_map(|active| &active.loan_numbers)
            .filter_map(|number| self.taken_loans.get(number))
            .filter(|loan| loan.granted.is_none())
            .filter(|loan| now.since(loan.requested_at) < self.answer_timeout_ms(&loan.slot.region))
            .map(|loan| loan.wanted_micro)
            .sum()
    }

    fn answer_timeout_ms(&self, region: &RegionId) -> u64 {
        if *region == self.region {
            HOME_ANSWER_TIMEOUT_MS
        } else {
            OTHER_REGION_ANSWER_TIMEOUT_MS
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

/// Plans loan requests for `needed_micro` in order of preference, skipping slots that are expected
/// to yield less than `min_micro`.
fn plan_requests_in_order(
    active: &mut ActiveState,
    home: &RegionId,
    mut needed_micro: u64,
    min_micro: u64,
    now: Millis,
) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for remote in by_preference(&mut active.remotes, home, now) {
        let estimate_micro = remote.estimate_micro(now);
        if needed_micro == 0 || remote.is_request_pending || estimate_micro < min_micro {
            continue;
        }
        let wanted_micro = needed_micro.min(estimate_micro);
        needed_micro -= wanted_micro;
        planned.push(mark_requested(remote, wanted_micro, now));
    }
    planned
}

/// Plans loan requests to slots that are about to lose accrual because they are full, while the
/// local parts are not. With all parts equally full the account can spend its whole burst, as with
/// a single bucket.
fn plan_requests_to_full_parts(
    active: &mut ActiveState,
    mut wanted_micro: u64,
    now: Millis,
) -> Vec<PlannedRequest> {
    let mut planned = Vec::new();
    for remote in &mut active.remotes {
        let estimate_micro = remote.estimate_micro(now);
        let is_full = is_nearly_full(estimate_micro, remote.share.cap_micro);
        if remote.is_request_pending || !is_full || wanted_micro < MICRO_PER_TOKEN {
            continue;
        }
        let requested_micro = wanted_micro.min(estimate_micro / FULL_PART_LOAN_DIVISOR);
        wanted_micro -= requested_micro;
        planned.push(mark_requested(remote, requested_micro, now));
    }
    planned
}

fn is_nearly_full(level_micro: u64, cap_micro: u64) -> bool {
    level_micro >= cap_micro / 100 * NEARLY_FULL_PCT && cap_micro > 0
}

/// A loan request that is still to be sent.
struct PlannedRequest {
    remote: RemoteSlot,
    wanted_micro: u64,
}

/// Marks the slot as having a request in flight and deducts `wanted_micro` from its estimate.
fn mark_requested(remote: &mut RemoteSlot, wanted_micro: u64, now: Millis) -> PlannedRequest {
    let left_micro = remote.estimate_micro(now) - wanted_micro;
    remote.note_level(left_micro, now);
    remote.is_request_pending = true;
    PlannedRequest {
        remote: remote.clone(),
        wanted_micro,
    }
}

/// Slots in the order in which they are asked: home region first, fullest first within each group.
fn by_preference<'a>(
    remotes: &'a mut [RemoteSlot],
    home: &RegionId,
    now: Millis,
) -> Vec<&'a mut RemoteSlot> {
    let mut ordered: Vec<&mut RemoteSlot> = remotes.iter_mut().collect();
    ordered.sort_by_key(|remote| {
        let is_other_region = remote.slot.region != *home;
        (
            is_other_region,
            std::cmp::Reverse(remote.estimate_micro(now)),
        )
    });
    ordered
}
