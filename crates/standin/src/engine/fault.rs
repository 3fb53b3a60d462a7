//! Faults of an engine.

use rand::{rngs::StdRng, Rng, SeedableRng};

/// One million parts make a whole.
const WHOLE_PPM: u32 = 1_000_000;

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is answered with this status instead, and not run.
    Status(u16),
    /// The connection closes before the first byte of the answer.
    CloseBeforeFirstByte,
    /// The connection closes once this many bytes of the body are sent.
    CloseAfterBytes(usize),
    /// A whole answer ends short of its announced length; a stream ends in good form but without
    /// its last tokens and its final event.
    Truncated,
    /// The answer begins later than usual, in milliseconds.
    Delayed(u64),
}

/// When a fault comes about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// What goes wrong.
    pub fault: Fault,
    /// Chance for each request, out of 1,000,000.
    pub ppm: u32,
    /// Requests that still meet with the fault.
    pub remaining: u64,
    /// Running requests from which on the fault comes about.
    pub min_running: u32,
}

impl FaultRule {
    /// A fault of the next `count` requests.
    pub fn for_next(fault: Fault, count: u64) -> Self {
        Self {
            fault,
            ppm: WHOLE_PPM,
            remaining: count,
            min_running: 0,
        }
    }

    /// A fault of requests at random, `ppm` out of 1,000,000.
    pub fn random(fault: Fault, ppm: u32) -> Self {
        Self {
            fault,
            ppm,
            remaining: u64::MAX,
            min_running: 0,
        }
    }

    /// The same fault, but only while at least `running` requests run.
    pub fn under_load(self, running: u32) -> Self {
        Self {
            min_running: running,
            ..self
        }
    }
}

/// The faults in force.
pub(super) struct Faults {
    rules: Vec<FaultRule>,
    pub(super) slowdown_pct: u64,
    rng: StdRng,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rules: Vec::new(),
            slowdown_pct: 100,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn add(&mut self, rule: FaultRule) {
        self.rules.push(rule);
    }

    pub(super) fn clear(&mut self) {
        self.rules.clear();
        self.slowdown_pct = 100;
    }

    /// The fault of a request that comes in while `running` requests run.
    pub(super) fn choose(&mut self, running: u32) -> Option<Fault> {
        for rule in &mut self.rules {
            let applies = rule.remaining > 0 && running >= rule.min_running;
            if applies && self.rng.random_range(0..WHOLE_PPM) < rule.ppm {
                rule.remaining = rule.remaining.saturating_sub(1);
                return Some(rule.fault);
            }
        }
        None
    }
}
