//! Injected faults of an engine.

use super::crash::PromptCrash;
use rand::{rngs::StdRng, Rng, SeedableRng};

/// Denominator of probabilities in parts per million.
const PPM_DENOMINATOR: u32 = 1_000_000;

/// Fault injected into the handling of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The request is answered with this status and not run.
    Status(u16),
    /// The connection closes before the first byte of the answer.
    CloseBeforeFirstByte,
    /// The connection closes after this many bytes of the body.
    CloseAfterBytes(usize),
    /// The end of the answer is missing. A non-streamed answer stops short of its announced length;
    /// a stream ends cleanly but without its last token and its final events.
    Truncated,
    /// The request starts after an additional delay, in milliseconds.
    Delayed(u64),
}

/// Rule that decides which requests a fault applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultRule {
    /// Fault to inject.
    pub fault: Fault,
    /// Probability for each request, in parts per 1,000,000.
    pub ppm: u32,
    /// Maximum number of further requests that get the fault.
    pub remaining: u64,
    /// Minimum number of running requests for the fault to apply.
    pub min_running: u32,
}

impl FaultRule {
    /// Creates a rule for the next `count` requests.
    pub fn for_next(fault: Fault, count: u64) -> Self {
        Self {
            fault,
            ppm: PPM_DENOMINATOR,
            remaining: count,
            min_running: 0,
        }
    }

    /// Creates a rule for random requests, with a probability of `ppm` parts per 1,000,000.
    pub fn random(fault: Fault, ppm: u32) -> Self {
        Self {
            fault,
            ppm,
            remaining: u64::MAX,
            min_running: 0,
        }
    }

    /// Restricts the rule to times when at least `running` requests run.
    pub fn under_load(self, running: u32) -> Self {
        Self {
            min_running: running,
            ..self
        }
    }
}

/// Active fault rules and slowdown of an engine.
pub(super) struct Faults {
    rules: Vec<FaultRule>,
    pub(super) slowdown_pct: u64,
    pub(super) prompt_crash: Option<PromptCrash>,
    /// Limit that answers state, in requests a second.
    pub(super) rate_limit_per_s: Option<f64>,
    /// Whether answers state that the engine is leaving.
    pub(super) is_leaving: bool,
    rng: StdRng,
}

impl Faults {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rules: Vec::new(),
            slowdown_pct: 100,
            prompt_crash: None,
            rate_limit_per_s: None,
            is_leaving: false,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub(super) fn add(&mut self, rule: FaultRule) {
        self.rules.push(rule);
    }

    pub(super) fn clear(&mut self) {
        self.rules.clear();
        self.prompt_crash = None;
        self.slowdown_pct = 100;
    }

    /// Chooses the fault of a request that arrives while `running` requests run.
    pub(super) fn choose(&mut self, running: u32) -> Option<Fault> {
        for rule in &mut self.rules {
            let applies = rule.remaining > 0 && running >= rule.min_running;
            if applies && self.rng.random_range(0..PPM_DENOMINATOR) < rule.ppm {
                rule.remaining = rule.remaining.saturating_sub(1);
                return Some(rule.fault);
            }
        }
        None
    }
}
