//! Times by which a duty is held.

use crate::lease::LeaseTimes;

/// Time by which the lease in the store is longer than [`DutyRules::lease_ms`], in milliseconds. Leaves
/// room for a renewal whose response is lost and another one.
const TTL_MARGIN_MS: u64 = 1_000;
/// Maximum time from the permission to send until the call arrives, if the receiver checks tokens, in
/// milliseconds. Covers one way to another region with some retransmission. A later call is refused once
/// the next holder has acted, since its token is lower.
const FENCED_LATENCY_MS: u64 = 1_000;
/// Time after which another attempt to acquire a free lease is made, in milliseconds.
const RETRY_MS: u64 = 400;

/// Times by which a duty is held, and whether its receiver checks tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyRules {
    /// Time for which an instance does not act in a new term after its last call in an earlier one.
    pub lease_ms: u64,
    /// Longest duration of a call.
    pub call_timeout_ms: u64,
    /// Whether the receiver refuses calls with a lower token than the highest it has seen.
    pub is_fencing_required: bool,
}

impl DutyRules {
    /// Times of the lease.
    pub fn lease_times(&self) -> LeaseTimes {
        let ttl_ms = self.lease_ms + TTL_MARGIN_MS;
        let max_latency_ms = if self.is_fencing_required {
            FENCED_LATENCY_MS
        } else {
            self.call_timeout_ms
        };
        LeaseTimes {
            ttl_ms,
            renewal_interval_ms: ttl_ms / 3,
            // A renewal is due after a third of the time to live; the rest has to be longer than this.
            max_latency_ms: max_latency_ms.min(ttl_ms * 5 / 8),
            retry_ms: RETRY_MS,
        }
    }

    /// Time without a sign of the process after which a term ends. The event
    /// loop of a slow machine may be late by most of a second, which must not end it.
    pub fn max_pause_ms(&self) -> u64 {
        self.lease_ms / 2
    }

    /// Time after the acquisition in which a new holder does not act. If the receiver does not check
    /// tokens, a call of the former holder could otherwise be executed after a newer one.
    pub fn initial_wait_ms(&self) -> u64 {
        if self.is_fencing_required {
            0
        } else {
            self.lease_ms
        }
    }
}
