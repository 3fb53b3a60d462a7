//! Count of the requests in flight on this instance, until their responses have ended.

use crate::report::Trace;
use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

/// Counter of requests in flight, with an upper bound.
#[derive(Debug)]
pub struct InFlight {
    count: AtomicUsize,
    max: usize,
}

impl InFlight {
    /// Creates a counter that admits at most `max` concurrent requests.
    pub fn new(max: usize) -> Self {
        Self {
            count: AtomicUsize::new(0),
            max,
        }
    }

    /// Returns the number of requests in flight.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }

    /// Counts a request until the returned guard is dropped; `None` if the bound is reached.
    pub fn begin(self: &Arc<Self>, trace: Trace) -> Option<InFlightGuard> {
        let before = self.count.fetch_add(1, Ordering::AcqRel);
        let running = InFlightGuard {
            in_flight: Arc::clone(self),
            trace,
        };
        (before < self.max).then_some(running)
    }
}

/// Guard of one request in flight, which counts until it is dropped.
pub struct InFlightGuard {
    in_flight: Arc<InFlight>,
    trace: Trace,
}

impl InFlightGuard {
    /// Returns the trace of the request.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let before = self.in_flight.count.fetch_sub(1, Ordering::AcqRel);
        assert!(before > 0, "each request in flight is counted down once");
    }
}
