//! Settles a placement exactly once, also when its request is dropped midway.

use crate::{
    decide::{Ending, Event, Settlement},
    ring::{Full, Sender},
};
use carobwheel_core::limit::ChargeId;
use std::{thread, time::Duration};
use tokio_util::sync::CancellationToken;

/// Output tokens between two reports to the deciding thread.
const TOKENS_PER_PROGRESS_REPORT: u64 = 32;
const FULL_RING_RETRY_DELAY: Duration = Duration::from_millis(1);

/// A charge that has still to be settled. Dropping it settles it by the tokens noted.
pub struct ChargeGuard {
    charge: ChargeId,
    output_tokens: u64,
    decide: Sender<Event>,
}

impl ChargeGuard {
    /// A guard for `charge`.
    pub fn new(charge: ChargeId, decide: Sender<Event>) -> Self {
        Self {
            charge,
            output_tokens: 0,
            decide,
        }
    }

    /// The charge.
    pub fn id(&self) -> ChargeId {
        self.charge
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let event = Event::Uncharge {
            charge: self.charge,
            output_tokens: self.output_tokens,
        };
        send(&self.decide, event);
    }
}

// A lost settlement would hold a place or tokens for long, so a full ring is waited for.
fn send(decide: &Sender<Event>, event: Event) {
    let mut event = event;
    while let Err(Full(unsent)) = decide.try_send(event) {
        if decide.is_closed() {
            return;
        }
        event = unsent;
        thread::sleep(FULL_RING_RETRY_DELAY);
    }
}

/// A placement that has still to be settled. Dropping it settles it as cancelled and cancels the
/// exchange behind it.
pub struct PlacementGuard {
    /// Absent when another instance has placed the request.
    ticket: Option<u64>,
    output_tokens: u64,
    reported_tokens: u64,
    has_first_byte: bool,
    is_settled: bool,
    charge_guard: Option<ChargeGuard>,
    decide: Option<Sender<Event>>,
    cancel: CancellationToken,
}

impl PlacementGuard {
    /// A guard for a request that another instance has placed, and settles there.
    pub fn placed_remotely() -> Self {
        Self {
            ticket: None,
            charge_guard: None,
            output_tokens: 0,
            reported_tokens: 0,
            has_first_byte: false,
            is_settled: true,
            decide: None,
            cancel: CancellationToken::new(),
        }
    }

    /// A guard for the placement `ticket`, whose exchange is cancelled by `cancel`.
    pub fn new(
        ticket: u64,
        charge_guard: Option<ChargeGuard>,
        decide: Sender<Event>,
        cancel: CancellationToken,
    ) -> Self {
        Self {
            ticket: Some(ticket),
            charge_guard,
            output_tokens: 0,
            reported_tokens: 0,
            has_first_byte: false,
            is_settled: false,
            decide: Some(decide),
            cancel,
        }
    }

    fn report(&self, event: impl FnOnce(u64) -> Event) {
        if let (Some(ticket), Some(decide)) = (self.ticket, &self.decide) {
            // Only an estimate is late when the ring is full.
            let _ = decide.try_send(event(ticket));
        }
    }

    /// Notes that a byte of the answer arrived.
    pub fn byte_arrived(&mut self) {
        if !self.has_first_byte {
            self.has_first_byte = true;
            self.report(|ticket| Event::FirstByte { ticket });
        }
    }

    /// Whether a byte of the answer has arrived.
    pub fn has_first_byte(&self) -> bool {
        self.has_first_byte
    }

    /// Notes the output tokens relayed so far, and reports them now and then.
    pub fn set_output_tokens(&mut self, output_tokens: u64) {
        self.output_tokens = output_tokens;
        if output_tokens >= self.reported_tokens + TOKENS_PER_PROGRESS_REPORT {
            self.reported_tokens = output_tokens;
            self.report(|ticket| Event::Progress {
                ticket,
                output_tokens,
            });
        }
    }

    /// Output tokens relayed so far.
    pub fn output_tokens(&self) -> u64 {
        self.output_tokens
    }

    /// Settles the placement. Later calls have no effect.
    pub fn settle(&mut self, ending: Ending) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        if ending != Ending::Whole {
            self.cancel.cancel();
        }
        if let Some(charge_guard) = &mut self.charge_guard {
            charge_guard.output_tokens = self.output_tokens;
        }
        if let (Some(ticket), Some(decide)) = (self.ticket, &self.decide) {
            let settlement = Settlement {
                ticket,
                ending,
                output_tokens: self.output_tokens,
            };
            send(decide, Event::Settle(settlement));
        }
        self.charge_guard = None;
    }

    /// Puts a charge back that was taken out.
    pub fn restore_charge(&mut self, charge_guard: Option<ChargeGuard>) {
        self.charge_guard = charge_guard;
    }

    /// Takes the charge out, for another attempt of the same request.
    pub fn take_charge(&mut self) -> Option<ChargeGuard> {
        let mut charge_guard = self.charge_guard.take()?;
        charge_guard.output_tokens = self.output_tokens;
        Some(charge_guard)
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.settle(Ending::Cancelled);
    }
}
