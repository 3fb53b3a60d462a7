//! Guards that settle a placement and its charge exactly once, also when the request is dropped.

use crate::{
    decide::{AttemptOutcome, Event, Settlement},
    ring::{Full, Sender},
};
use carobwheel_core::{limit::ChargeId, retry::Failure};
use std::{thread, time::Duration};
use tokio_util::sync::CancellationToken;

/// Output tokens between two progress reports to the decision thread.
const TOKENS_PER_PROGRESS_REPORT: u64 = 32;
const FULL_RING_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Guard of a charge. Dropping it settles the charge by the output tokens counted so far.
pub struct ChargeGuard {
    charge: ChargeId,
    output_tokens: u64,
    decide: Sender<Event>,
}

impl ChargeGuard {
    /// Creates a guard for `charge`.
    pub fn new(charge: ChargeId, decide: Sender<Event>) -> Self {
        Self {
            charge,
            output_tokens: 0,
            decide,
        }
    }

    /// Returns the identifier of the charge.
    pub fn id(&self) -> ChargeId {
        self.charge
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        let event = Event::SettleCharge {
            charge: self.charge,
            output_tokens: self.output_tokens,
        };
        send(&self.decide, event);
    }
}

// Waits while the ring is full: a lost settlement would keep capacity of the upstream or
// tokens reserved for a long time.
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

/// Guard of a placement. Dropping it settles the placement as cancelled and cancels its exchange.
pub struct PlacementGuard {
    /// `None` when another instance has placed the request.
    ticket: Option<u64>,
    output_tokens: u64,
    reported_tokens: u64,
    has_first_byte: bool,
    has_first_output: bool,
    is_error_answer: bool,
    is_settled: bool,
    charge_guard: Option<ChargeGuard>,
    decide: Option<Sender<Event>>,
    cancel: CancellationToken,
}

impl PlacementGuard {
    /// Creates a guard for a request that another instance has placed and settles itself.
    pub fn placed_remotely() -> Self {
        Self {
            ticket: None,
            charge_guard: None,
            output_tokens: 0,
            reported_tokens: 0,
            has_first_byte: false,
            has_first_output: false,
            is_error_answer: false,
            is_settled: true,
            decide: None,
            cancel: CancellationToken::new(),
        }
    }

    /// Creates a guard for the placement `ticket`, whose exchange is cancelled by `cancel`.
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
            has_first_output: false,
            is_error_answer: false,
            is_settled: false,
            decide: Some(decide),
            cancel,
        }
    }

    fn report(&self, event: impl FnOnce(u64) -> Event) {
        if let (Some(ticket), Some(decide)) = (self.ticket, &self.decide) {
            // Dropped when the ring is full: only an estimate is updated late then.
            let _ = decide.try_send(event(ticket));
        }
    }

    /// Records that bytes of the answer arrived, and reports the first.
    pub fn record_first_byte(&mut self) {
        if !self.has_first_byte {
            self.has_first_byte = true;
            self.report(|ticket| Event::FirstByte { ticket });
        }
    }

    /// Records that output of the engine arrived, and reports the first.
    pub fn record_first_output(&mut self) {
        if !self.has_first_output && !self.is_error_answer {
            self.has_first_output = true;
            self.report(|ticket| Event::FirstOutput { ticket });
        }
    }

    /// Records that the answer is an error, not output of the engine.
    pub fn mark_error_answer(&mut self) {
        self.is_error_answer = true;
    }

    /// Whether a byte of the answer has arrived.
    pub fn has_first_byte(&self) -> bool {
        self.has_first_byte
    }

    /// Records the output tokens relayed so far, and reports them to the decision thread at
    /// intervals.
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

    /// Returns the output tokens relayed so far.
    pub fn output_tokens(&self) -> u64 {
        self.output_tokens
    }

    /// Settles the placement. Later calls have no effect.
    pub fn settle(&mut self, outcome: AttemptOutcome) {
        if self.is_settled {
            return;
        }
        self.is_settled = true;
        self.has_first_output |= outcome == AttemptOutcome::Completed && !self.is_error_answer;
        let is_broken = outcome == AttemptOutcome::Failed(Failure::ConnectionLost)
            && !self.cancel.is_cancelled();
        if outcome != AttemptOutcome::Completed {
            self.cancel.cancel();
        }
        if let Some(charge_guard) = &mut self.charge_guard {
            charge_guard.output_tokens = self.output_tokens;
        }
        if let (Some(ticket), Some(decide)) = (self.ticket, &self.decide) {
            let settlement = Settlement {
                ticket,
                outcome,
                output_tokens: self.output_tokens,
                has_output: self.has_first_output,
                is_broken,
                is_broken_before_output: is_broken && !self.has_first_output,
            };
            send(decide, Event::Settle(settlement));
        }
        self.charge_guard = None;
    }

    /// Restores a charge that [`Self::take_charge`] returned.
    pub fn restore_charge(&mut self, charge_guard: Option<ChargeGuard>) {
        self.charge_guard = charge_guard;
    }

    /// Removes and returns the charge, for another attempt of the same request.
    pub fn take_charge(&mut self) -> Option<ChargeGuard> {
        let mut charge_guard = self.charge_guard.take()?;
        charge_guard.output_tokens = self.output_tokens;
        Some(charge_guard)
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.settle(AttemptOutcome::Cancelled);
    }
}
