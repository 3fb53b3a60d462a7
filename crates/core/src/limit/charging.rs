//! Charging requests and settling them.

use super::charge::{
    Charge, ChargeId, ChargeOutcome, ChargeRequest, Reservation, ReservationOrigin,
};
use super::limiter::Limiter;
use super::{MAX_CHARGE_DURATION_MS, MICRO_PER_TOKEN};
use crate::id::AccountId;
use crate::slot::Role;
use crate::time::Millis;

impl Limiter {
    /// Charges a request if enough tokens are available, or returns what is needed first.
    pub fn try_charge(&mut self, request: &ChargeRequest<'_>, now: Millis) -> ChargeOutcome {
        let Some(limits) = self
            .tables
            .last()
            .and_then(|table| table.accounts.get(request.account))
        else {
            return ChargeOutcome::UnknownAccount;
        };
        let total_tokens = request
            .prompt_tokens
            .saturating_add(request.max_output_tokens);
        if total_tokens > limits.burst_tokens {
            return ChargeOutcome::TooLarge;
        }
        let total_micro = total_tokens.saturating_mul(MICRO_PER_TOKEN);
        let available = self.available_micro(request.account, now);
        if available >= total_micro {
            let charge = self.admit(request, now);
            self.note_demand(request.account, total_micro, now);
            return ChargeOutcome::Admitted { charge };
        }
        let outcome = self.borrow_for_request(request, total_micro - available, now);
        if matches!(outcome, ChargeOutcome::Refused { .. }) {
            self.note_demand(request.account, total_micro, now);
        }
        outcome
    }

    /// Settles a charge whose request generated `used_output_tokens`, and releases the rest of the
    /// reservation. A charge that is already settled or has expired is ignored.
    pub fn settle(&mut self, charge: ChargeId, used_output_tokens: u64, now: Millis) {
        let Some(charge) = self.charges.remove(&charge.0) else {
            return;
        };
        let mut used_left = used_output_tokens.saturating_mul(MICRO_PER_TOKEN);
        for reservation in &charge.reservations {
            let used = used_left.min(reservation.reserved_micro);
            used_left -= used;
            self.settle_reservation(&charge.account, *reservation, used, now);
        }
    }

    /// Takes the charges that have expired since the last call: they were not settled within
    /// [`MAX_CHARGE_DURATION_MS`] and count as fully used. The caller must end their requests.
    pub fn take_expired_charges(&mut self) -> Vec<ChargeId> {
        std::mem::take(&mut self.expired_charges)
    }

    /// Amount that could be charged to an account here right now, in micro-tokens.
    pub fn available_micro(&mut self, account: &AccountId, now: Millis) -> u64 {
        let Some(state) = self.accounts.get_mut(account) else {
            return 0;
        };
        let own = if self.are_slots_invalid {
            0
        } else {
            state.level_micro(now)
        };
        let borrowed: u64 = state
            .active
            .iter()
            .flat_map(|active| &active.loan_numbers)
            .filter_map(|number| self.taken_loans.get(number))
            .filter(|loan| !loan.is_expired(now))
            .map(|loan| loan.unspent_micro)
            .sum();
        own + borrowed
    }

    pub(super) fn note_demand(&mut self, account: &AccountId, amount_micro: u64, now: Millis) {
        if let Some(active) = self.activate(account, now) {
            active.demand.add(amount_micro, now);
        }
    }

    pub(super) fn admit(&mut self, request: &ChargeRequest<'_>, now: Millis) -> ChargeId {
        let mut used_left = request.prompt_tokens * MICRO_PER_TOKEN;
        let mut reserved_left = request.max_output_tokens * MICRO_PER_TOKEN;
        let mut reservations = Vec::new();
        let mut split = |available: u64| {
            let used = used_left.min(available);
            let reserved = reserved_left.min(available - used);
            used_left -= used;
            reserved_left -= reserved;
            (used, reserved)
        };
        let account = self
            .accounts
            .get_mut(request.account)
            .expect("an account with available tokens has state");
        let numbers = account
            .active
            .iter()
            .flat_map(|active| &active.loan_numbers);
        for number in numbers {
            let Some(loan) = self.taken_loans.get_mut(number) else {
                continue;
            };
            if loan.is_expired(now) || loan.unspent_micro == 0 {
                continue;
            }
            let (used, reserved) = split(loan.unspent_micro);
            loan.unspent_micro -= used + reserved;
            loan.used_micro += used;
            loan.reserved_micro += reserved;
            if reserved > 0 {
                let origin = ReservationOrigin::Loan(*number);
                reservations.push(Reservation {
                    origin,
                    reserved_micro: reserved,
                });
            }
        }
        for (part, role) in account.parts.iter_mut().zip(Role::ALL) {
            let Some(part) = part else { continue };
            if self.are_slots_invalid || part.is_suspended {
                continue;
            }
            let (used, reserved) = split(part.level_micro);
            part.charge(used, reserved);
            if reserved > 0 {
                let epoch = part.epoch;
                let origin = ReservationOrigin::Part { role, epoch };
                reservations.push(Reservation {
                    origin,
                    reserved_micro: reserved,
                });
            }
        }
        assert!(
            used_left == 0 && reserved_left == 0,
            "charge exceeds the available tokens"
        );
        self.next_charge += 1;
        let charge = Charge {
            account: request.account.clone(),
            reservations,
            revision: self.revision(),
            expires: now.plus(MAX_CHARGE_DURATION_MS),
        };
        self.charges.insert(self.next_charge, charge);
        ChargeId(self.next_charge)
    }

    pub(super) fn settle_reservation(
        &mut self,
        account: &AccountId,
        reservation: Reservation,
        used_micro: u64,
        now: Millis,
    ) {
        let reserved = reservation.reserved_micro;
        match reservation.origin {
            ReservationOrigin::Loan(number) => {
                let Some(loan) = self.taken_loans.get_mut(&number) else {
                    return;
                };
                loan.reserved_micro -= reserved;
                loan.used_micro += used_micro;
                loan.returned_micro += reserved - used_micro;
            }
            ReservationOrigin::Part { role, epoch } => {
                let Some(account) = self.accounts.get_mut(account) else {
                    return;
                };
                let Some(part) = &mut account.parts[role as usize] else {
                    return;
                };
                if part.epoch == epoch {
                    part.settle(reserved, used_micro, now);
                }
            }
        }
    }
}
