//! Charging of requests to their accounts before placement.

use super::{
    event::PlacementRequest,
    gossip::LOAN_CHANNEL,
    place::refuse,
    state::{account_of, State},
};
use crate::refusal::{Cause, Refusal};
use carobwheel_core::{
    id::{AccountId, RegionId},
    limit::{ChargeId, ChargeOutcome, ChargeRequest, Limiter, LoanMessage, OutgoingLoanMessage},
    slot::Peer,
    time::Millis,
};
use carobwheel_wire::peer::Message;
use std::{
    collections::{HashMap, HashSet},
    mem,
};
use tokio_util::sync::CancellationToken;

/// Maximum time that a request waits for tokens of its account, in milliseconds.
const MAX_TOKEN_WAIT_MS: u64 = 1_000;
/// Divisor of the time to the deadline that bounds the wait for tokens.
const DEADLINE_WAIT_DIVISOR: u64 = 4;
/// Maximum number of requests that wait for tokens.
const MAX_WAITING_REQUESTS: usize = 4_096;

/// Request that waits for tokens of its account.
struct WaitingRequest {
    request: Box<PlacementRequest>,
    until: Millis,
    retry_at: Millis,
}

/// Token charges of this instance's requests.
pub(super) struct Charging {
    pub(super) limiter: Limiter,
    cancellations: HashMap<ChargeId, CancellationToken>,
    waiting: Vec<WaitingRequest>,
}

impl Charging {
    pub(super) fn new(me: Peer, region: RegionId) -> Self {
        Self {
            limiter: Limiter::new(me, region),
            cancellations: HashMap::new(),
            waiting: Vec::new(),
        }
    }

    /// Cancels the requests whose charges no longer cover them.
    pub(super) fn cancel(&mut self, charges: impl IntoIterator<Item = ChargeId>) {
        for charge in charges {
            if let Some(cancel) = self.cancellations.remove(&charge) {
                log::warn!(charge = charge.0; "request cancelled: its charge no longer covers it");
                cancel.cancel();
            }
        }
    }
}

impl State {
    /// Charges the request, then places it.
    pub(super) fn charge(&mut self, request: Box<PlacementRequest>, now: Millis) {
        let wait_ms = (request.deadline.since(now) / DEADLINE_WAIT_DIVISOR).min(MAX_TOKEN_WAIT_MS);
        let until = now.plus(wait_ms);
        let mut waiting = self.charging.waiting.iter();
        if waiting.any(|other| account_of(&other.request) == account_of(&request)) {
            // Requests of one account keep their order: a small one does not overtake a large one.
            self.wait_for_tokens(request, until, now);
            return;
        }
        self.try_charge(request, until, now);
    }

    fn try_charge(&mut self, mut request: Box<PlacementRequest>, until: Millis, now: Millis) {
        let Some(account) = account_of(&request) else {
            self.place_or_queue(request, now);
            return;
        };
        let charge_request = ChargeRequest {
            account,
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            wait_until: until,
        };
        match self.charging.limiter.try_charge(&charge_request, now) {
            ChargeOutcome::Admitted { charge } => {
                request.charge = Some(charge);
                let cancel = request.cancel.clone();
                self.charging.cancellations.insert(charge, cancel);
                self.place_or_queue(request, now);
            }
            ChargeOutcome::Borrow { messages, wait_ms } => {
                self.send_loan_messages(messages);
                self.wait_for_tokens(request, until, now.plus(wait_ms.max(1)));
            }
            ChargeOutcome::Wait { ms } => self.wait_for_tokens(request, until, now.plus(ms.max(1))),
            ChargeOutcome::Refused { retry_after_ms } => {
                let message = "the account has used up its rate";
                let refusal = Refusal::not_run(Cause::RateLimited, message);
                refuse(request, refusal.retry_after(retry_after_ms));
            }
            ChargeOutcome::TooLarge => {
                let message = "prompt and output together exceed the account's burst";
                refuse(request, Refusal::not_run(Cause::TooLarge, message));
            }
            ChargeOutcome::UnknownAccount => {
                refuse(
                    request,
                    Refusal::not_run(Cause::InvalidKey, "no such account"),
                );
            }
        }
    }

    fn wait_for_tokens(&mut self, request: Box<PlacementRequest>, until: Millis, retry_at: Millis) {
        if self.charging.waiting.len() >= MAX_WAITING_REQUESTS {
            let message = "too many requests wait for tokens of their accounts";
            refuse(
                request,
                Refusal::not_run(Cause::Overloaded, message).retry_after(1_000),
            );
            return;
        }
        self.charging.waiting.push(WaitingRequest {
            request,
            until,
            retry_at,
        });
    }

    /// Retries the charge of waiting requests that are due, or of all of them after a loan was
    /// granted. Requests of one account keep their order.
    fn retry_waiting(&mut self, all: bool, now: Millis) {
        let waiting = mem::take(&mut self.charging.waiting);
        let mut blocked_accounts: HashSet<AccountId> = HashSet::new();
        for entry in waiting {
            if entry.request.reply.is_closed() {
                continue;
            }
            let account = account_of(&entry.request).cloned();
            let is_blocked = account
                .as_ref()
                .is_some_and(|it| blocked_accounts.contains(it));
            let is_expired = entry.until <= now;
            let is_due = all || entry.retry_at <= now;
            let before = self.charging.waiting.len();
            if is_due && (!is_blocked || is_expired) {
                self.try_charge(entry.request, entry.until, now);
            } else {
                self.charging.waiting.push(entry);
            }
            if self.charging.waiting.len() > before {
                blocked_accounts.extend(account);
            }
        }
    }

    /// Settles the charge of a request that has ended.
    pub(super) fn settle_charge(&mut self, charge: ChargeId, output_tokens: u64, now: Millis) {
        self.charging.cancellations.remove(&charge);
        self.charging.limiter.settle(charge, output_tokens, now);
    }

    pub(super) fn tick_charging(&mut self, now: Millis) {
        let messages = self.charging.limiter.tick(now);
        self.send_loan_messages(messages);
        let ended = self.charging.limiter.take_expired_charges();
        self.charging.cancel(ended);
        self.retry_waiting(false, now);
    }

    /// Handles a loan message from a peer.
    pub(super) fn on_loan_message(&mut self, from: &Peer, message: &LoanMessage, now: Millis) {
        let has_grants = !message.grants.is_empty();
        let answers = self.charging.limiter.on_message(from, message, now);
        self.send_loan_messages(answers);
        if has_grants {
            self.retry_waiting(true, now);
        }
    }

    fn send_loan_messages(&self, messages: Vec<OutgoingLoanMessage>) {
        for (to, message) in messages {
            let addr = self
                .members
                .member(&to.instance)
                .filter(|member| member.identity.incarnation.0 == to.incarnation)
                .map(|member| member.identity.peer_addr);
            let Some(addr) = addr else {
                continue;
            };
            let envelope = (self.me.incarnation, message);
            match postcard::to_stdvec(&envelope) {
                Ok(bytes) => {
                    let message = Message::opaque(LOAN_CHANNEL, bytes);
                    self.outputs.send(to.instance, Some(addr), message);
                }
                Err(err) => log::error!("cannot encode loan message: {err}"),
            }
        }
    }
}
