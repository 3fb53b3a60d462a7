//! Passive health checks: ejection of failing upstreams, and probes that end an ejection.

use carobwheel_core::time::Millis;

/// Consecutive failures that eject an upstream.
const EJECT_FAILURES: u32 = 3;
/// Moving average of the share of failures that ejects an upstream.
const EJECT_ERROR_SHARE: f64 = 0.45;
/// Weight of one outcome in the moving average of the share of failures.
const ERROR_SHARE_WEIGHT: f64 = 0.12;
/// Outcomes that are needed before the share of failures is considered.
const MIN_OUTCOMES: u32 = 8;
/// Duration of the first ejection, in milliseconds; it doubles with each further one.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Upper bound on the duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 6_000;
/// Weight of one response in the moving average of the time to the first byte.
const FIRST_BYTE_WEIGHT: f64 = 0.15;

/// Outcome of a request at an upstream, as evidence of the upstream's health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream responded; a stream counts as answered at its first event.
    Answered {
        /// Milliseconds from sending to the first byte of the response body.
        ms: f64,
    },
    /// The upstream responded with an error of its own, or closed the connection early.
    Failed,
    /// The connection could not be opened, or was reset before a response.
    Unreachable,
    /// The upstream refused the request because it is at capacity.
    Refused,
}

/// Health of one upstream as observed by this instance.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    outcomes: u32,
    error_share: f64,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Moving average of the time to the first byte, in milliseconds.
    first_byte_ms: Option<f64>,
    /// Time until which a probe request after an ejection is expected to be in flight.
    probing_until: Option<Millis>,
    /// Whether it was ejected since no connection could be opened, and was not heard since.
    is_unreachable: bool,
}

impl Health {
    /// Records an outcome. Returns true if it ejects the upstream.
    pub fn record_outcome(&mut self, outcome: Outcome, now: Millis) -> bool {
        self.probing_until = None;
        match outcome {
            Outcome::Answered { ms } => {
                self.consecutive_failures = 0;
                self.ejections = 0;
                self.ejected_until = None;
                self.is_unreachable = false;
                self.update_error_share(0.0);
                let first_byte_ms = self.first_byte_ms.unwrap_or(ms);
                self.first_byte_ms = Some(first_byte_ms + FIRST_BYTE_WEIGHT * (ms - first_byte_ms));
                false
            }
            Outcome::Refused => {
                self.is_unreachable = false;
                false
            }
            Outcome::Failed => {
                self.consecutive_failures += 1;
                self.update_error_share(1.0);
                self.eject_if_failing(EJECT_FAILURES, now)
            }
            Outcome::Unreachable => {
                self.consecutive_failures += 1;
                self.update_error_share(1.0);
                self.is_unreachable = true;
                self.eject_if_failing(1, now)
            }
        }
    }

    /// Whether requests may be sent to the upstream. After an ejection it gets one probe request at
    /// a time.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.ejected_until.is_none_or(|until| now >= until)
            && self.probing_until.is_none_or(|until| now >= until)
    }

    /// Whether it was ejected since no connection could be opened, rather than for its errors.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Ends an ejection for want of a connection, once the path to the upstreams is back.
    pub fn end_unreachable(&mut self) {
        if std::mem::take(&mut self.is_unreachable) {
            self.consecutive_failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
            self.probing_until = None;
        }
    }

    /// Whether the next request is a probe after an ejection.
    pub fn is_probing(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is sent. A probe without an outcome blocks other requests for
    /// `expected_ms` milliseconds.
    pub fn record_sent(&mut self, expected_ms: u64, now: Millis) {
        if self.is_probing() {
            self.probing_until = Some(now.plus(expected_ms));
        }
    }

    /// Moving average of the time to the first byte, in milliseconds, if any is known.
    pub fn first_byte_ms(&self) -> Option<f64> {
        self.first_byte_ms
    }

    /// Moving average of the share of failures.
    pub fn error_share(&self) -> f64 {
        self.error_share
    }

    fn update_error_share(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.error_share += ERROR_SHARE_WEIGHT * (failure - self.error_share);
    }

    fn eject_if_failing(&mut self, failures: u32, now: Millis) -> bool {
        let is_share_exceeded =
            self.outcomes >= MIN_OUTCOMES && self.error_share >= EJECT_ERROR_SHARE;
        if self.consecutive_failures < failures && !is_share_exceeded {
            return false;
        }
        let ejection_ms = FIRST_EJECTION_MS << self.ejections.min(8);
        self.ejections += 1;
        self.ejected_until = Some(now.plus(ejection_ms.min(MAX_EJECTION_MS)));
        // Lets the next probe decide, rather than the average from before the ejection.
        self.error_share = self.error_share.min(EJECT_ERROR_SHARE / 2.0);
        true
    }
}
