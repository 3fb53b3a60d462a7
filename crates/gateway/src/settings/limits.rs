//! Limits for callers that are not under the operators' control.

use serde::{Deserialize, Serialize};

/// Limits for callers that send or read slowly, or open many connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Time from the first byte of a request's head to its end, in milliseconds (100 to 600,000).
    pub head_timeout_ms: u64,
    /// Time for which a connection may be open without a request, in milliseconds (1,000 to
    /// 3,600,000).
    pub idle_timeout_ms: u64,
    /// Period in which a body or an answer has to make progress at the minimum rate, in milliseconds
    /// (500 to 600,000).
    pub progress_window_ms: u64,
    /// Minimum rate of a body that is received or an answer that waits for its reader, in bytes a
    /// second (1 to 1,000,000).
    pub min_bytes_per_s: u64,
    /// Maximum number of connections of callers (4 to 1,000,000); absent for one that follows from
    /// the limit of file descriptors.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_connections: Option<usize>,
    /// Maximum number of connections from one address (1 to 1,000,000); absent for three quarters
    /// of `max_connections`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_connections_per_address: Option<usize>,
    /// Maximum share of the memory for callers that one account may use, in percent (1 to 100).
    pub account_memory_pct: u8,
    /// Maximum share of the memory for callers that one address may use, in percent (1 to 100).
    pub address_memory_pct: u8,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            // The platform gives a head 3 s; a connection with packet loss takes longer.
            head_timeout_ms: 10_000,
            // Callers keep idle connections for up to 12 s.
            idle_timeout_ms: 60_000,
            progress_window_ms: 10_000,
            // A body of 4 MiB at this rate would take longer than any route's timeout.
            min_bytes_per_s: 500,
            max_connections: None,
            max_connections_per_address: None,
            account_memory_pct: 75,
            // All callers of an instance may share one address.
            address_memory_pct: 90,
        }
    }
}
