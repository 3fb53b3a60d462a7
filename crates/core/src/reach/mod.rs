//! Decision whether this instance reaches any upstream of a service.
//!
//! An instance may lose its network path to all upstreams of a service while callers and other
//! instances still reach it. Contacts that fail raise a suspicion, on which a few upstreams are
//! probed; anything that is heard from any of them refutes it. An instance cannot tell a lost path
//! from upstreams that are all down, and need not: in both cases it cannot use them.
//!
//! An accepted connection counts neither way, since a full accept queue or a proxy accepts
//! connections that nothing answers.

use crate::time::Millis;
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

/// Number of distinct upstreams whose contacts have to fail, unless there are fewer. Of 10
/// upstreams 4 may crash in the same moment.
const MIN_FAILED_UPSTREAMS: usize = 6;
/// One more has to fail for each of this many upstreams, since the chance of contacting only crashed
/// ones grows with the number of contacts.
const UPSTREAMS_PER_FAILED: usize = 25;
/// Largest number that has to fail.
const MAX_FAILED_UPSTREAMS: usize = 16;
/// Number of failed contacts that are required, whatever the number of upstreams.
const MIN_FAILURES: u32 = 3;
/// Shortest time without any sign of the upstreams before a service counts as cut off because
/// connections fail, in milliseconds.
const MIN_FAILING_MS: u64 = 200;
/// The same if connections are accepted or kept, but nothing answers, in milliseconds. Longer than
/// the pauses of sound upstreams, since health checks wait behind requests in a busy one.
const MIN_SILENT_MS: u64 = 2_000;
/// Bounds of the silence after which upstreams are probed, in milliseconds.
const MIN_PATIENCE_MS: u64 = 300;
const MAX_PATIENCE_MS: u64 = 700;
/// Upper bound of the same after probes have refuted a suspicion, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_800;
/// Interval of probe rounds, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 250;
/// Rounds in which probes cover the required number of upstreams.
const SUSPECT_ROUNDS: usize = 2;
/// Least number of probes in such a round.
const MIN_SUSPECT_PROBES: usize = 3;
/// Probes in a round while it is cut off.
const CUT_OFF_PROBES: usize = 2;

/// Way in which a contact with an upstream has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactFailure {
    /// No connection could be opened, or it broke before an answer.
    NoConnection,
    /// There was no answer within the expected time.
    Silence,
}

/// Source of a sign that an upstream is in reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// Head or body of the response to a request.
    Response,
    /// Response to a probe.
    Probe,
}

/// Change of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No upstream of the service is in reach.
    Lost {
        /// Distinct upstreams whose contacts have failed.
        contacted: usize,
        /// Time without any sign of an upstream, in milliseconds.
        silent_ms: u64,
        /// Probes since the first failure.
        probes: u32,
    },
    /// An upstream has been heard again.
    Restored {
        /// Time for which none was in reach, in milliseconds.
        lost_ms: u64,
        /// Probes in this time.
        probes: u32,
    },
}

/// Contacts of this instance with the upstreams of one service in one region.
#[derive(Clone, Debug)]
pub struct ServiceReach {
    /// Last sign of any upstream.
    heard_at: Option<Millis>,
    /// Start of the first contact that nothing was heard after.
    waiting_since: Option<Millis>,
    /// Silence after which upstreams are probed, in milliseconds.
    patience_ms: u64,
    /// Failed connections by upstream since the last sign.
    unconnected: BTreeMap<Arc<str>, u32>,
    /// Upstreams that have not answered since the last sign.
    silent: BTreeSet<Arc<str>>,
    /// Probes in progress.
    probing: BTreeSet<Arc<str>>,
    /// Start of the last round of probes.
    probed_at: Option<Millis>,
    /// Upstream that the last round ended with.
    last_probed: Option<Arc<str>>,
    /// Probes since the last sign or change.
    probes: u32,
    /// Time since which no upstream is in reach.
    lost_at: Option<Millis>,
}

impl Default for ServiceReach {
    fn default() -> Self {
        Self {
            heard_at: None,
            waiting_since: None,
            patience_ms: MIN_PATIENCE_MS,
            unconnected: BTreeMap::new(),
            silent: BTreeSet::new(),
            probing: BTreeSet::new(),
            probed_at: None,
            last_probed: None,
            probes: 0,
            lost_at: None,
        }
    }
}

impl ServiceReach {
    /// Whether no upstream is in reach.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Records that a request is sent whose response is expected after `expected_ms` milliseconds.
    pub fn record_sent(&mut self, expected_ms: u64, now: Millis) {
        let patience_ms = expected_ms.saturating_mul(3) / 2;
        let patience_ms = patience_ms.clamp(MIN_PATIENCE_MS, MAX_PATIENCE_MS);
        if self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
        self.patience_ms = self.patience_ms.max(patience_ms);
    }

    /// Records that something was heard from an upstream. Ends the loss at once.
    pub fn record_heard(&mut self, sign: Sign, now: Millis) -> Option<ReachChange> {
        self.heard_at = Some(now);
        self.waiting_since = None;
        self.unconnected.clear();
        self.silent.clear();
        self.patience_ms = match sign {
            Sign::Response => MIN_PATIENCE_MS,
            Sign::Probe => (self.patience_ms * 2).min(MAX_BACKOFF_MS),
        };
        let probes = std::mem::take(&mut self.probes);
        let lost_at = self.lost_at.take()?;
        self.patience_ms = MIN_PATIENCE_MS;
        Some(ReachChange::Restored {
            lost_ms: now.since(lost_at),
            probes,
        })
    }

