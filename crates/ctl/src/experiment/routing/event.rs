//! Events of the simulation and the queue that orders them by time.

use carobwheel_core::route::LoadDigest;
use carobwheel_standin::batch::{BatchRequestId, Token};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Event of the simulation. A lone number is the index of a request, or of a fault.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A request arrives at its instance.
    Arrive(usize),
    /// A request reaches its engine.
    Submit { engine: usize, job: BatchRequestId },
    /// An engine ends a step. `registration` tells apart steps before and after a crash.
    StepEnd { engine: usize, registration: u64 },
    /// Tokens arrive at an instance.
    Deliver { instance: usize, tokens: Vec<Token> },
    /// An attempt fails. It was not run if no connection was established.
    Fail {
        job: BatchRequestId,
        is_not_run: bool,
    },
    /// A failed request is retried.
    Retry(usize),
    /// A request's deadline is reached.
    Deadline(usize),
    /// An instance sends its load digest to its peers in its own region or in the others.
    SendDigest {
        instance: usize,
        is_cross_region: bool,
    },
    /// A load digest arrives at an instance.
    DeliverDigest {
        from: usize,
        to: usize,
        digest: LoadDigest,
    },
    /// All engines report their load.
    ReportLoads,
    /// All instances expire old state and place waiting requests.
    Tick,
    /// An engine crashes or returns, as given by a fault of the scenario.
    Fault(usize),
    /// The live list reports the crash or return of a fault.
    UpdateLiveList(usize),
}

/// Event with its time. Events of equal time are ordered by `sequence`.
#[derive(Debug)]
struct ScheduledEvent {
    at_us: u64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |scheduled: &Self| (scheduled.at_us, scheduled.sequence);
        key(other).cmp(&key(self))
    }
}

/// Queue of future events, the earliest first; events of equal time in order of insertion.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<ScheduledEvent>,
    next_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at_us: u64, event: Event) {
        self.heap.push(ScheduledEvent {
            at_us,
            sequence: self.next_sequence,
            event,
        });
        self.next_sequence += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(u64, Event)> {
        let scheduled = self.heap.pop()?;
        Some((scheduled.at_us, scheduled.event))
    }
}
