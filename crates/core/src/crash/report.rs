//! What instances tell each other about crashes.

use super::PartId;
use serde::{Deserialize, Serialize};

/// Crash of one engine as seen by one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the engine's identifier and of the start time of its process.
    pub engine: u32,
    /// Age of the observation, in milliseconds.
    pub age_ms: u32,
    /// Shared parts of the sender's requests that waited for their first output, without those
    /// that were answered since.
    pub parts: Vec<PartId>,
}

/// Part of which requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPart {
    /// The part.
    pub part: PartId,
    /// Time until the hold lapses, in milliseconds.
    pub left_ms: u32,
    /// Time since the hold was decided, in milliseconds.
    pub age_ms: u32,
}

/// Part of which the sender has seen an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnsweredPart {
    /// The part.
    pub part: PartId,
    /// Age of the last answer, in milliseconds.
    pub age_ms: u32,
}

/// An instance's evidence for the others. Empty while no engine crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Recent crashes that the sender has seen itself.
    pub crashes: Vec<Crash>,
    /// Parts of crashes, and released parts, of which the sender knows a recent answer.
    pub answered: Vec<AnsweredPart>,
    /// Parts that the sender holds.
    pub held: Vec<HeldPart>,
}

impl CrashReport {
    /// The report as it is `ms` milliseconds later.
    #[must_use]
    pub fn aged(&self, ms: u32) -> Self {
        let mut report = self.clone();
        for crash in &mut report.crashes {
            crash.age_ms = crash.age_ms.saturating_add(ms);
        }
        for answer in &mut report.answered {
            answer.age_ms = answer.age_ms.saturating_add(ms);
        }
        for held in &mut report.held {
            held.age_ms = held.age_ms.saturating_add(ms);
            held.left_ms = held.left_ms.saturating_sub(ms);
        }
        report
    }
}
