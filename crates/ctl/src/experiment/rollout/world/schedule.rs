//! Events of the simulation, in the order of their times.

use carobwheel_core::{
    evidence::{EvidenceDigest, RequestTicket, Sample},
    rollout::{VerdictAnswer, VerdictEffect},
};

/// Event of the simulation. The first number is the index of an instance.
pub(super) enum Event {
    Arrival,
    RequestEnded(usize, RequestTicket, Sample),
    RegionGossip(usize),
    CrossRegionGossip(usize),
    DeliverDigest(usize, Box<EvidenceDigest>),
    Tick(usize),
    StoreCall(usize, VerdictEffect),
    StoreAnswer(usize, u32, VerdictAnswer),
}

/// Event with its time. Events of equal time are ordered by `sequence`.
pub(super) struct ScheduledEvent {
    pub(super) at_ms: u64,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.sequence).cmp(&(other.at_ms, other.sequence))
    }
}
