//! Ejection of upstreams that fail, and their return.

use carobwheel_core::time::Millis;

/// Failures in a row that eject an upstream.
const FAILURES_TO_EJECT: u32 = 3;
/// Share of failures, as a moving average, that ejects an upstream.
const EJECT_ERROR_SHARE: f64 = 0.45;
/// Weight of one outcome in the moving averages.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Outcomes that the share of failures needs before it counts.
const MIN_OUTCOMES: u32 = 8;
/// First time out of use, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest time out of use, in milliseconds.
const LONGEST_EJECTION_MS: u64 = 6_000;
/// Weight of one answer in the moving average of times.
const TIME_WEIGHT: f64 = 0.15;

/// How a request ended at an upstream, as far as it tells of the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Answered, `ms` milliseconds after it was sent (streams: to the first event).
    Answered {
        /// Milliseconds from sending to the first byte of the answer's body.
        ms: f64,
    },
    /// The upstream answered with a failure of its own, or broke off.
    Failed,
    /// No connection could be opened or the connection was reset before an answer.
    Unreachable,
    /// The upstream refused: it is full.
    Refused,
}

/// Health of one upstream as this instance has seen it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_a_row: u32,
    outcomes: u32,
    error_share: f64,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Moving average of the time to the first byte, in milliseconds.
    time_ms: Option<f64>,
    /// A request that probes the upstream after an ejection is under way until then.
    probing_until: Option<Millis>,
}

impl Health {
    /// Takes note of an outcome. Returns true if the upstream is out of use from now on.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Millis) -> bool {
        self.probing_until = None;
        match outcome {
            Outcome::Answered { ms } => {
                self.failures_in_a_row = 0;
                self.ejections = 0;
                self.ejected_until = None;
                self.average(0.0);
                let time_ms = self.time_ms.unwrap_or(ms);
                self.time_ms = Some(time_ms + TIME_WEIGHT * (ms - time_ms));
                false
            }
            Outcome::Refused => false,
            Outcome::Failed => {
                self.failures_in_a_row += 1;
                self.average(1.0);
                self.eject_if_bad(FAILURES_TO_EJECT, now)
            }
            Outcome::Unreachable => {
                self.failures_in_a_row += 1;
                self.average(1.0);
                self.eject_if_bad(1, now)
            }
        }
    }

    /// Whether requests may go to the upstream. After an ejection one request at a time probes it.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
            && self.probing_until.is_none_or(|until| now >= until)
    }

    /// Whether the next request is a probe after an ejection.
    pub fn is_probing(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Takes note that a request is sent. `expected_ms` is the time after which a probe without an
    /// outcome no longer keeps others away.
    pub fn record_sent(&mut self, expected_ms: u64, now: Millis) {
        if self.is_probing() {
            self.probing_until = Some(now.plus(expected_ms));
        }
    }

    /// Moving average of the time to the first byte, in milliseconds, if any is known.
    pub fn first_byte_ms(&self) -> Option<f64> {
        self.time_ms
    }

    /// Moving average of the share of failures.
    pub fn error_share(&self) -> f64 {
        self.error_share
    }

    fn average(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.error_share += OUTCOME_WEIGHT * (failure - self.error_share);
    }

    fn eject_if_bad(&mut self, failures: u32, now: Millis) -> bool {
        let is_bad_share = self.outcomes >= MIN_OUTCOMES && self.error_share >= EJECT_ERROR_SHARE;
        if self.failures_in_a_row < failures && !is_bad_share {
            return false;
        }
        let pause_ms = FIRST_EJECTION_MS << self.ejections.min(8);
        self.ejections += 1;
        self.ejected_until = Some(now.plus(pause_ms.min(LONGEST_EJECTION_MS)));
        // A probe decides after the pause, not the average from before it.
        self.error_share = self.error_share.min(EJECT_ERROR_SHARE / 2.0);
        true
    }
}
