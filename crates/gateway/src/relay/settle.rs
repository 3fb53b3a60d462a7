//! Settles a placement exactly once, also when its request is dropped midway.

use crate::{
    decide::{Ending, Event, Settlement},
    ring::{Full, Sender},
};
use std::{thread, time::Duration};
use tokio_util::sync::CancellationToken;

/// Output tokens between two reports to the deciding thread.
const REPORTED_TOKENS: u64 = 32;
const RETRY_PAUSE: Duration = Duration::from_millis(1);

/// A placement that has still to be settled. Dropping it settles it as cancelled and cancels the
/// exchange behind it.
pub struct Settling {
    ticket: u64,
    output_tokens: u64,
    reported_tokens: u64,
    has_first_byte: bool,
    is_settled: bool,
    decide: Sender<Event>,
    cancel: CancellationToken,
}

impl Settling {
    /// A guard for the placement `ticket`, whose exchange is cancelled by `cancel`.
    pub fn new(ticket: u64, decide: Sender<Event>, cancel: CancellationToken) -> Self {
        Self {
            ticket,
            output_tokens: 0,
            reported_tokens: 0,
            has_first_byte: false,
            is_settled: false,
            decide,
            cancel,
        }
    }

    /// Notes that a byte of the answer arrived.
    pub fn byte_arrived(&mut self) {
        if !self.has_first_byte {
            self.has_first_byte = true;
            let ticket = self.ticket;
            // Only an estimate of latency is lost when the ring is full.
            let _ = self.decide.try_send(Event::FirstByte { ticket });
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
            let ticket = self.ticket;
            // Only an estimate of the work ahead is late when the ring is full.
            let _ = self.decide.try_send(Event::Progress {
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
        let mut event = Event::Settle(Settlement {
            ticket: self.ticket,
            ending,
            output_tokens: self.output_tokens,
        });
        // A lost settlement would hold the upstream's place for ever, so a full ring is waited for.
        while let Err(Full(unsent)) = self.decide.try_send(event) {
            if self.decide.is_closed() {
                return;
            }
            event = unsent;
            thread::sleep(RETRY_PAUSE);
        }
    }
}

impl Drop for Settling {
    fn drop(&mut self) {
        self.settle(Ending::Cancelled);
    }
}
