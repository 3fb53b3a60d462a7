//! Limits on callers.

use super::Machine;
use crate::front::ConnectionLimits;
use serde::Deserialize;

/// Share of the descriptors for callers' connections, as a fraction. Each of them may need a further
/// descriptor for an upstream; the rest is for idle connections to upstreams, links and the store.
const CALLER_SHARE: (usize, usize) = (3, 8);
/// Share of the callers' connections that one address may have.
const ADDRESS_SHARE: (usize, usize) = (7, 8);
/// Share of the descriptors for the connections to each auxiliary endpoint.
const AUX_SHARE: (usize, usize) = (1, 24);
/// Shortest window over which the rate of a body is checked, in milliseconds.
const MIN_BODY_WINDOW_MS: u64 = 1_000;
/// Shortest window over which the rate of an answer is checked, in milliseconds: the longest time for
/// which a caller within the limits takes nothing.
const MIN_ANSWER_WINDOW_MS: u64 = 10_000;

/// Limits on callers. No caller within the documented limits reaches the defaults.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(default)]
pub struct CallerSettings {
    /// Connections of callers; derived from the descriptor limit if it is left out.
    pub max_connections: Option<usize>,
    /// Connections of callers from one address; derived from the above if it is left out.
    pub max_connections_per_address: Option<usize>,
    /// Window over which the rate of a body is checked, in milliseconds.
    pub body_window_ms: u64,
    /// Minimum rate of a body, in bytes a second.
    pub min_body_bytes_per_s: u64,
    /// Window over which the rate is checked at which a caller reads an answer, in milliseconds; at
    /// least the idle timeout of the configuration.
    pub answer_window_ms: u64,
    /// Minimum rate at which a caller reads an answer while there is more for it, in bytes a second.
    pub min_answer_bytes_per_s: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            max_connections: None,
            max_connections_per_address: None,
            body_window_ms: 10_000,
            min_body_bytes_per_s: 200,
            answer_window_ms: 15_000,
            min_answer_bytes_per_s: 200,
        }
    }
}

impl CallerSettings {
    /// Limits on the connections of callers on a machine.
    pub fn connections(&self, machine: &Machine) -> ConnectionLimits {
        let derived = share(machine.max_descriptors, CALLER_SHARE);
        let total = self.max_connections.unwrap_or(derived);
        let of_address = self.max_connections_per_address;
        ConnectionLimits {
            total,
            per_address: of_address.unwrap_or_else(|| share(total, ADDRESS_SHARE)),
        }
    }

    /// Limits on the connections to one auxiliary endpoint on a machine.
    pub fn aux_connections(machine: &Machine) -> ConnectionLimits {
        let total = share(machine.max_descriptors, AUX_SHARE);
        ConnectionLimits {
            total,
            per_address: total,
        }
    }

    /// Faults of the settings, with their names.
    pub(super) fn faults(&self, max_descriptors: Option<usize>) -> Vec<&'static str> {
        let most = max_descriptors.unwrap_or(usize::MAX);
        let fits = |count: Option<usize>| count.is_none_or(|count| (1..=most).contains(&count));
        let checks = [
            (
                fits(self.max_connections),
                "`callers.max_connections` must be from 1 to `max_descriptors`",
            ),
            (
                fits(self.max_connections_per_address),
                "`callers.max_connections_per_address` must be from 1 to `max_descriptors`",
            ),
            (
                self.body_window_ms >= MIN_BODY_WINDOW_MS,
                "`callers.body_window_ms` must be 1000 or more",
            ),
            (
                self.answer_window_ms >= MIN_ANSWER_WINDOW_MS,
                "`callers.answer_window_ms` must be 10000 or more",
            ),
        ];
        let missed = checks.into_iter().filter(|(is_met, _)| !is_met);
        missed.map(|(_, fault)| fault).collect()
    }
}

/// Fraction `part / of` of a number, at least 1.
const fn share(whole: usize, (part, of): (usize, usize)) -> usize {
    let share = whole.saturating_mul(part) / of;
    if share == 0 {
        1
    } else {
        share
    }
}
