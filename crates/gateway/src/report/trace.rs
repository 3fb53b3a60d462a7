//! What one request reports about itself when it ends.

use crate::{refusal::Cause, ring::Sender};
use carobwheel_core::{
    id::{AccountId, ClassId},
    time::{Clock, Millis},
};
use std::sync::{Arc, OnceLock};

/// The histograms that a request counts towards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Label {
    /// Client account; none on open routes.
    pub account: Option<AccountId>,
    /// Latency class; none for plain routes.
    pub class: Option<ClassId>,
}

/// What a request reports when it has ended.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Histograms that the request counts towards; none if it was refused before it was read.
    pub label: Option<Label>,
    /// Why the request was refused, if it was.
    pub cause: Option<Cause>,
    /// Time from intake to the first byte of the answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Time from intake to the end of the answer, in milliseconds.
    pub total_ms: u64,
}

struct Inner {
    clock: Clock,
    began: Millis,
    label: OnceLock<Label>,
    cause: OnceLock<Cause>,
    first_byte: OnceLock<Millis>,
    report: Sender<Observation>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        let ended = self.clock.now();
        let first_byte = self.first_byte.get().copied().unwrap_or(ended);
        // A full ring costs an observation, never a request.
        let _ = self.report.try_send(Observation {
            label: self.label.take(),
            cause: self.cause.get().copied(),
            first_byte_ms: first_byte.since(self.began),
            total_ms: ended.since(self.began),
        });
    }
}

/// The trace of one request. The observation is sent when the last clone is dropped.
#[derive(Clone)]
pub struct Trace {
    inner: Arc<Inner>,
}

impl Trace {
    /// A trace that begins now.
    pub fn begin(clock: Clock, report: Sender<Observation>) -> Self {
        Self {
            inner: Arc::new(Inner {
                clock,
                began: clock.now(),
                label: OnceLock::new(),
                cause: OnceLock::new(),
                first_byte: OnceLock::new(),
                report,
            }),
        }
    }

    /// Notes which histograms the request counts towards. Only the first call counts.
    pub fn set_label(&self, label: Label) {
        let _ = self.inner.label.set(label);
    }

    /// Notes that the request was refused. Only the first call counts.
    pub fn record_refusal(&self, cause: Cause) {
        let _ = self.inner.cause.set(cause);
    }

    /// Notes the first byte of the answer. Only the first call counts.
    pub fn record_first_byte(&self) {
        if self.inner.first_byte.get().is_none() {
            let _ = self.inner.first_byte.set(self.inner.clock.now());
        }
    }
}
