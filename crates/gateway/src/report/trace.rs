//! Observation of a single request, reported when it ends.

use crate::{refusal::Cause, ring::Sender};
use carobwheel_core::{
    id::{AccountId, ClassId},
    time::{Clock, Millis},
};
use std::sync::{Arc, OnceLock};

/// Key of the histograms that a request counts towards.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Label {
    /// Client account; none on open routes.
    pub account: Option<AccountId>,
    /// Latency class; none for plain routes.
    pub class: Option<ClassId>,
}

/// Measurements of a request that has ended.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Histograms that the request counts towards; none if it was refused before it was classified.
    pub label: Option<Label>,
    /// Cause of the refusal, if the request was refused.
    pub cause: Option<Cause>,
    /// Time from intake to the first byte of the response, in milliseconds.
    pub first_byte_ms: u64,
    /// Time from intake to the end of the response, in milliseconds.
    pub total_ms: u64,
}

struct Inner {
    clock: Clock,
    started_at: Millis,
    label: OnceLock<Label>,
    cause: OnceLock<Cause>,
    first_byte: OnceLock<Millis>,
    observations: Sender<Observation>,
}

impl Drop for Inner {
    fn drop(&mut self) {
        let ended_at = self.clock.now();
        let first_byte = self.first_byte.get().copied().unwrap_or(ended_at);
        // With a full ring the observation is dropped; the request is not affected.
        let _ = self.observations.try_send(Observation {
            label: self.label.take(),
            cause: self.cause.get().copied(),
            first_byte_ms: first_byte.since(self.started_at),
            total_ms: ended_at.since(self.started_at),
        });
    }
}

/// Trace of one request. Sends its observation when the last clone is dropped.
#[derive(Clone)]
pub struct Trace {
    inner: Arc<Inner>,
}

impl Trace {
    /// Starts a trace at the current time.
    pub fn begin(clock: Clock, observations: Sender<Observation>) -> Self {
        Self {
            inner: Arc::new(Inner {
                clock,
                started_at: clock.now(),
                label: OnceLock::new(),
                cause: OnceLock::new(),
                first_byte: OnceLock::new(),
                observations,
            }),
        }
    }

    /// Sets the histograms that the request counts towards. Later calls have no effect.
    pub fn set_label(&self, label: Label) {
        let _ = self.inner.label.set(label);
    }

    /// Records that the request was refused. Later calls have no effect.
    pub fn record_refusal(&self, cause: Cause) {
        let _ = self.inner.cause.set(cause);
    }

    /// Records the time of the response's first byte. Later calls have no effect.
    pub fn record_first_byte(&self) {
        if self.inner.first_byte.get().is_none() {
            let _ = self.inner.first_byte.set(self.inner.clock.now());
        }
    }
}
