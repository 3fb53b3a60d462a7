//! Request counters of both versions.

use serde::{Deserialize, Serialize};

/// Version of a rollout to which a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Side {
    /// Old version, from which traffic moves away.
    Old,
    /// New version, to which traffic moves.
    New,
}

/// Kind of regression of a version compared with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RegressionKind {
    /// Requests fail more often.
    Failure,
    /// The time to first token is longer.
    SlowFirstToken,
    /// The inter-token latency is longer.
    SlowTokens,
}

/// All kinds of regression.
pub const REGRESSION_KINDS: [RegressionKind; 3] = [
    RegressionKind::Failure,
    RegressionKind::SlowFirstToken,
    RegressionKind::SlowTokens,
];

/// Outcome of one request.
///
/// Only failures attributable to the version count as failed: an answer with a status of 500 or
/// more, a broken or incomplete stream, no answer in time. A refused connection is attributable to
/// the upstream, not to the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Whether the request failed.
    pub failed: bool,
    /// Time from dispatch to the first token, in milliseconds, if a token arrived.
    pub first_token_ms: Option<u64>,
    /// Mean inter-token latency, in milliseconds, if several tokens arrived.
    pub between_tokens_ms: Option<u64>,
}

/// Grow-only counters of one version, on one route, from one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests whose time to first token was compared with the reference.
    pub timed_first: u64,
    /// Requests whose time to first token exceeded the reference.
    pub slow_first: u64,
    /// Requests whose inter-token latency was compared with the reference.
    pub timed_between: u64,
    /// Requests whose inter-token latency exceeded the reference.
    pub slow_between: u64,
}

impl Counts {
    /// Returns the larger value of each counter.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the sum of each counter.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the growth of each counter since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        self.zip(earlier, u64::saturating_sub)
    }

    /// Returns the number of requests evaluated for `kind`.
    pub fn trials(&self, kind: RegressionKind) -> u64 {
        match kind {
            RegressionKind::Failure => self.requests,
            RegressionKind::SlowFirstToken => self.timed_first,
            RegressionKind::SlowTokens => self.timed_between,
        }
    }

    /// Returns the number of bad requests for `kind`.
    pub fn faults(&self, kind: RegressionKind) -> u64 {
        match kind {
            RegressionKind::Failure => self.failures,
            RegressionKind::SlowFirstToken => self.slow_first,
            RegressionKind::SlowTokens => self.slow_between,
        }
    }

    fn zip(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            requests: f(self.requests, other.requests),
            failures: f(self.failures, other.failures),
            timed_first: f(self.timed_first, other.timed_first),
            slow_first: f(self.slow_first, other.slow_first),
            timed_between: f(self.timed_between, other.timed_between),
            slow_between: f(self.slow_between, other.slow_between),
        }
    }
}

/// Counters of both versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Counters of the old version.
    pub old: Counts,
    /// Counters of the new version.
    pub new: Counts,
}

impl VersionCounts {
    /// Returns the larger value of each counter.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            old: self.old.max(&other.old),
            new: self.new.max(&other.new),
        }
    }

    /// Returns the sum of each counter.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            old: self.old.plus(&other.old),
            new: self.new.plus(&other.new),
        }
    }

    /// Returns the growth of each counter since `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }

    /// Returns the counters of `side` for modification.
    pub fn side_mut(&mut self, side: Side) -> &mut Counts {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }
}