    /// Records that a contact which began at `begun_at` has failed. Contacts from before the last
    /// sign say nothing about the time after it.
    pub fn record_failed(
        &mut self,
        upstream: &Arc<str>,
        failure: ContactFailure,
        begun_at: Millis,
        now: Millis,
    ) {
        if self.heard_at.is_some_and(|at| begun_at < at) {
            return;
        }
        if self.waiting_since.is_none() {
            self.waiting_since = Some(begun_at.min(now));
        }
        match failure {
            ContactFailure::NoConnection => {
                *self.unconnected.entry(Arc::clone(upstream)).or_default() += 1;
            }
            ContactFailure::Silence => {
                self.silent.insert(Arc::clone(upstream));
            }
        }
    }

    /// Records the end of a probe, whatever its result.
    pub fn record_probe_end(&mut self, upstream: &str) {
        self.probing.remove(upstream);
    }

    /// Decides whether any of the service's `upstreams` is in reach, and returns a change.
    pub fn decide(&mut self, upstreams: usize, now: Millis) -> Option<ReachChange> {
        if self.lost_at.is_some() || upstreams == 0 {
            return None;
        }
        let silent_ms = now.since(self.waiting_since?);
        let required = required_failed(upstreams);
        let failures: u32 = self.unconnected.values().sum();
        let is_failing = self.unconnected.len() >= required
            && failures >= MIN_FAILURES
            && silent_ms >= MIN_FAILING_MS;
        let unanswered = self.silent.iter().chain(self.unconnected.keys());
        let contacted = unanswered.collect::<BTreeSet<_>>().len();
        let is_silent = contacted >= required && silent_ms >= MIN_SILENT_MS;
        if !is_failing && !is_silent {
            return None;
        }
        self.lost_at = Some(now);
        Some(ReachChange::Lost {
            contacted,
            silent_ms,
            probes: std::mem::take(&mut self.probes),
        })
    }

    /// Whether the service is or may be cut off. `is_waiting` tells whether requests are in progress
    /// at any upstream.
    pub fn update_suspicion(&mut self, is_waiting: bool, now: Millis) -> bool {
        if is_waiting && self.waiting_since.is_none() {
            self.waiting_since = Some(self.heard_at.unwrap_or(now));
        }
        self.is_suspect(is_waiting, now)
    }

    /// Upstreams to probe now, of those that a probe may go to. `is_waiting` tells whether requests
    /// are in progress at any upstream.
    pub fn due_probes(
        &mut self,
        upstreams: &[Arc<str>],
        is_waiting: bool,
        now: Millis,
    ) -> Vec<Arc<str>> {
        let is_suspect = self.update_suspicion(is_waiting, now);
        let is_due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= ROUND_INTERVAL_MS);
        if !is_due || !is_suspect {
            return Vec::new();
        }
        let max = if self.is_lost() {
            CUT_OFF_PROBES
        } else {
            let half = required_failed(upstreams.len()).div_ceil(SUSPECT_ROUNDS);
            half.max(MIN_SUSPECT_PROBES)
        };
        let due = self.next_upstreams(upstreams, max);
        if let Some(last) = due.last() {
            self.probed_at = Some(now);
            self.last_probed = Some(Arc::clone(last));
            self.probes = self
                .probes
                .saturating_add(u32::try_from(due.len()).unwrap_or(u32::MAX));
            self.probing.extend(due.iter().cloned());
        }
        due
    }

    fn is_suspect(&self, is_waiting: bool, now: Millis) -> bool {
        let is_overdue = self
            .waiting_since
            .is_some_and(|at| now.since(at) >= self.patience_ms);
        self.is_lost()
            || !self.unconnected.is_empty()
            || ((is_waiting || !self.silent.is_empty()) && is_overdue)
    }

    /// Next upstreams in turn, without those whose probe is in progress. Those that have not failed
    /// come first, since one answer is enough.
    fn next_upstreams(&self, upstreams: &[Arc<str>], max: usize) -> Vec<Arc<str>> {
        let last = self.last_probed.as_ref();
        let last = last.and_then(|last| upstreams.iter().position(|id| id == last));
        let first = last.map_or(0, |last| last + 1);
        let in_turn = upstreams.iter().cycle().skip(first).take(upstreams.len());
        let idle = in_turn.filter(|id| !self.probing.contains(*id));
        let has_failed =
            |id: &&Arc<str>| self.unconnected.contains_key(*id) || self.silent.contains(*id);
        let (failed, untried): (Vec<_>, Vec<_>) = idle.partition(has_failed);
        let due = untried.into_iter().chain(failed);
        due.take(max).cloned().collect()
    }
}

/// Number of distinct upstreams whose contacts have to fail before a service counts as cut off.
fn required_failed(upstreams: usize) -> usize {
    let required = MIN_FAILED_UPSTREAMS + upstreams / UPSTREAMS_PER_FAILED;
    required.min(MAX_FAILED_UPSTREAMS).min(upstreams)
}
