//! Settles a placement exactly once, also when its request is dropped midway.

use crate::{
    decide::{AttemptOutcome, Event, Settlement},
    ring::{Full, Sender},
};
use carobwheel_core::limit::ChargeId;
use std::{thread, time::Duration};
use tokio_util::sync::CancellationToken;

/// Output tokens between two reports to the deciding thread.
const REPORTED_TOKENS: u64 = 32;
const RETRY_PAUSE: Duration = Duration::from_millis(1);

/// A charge that has still to be settled. Dropping it settles it by the tokens noted.
pub struct Charged {
    charge: ChargeId,
    output_tokens: u64,
    decide: Sender<Event>,
}

impl Charged {
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

impl Drop for Charged {
    fn drop(&mut self) {
        let event = Event::SettleCharge {
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
        thread::sleep(RETRY_PAUSE);
    }
}

/// A placement that has still to be settled. Dropping it settles it as cancelled and cancels the
/// exchange behind it.
pub struct Settling {
    /// Absent when another instance has placed the request.
    ticket: Option<u64>,
    output_tokens: u64,
    reported_tokens: u64,
    has_first_byte: bool,
    is_settled: bool,
    charged: Option<Charged>,
    decide: Option<Sender<Event>>,
    cancel: CancellationToken,
}

impl Settling {
    /// A guard for a request that another instance has placed, and settles there.
    pub fn elsewhere() -> Self {
        Self {
            ticket: None,
            charged: None,
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
        charged: Option<Charged>,
        decide: Sender<Event>,
        cancel: CancellationToken,
    ) -> Self {
        Self {
            ticket: Some(ticket),
            charged,
            output_tokens: 0,
            reported_tokens: 0,
            has_first_byte: false,
            is_settled: false,
            decide: Some(decide),
            cancel,
        }
    }

    fn tell(&self, event: impl FnOnce(u64) -> Event) {
        if let (Some(ticket), Some(decide)) = (self.ticket, &self.decide) {
            // Only an estimate is late when the ring is full.
            let _ = decide.try_send(event(ticket));
        }
    }

    /// Notes that a byte of the answer arrived.
    pub fn byte_arrived(&mut self) {
        if !self.has_first_byte {
            self.has_first_byte = true;
            self.tell(|ticket| Event::FirstByte { ticket });
        }
    }

    /// Whether a byte of the answer has arrived.
    pub fn has_first_byte(&self) -> bool {
        self.has_first_byte
    }

    /// Notes the output tokens relayed so far, and reports them now and then.
    pub fn set_output_tokens(&mut self, output_tokens: u64) {
        self.output_tokens = output_tokens;
        if output_tokens >= self.reported_tokens + REPORTED_TOKENS {
            self.reported_tokens = output_tokens;
            self.tell(|ticket| Event::Progress {
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
    pub fn settle(&mut self, outcome: AttemptOutcome) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        if outcome != AttemptOutcome::Completed {
            self.cancel.cancel();
        }
        if let Some(charged) = &mut self.charged {
            charged.output_tokens = self.output_tokens;
        }
        if let (Some(ticket), Some(decide)) = (self.ticket, &self.decide) {
            let settlement = Settlement {
                ticket,
                outcome,
                output_tokens: self.output_tokens,
            };
            send(decide, Event::Settle(settlement));
        }
        self.charged = None;
    }

    /// Puts a charge back that was taken out.
    pub fn put_charge(&mut self, charged: Option<Charged>) {
        self.charged = charged;
    }

    /// Takes the charge out, for another attempt of the same request.
    pub fn take_charge(&mut self) -> Option<Charged> {
        let mut charged = self.charged.take()?;
        charged.output_tokens = self.output_tokens;
        Some(charged)
    }
}

impl Drop for Settling {
    fn drop(&mut self) {
        self.settle(AttemptOutcome::Cancelled);
    }
}
