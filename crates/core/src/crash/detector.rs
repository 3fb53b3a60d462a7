//! Evidence on prompt parts, and the decision whether a request may be sent.

use super::{CrashReport, PartId};
use crate::time::Millis;

/// Decision on a request, by its shared prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// The request may be sent.
    Open,
    /// A part is suspected and another request with it is in flight here: wait for its outcome.
    Wait {
        /// The suspected part.
        part: PartId,
    },
    /// A part is held: refuse the request.
    Held {
        /// The held part.
        part: PartId,
        /// Time until the hold lapses, in milliseconds.
        left_ms: u64,
    },
}

/// Change of a part's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldChange {
    /// Requests with the part are refused from now on.
    Held {
        /// The part.
        part: PartId,
        /// Number of separate crashes that speak against it.
        crashes: u32,
        /// Duration of the hold, in milliseconds.
        for_ms: u64,
    },
    /// An answer cleared the part.
    Released {
        /// The part.
        part: PartId,
    },
    /// The hold has lapsed; the next crash renews it.
    Lapsed {
        /// The part.
        part: PartId,
    },
}

/// Evidence of one instance on prompt parts, from its own requests and from other instances.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {}

impl CrashDetector {
    /// Decides on a request with these shared parts (all parts of its prompt but the last).
    pub fn gate(&self, _parts: &[PartId], _now: Millis) -> Gate {
        Gate::Open
    }

    /// Records that a request with these shared parts is sent to an engine. Call
    /// [`Self::send_ended`] once for each call of this.
    pub fn sent(&mut self, _parts: &[PartId], _now: Millis) {}

    /// Records that a send no longer waits for its first output, whatever the outcome.
    pub fn send_ended(&mut self, _parts: &[PartId]) {}

    /// Records that a request with these shared parts has got its first output.
    pub fn answered(&mut self, _parts: &[PartId], _now: Millis) -> Vec<HoldChange> {
        Vec::new()
    }

    /// Records that the connection to an engine broke before the first output of a request with
    /// these shared parts. Several requests of one crash are merged by `engine`, the hash of the
    /// engine's identifier and of the start time of its process.
    pub fn crashed(&mut self, _engine: u32, _parts: &[PartId], _now: Millis) -> Vec<HoldChange> {
        Vec::new()
    }

    /// Evidence for other instances.
    pub fn report(&self, _now: Millis) -> CrashReport {
        CrashReport::default()
    }

    /// Takes in the evidence of another instance.
    pub fn receive(&mut self, _report: &CrashReport, _now: Millis) -> Vec<HoldChange> {
        Vec::new()
    }

    /// Drops expired evidence and lets holds lapse.
    pub fn expire(&mut self, _now: Millis) -> Vec<HoldChange> {
        Vec::new()
    }

    /// Number of parts that are held.
    pub fn held_count(&self) -> usize {
        0
    }

    /// Number of parts that are suspected but not held.
    pub fn suspect_count(&self) -> usize {
        0
    }
}
