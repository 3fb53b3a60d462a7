//! Requests in flight on this instance, counted until their answers have ended.

use crate::report::Trace;
use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

/// Counts the requests in flight.
#[derive(Debug)]
pub struct InFlight {
    count: AtomicUsize,
    max: usize,
}

impl InFlight {
    /// A counter that admits `max` requests at the same time.
    pub fn new(max: usize) -> Self {
        Self {
            count: AtomicUsize::new(0),
            max,
        }
    }

    /// Requests in flight now.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Counts one more request, or `None` if there is no room.
    pub fn begin(self: &Arc<Self>, trace: Trace) -> Option<InFlightGuard> {
        let before = self.count.fetch_add(1, Ordering::AcqRel);
        let running = InFlightGuard {
            in_flight: Arc::clone(self),
            trace,
        };
        (before < self.max).then_some(running)
    }
}

/// One request in flight, until it is dropped.
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    trace: Trace,
}

impl InFlightGuard {
    /// The trace of the request.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let before = self.in_flight.count.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "each request in flight ends once");
    }
}
