//! Events in order of time.

use carobwheel_core::route::LoadDigest;
use carobwheel_standin::batch::{BatchRequestId, Token};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Something that happens.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A request comes in.
    Arrive(usize),
    /// A request reaches its engine.
    Submit { engine: usize, job: BatchRequestId },
    /// An engine ends a step; the number tells steps before a crash from those after it.
    StepEnd { engine: usize, life: u64 },
    /// Tokens reach an instance.
    Deliver { instance: usize, tokens: Vec<Token> },
    /// An attempt fails: not run if the connection never came about.
    Fail {
        job: BatchRequestId,
        is_not_run: bool,
    },
    /// A failed request is tried again.
    Retry(usize),
    /// A request's deadline has come.
    Deadline(usize),
    /// Instances tell each other about their work.
    SendDigest { instance: usize, is_far: bool },
    /// A digest arrives.
    Digest {
        from: usize,
        to: usize,
        digest: LoadDigest,
    },
    /// Engines report their load.
    Report,
    /// Instances expire and place what waits.
    Tick,
    /// An engine crashes or returns.
    Fault(usize),
    /// The live list tells of a crash or return.
    LiveList(usize),
}

#[derive(Debug)]
struct Timed {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |timed: &Self| (timed.at_us, timed.number);
        key(other).cmp(&key(self))
    }
}

/// Events to come, the earliest first; events of the same time in order of insertion.
#[derive(Debug, Default)]
pub(super) struct Events {
    heap: BinaryHeap<Timed>,
    next: u64,
}

impl Events {
    pub(super) fn push(&mut self, at_us: u64, event: Event) {
        self.heap.push(Timed {
            at_us,
            number: self.next,
            event,
        });
        self.next += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(u64, Event)> {
        let timed = self.heap.pop()?;
        Some((timed.at_us, timed.event))
    }
}
