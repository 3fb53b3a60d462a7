//! Judgement on a new version by the evidence of all routes together.
//!
//! Failures are compared with those of the old version on the same routes, by the logarithm of the odds
//! of a fault against none. Evidence that is missing moves no score: it speaks neither against the new
//! version nor for it.

use super::{evidence::is_slowdown, RouteEvidence, VersionCounts};
use std::collections::HashMap;

/// Additional share of failures of the smallest fault that is looked for.
const SMALL_FAULT_SHARE: f64 = 0.125;
/// The same of a large one, which shows in fewer requests.
const LARGE_FAULT_SHARE: f64 = 0.3;
const FAULT_SHARES: [f64; 2] = [SMALL_FAULT_SHARE, LARGE_FAULT_SHARE];
/// Factor on the expected failures that a fault has at least. Smaller ones do not stand out from the
/// failures of the service itself in the time of a trial.
const MIN_FAULT_FACTOR: f64 = 4.0;
/// Bounds on the shares of failures that are compared.
const MIN_EXPECTED_SHARE: f64 = 0.01;
const MAX_EXPECTED_SHARE: f64 = 0.95;
const MAX_FAULTY_SHARE: f64 = 0.98;
/// Requests to the old version, and failures, that are assumed in addition to those that were seen.
const PRIOR_REQUESTS: f64 = 10.0;
const PRIOR_FAILURES: f64 = 0.5;
/// Requests of a route that are assumed to have failed as often as those of all routes.
const ROUTE_PRIOR_REQUESTS: f64 = 8.0;
/// Score at which a fault is found, on one of several routes more by the logarithm of their number, and
/// the failures that it takes at least: a single event may fail a few requests of a sound version.
const FOUND_SCORE: f64 = 6.0;
const MIN_FOUND_FAILURES: u32 = 4;
/// Ended requests of the new version without which it is not proven.
const MIN_PROOF_REQUESTS: u32 = 12;

/// Responses of the old version on a route that make its mean time a good reference.
const MIN_REFERENCE_RESPONSES: u32 = 8;
/// Responses of the new version from which it is found to be slow, compared with good references and
/// with any.
const MIN_SLOW_RESPONSES: u32 = 8;
const MIN_SLOW_RESPONSES_ANY: u32 = 16;

/// Evidence that a new version needs before it gets all traffic.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProofBar {
    /// Score of a small fault that must not be exceeded.
    max_score: f64,
    /// Ended requests of the new version.
    requests: u32,
    /// Responses whose times are compared.
    timed_responses: u32,
}

/// Rules out a small fault, with an error of some 2 in 100.
pub(super) const FULL_PROOF: ProofBar = ProofBar {
    max_score: -4.0,
    requests: MIN_PROOF_REQUESTS,
    timed_responses: 8,
};
/// Rules out a large fault, for services with few requests. A slow version has few responses in time.
pub(super) const LATE_PROOF: ProofBar = ProofBar {
    max_score: 0.5,
    requests: MIN_PROOF_REQUESTS,
    timed_responses: 4,
};
/// The same of what has come since all traffic was shifted: a fault under load shows only then.
pub(super) const SHIFT_PROOF: ProofBar = ProofBar {
    max_score: 0.5,
    requests: 4,
    timed_responses: 4,
};

/// Counts of all routes together.
#[derive(Clone, Copy, Debug)]
pub(super) struct Assessment<'a> {
    by_route: &'a HashMap<u32, RouteEvidence>,
    old: VersionCounts,
    new: VersionCounts,
}

impl<'a> Assessment<'a> {
    pub(super) fn new(by_route: &'a HashMap<u32, RouteEvidence>) -> Self {
        let (mut old, mut new) = (VersionCounts::default(), VersionCounts::default());
        for route in by_route.values() {
            old += route.old;
            new += route.new;
        }
        Self { by_route, old, new }
    }

    /// Ended requests of the new version.
    pub(super) fn new_ended(&self) -> u32 {
        self.new.failed + self.new.answered
    }

    /// Whether the failures or the response times, on a route or of all together, are against the new
    /// version.
    pub(super) fn is_against_new(&self) -> bool {
        self.has_faulty_route()
            || self.is_faulty()
            || self.by_route.values().any(RouteEvidence::is_slower)
            || Comparison::of(self.by_route, MIN_REFERENCE_RESPONSES).is_slower(MIN_SLOW_RESPONSES)
            || Comparison::of(self.by_route, 1).is_slower(MIN_SLOW_RESPONSES_ANY)
    }

    fn is_faulty(&self) -> bool {
        let expected = self.expected().at_most();
        let scores = FAULT_SHARES.map(|share| self.fault_score(share, expected));
        self.new.failed >= MIN_FOUND_FAILURES && scores.iter().any(|score| *score >= FOUND_SCORE)
    }

    fn has_faulty_route(&self) -> bool {
        let expected = self.expected().at_most();
        #[allow(clippy::cast_precision_loss)]
        let found_score = FOUND_SCORE + (self.by_route.len().max(1) as f64).ln();
        let is_faulty = |route: &RouteEvidence| {
            let score = |share: &f64| expected.fault_score(route, *share);
            FAULT_SHARES.iter().any(|share| score(share) >= found_score)
        };
        let mut routes = self.by_route.values();
        routes.any(|route| route.new.failed >= MIN_FOUND_FAILURES && is_faulty(route))
    }

    /// Whether the evidence suffices to give the new version all traffic.
    pub(super) fn is_proven(&self, bar: ProofBar) -> bool {
        self.new_ended() >= bar.requests
            && self.fault_score(SMALL_FAULT_SHARE, self.expected()) <= bar.max_score
            && self.has_timings_for_new(bar.timed_responses)
    }

    /// Score of a fault that makes this share of requests fail in addition: above 0 if the evidence
    /// speaks for it, below 0 if it speaks against it.
    fn fault_score(&self, fault_share: f64, expected: ExpectedFailures) -> f64 {
        let routes = self.by_route.values();
        routes
            .map(|route| expected.fault_score(route, fault_share))
            .sum()
    }

    /// Failures that are expected without a fault.
    fn expected(&self) -> ExpectedFailures {
        let requests = f64::from(self.old.failed + self.old.answered) + PRIOR_REQUESTS;
        ExpectedFailures {
            share: (f64::from(self.old.failed) + PRIOR_FAILURES) / requests,
            requests,
            factor: 1.0,
        }
    }

    /// Whether the response times of the versions have been compared on enough responses, and the new
    /// version is not slower. An old version that answers nothing has no times to compare with.
    fn has_timings_for_new(&self, min_responses: u32) -> bool {
        if self.old.answered == 0 && self.old.failed >= MIN_PROOF_REQUESTS {
            return true;
        }
        let comparison = Comparison::of(self.by_route, 1);
        comparison.responses >= min_responses && !comparison.is_slower(min_responses)
    }
}

/// Failures that are expected without a fault.
#[derive(Clone, Copy, Debug)]
struct ExpectedFailures {
    /// Share of the requests to the old version that fail, on all routes.
    share: f64,
    /// Number of requests from which it is known.
    requests: f64,
    /// Factor on the share of each route.
    factor: f64,
}

impl ExpectedFailures {
    /// As many as two standard errors more: a fault is not found by the chance that the old version had few
    /// failures so far.
    fn at_most(self) -> Self {
        let error = (self.share * (1.0 - self.share) / self.requests).sqrt();
        Self {
            factor: 1.0 + 2.0 * error / self.share,
            ..self
        }
    }

    /// Score of a fault on one route.
    fn fault_score(self, route: &RouteEvidence, fault_share: f64) -> f64 {
        let failed = f64::from(route.old.failed) + ROUTE_PRIOR_REQUESTS * self.share;
        let ended = f64::from(route.old.failed + route.old.answered) + ROUTE_PRIOR_REQUESTS;
        let expected = failed / ended * self.factor;
        let expected = expected.clamp(MIN_EXPECTED_SHARE, MAX_EXPECTED_SHARE);
        let faulty = expected + fault_share * (1.0 - expected);
        let faulty = faulty
            .max(expected * MIN_FAULT_FACTOR)
            .min(MAX_FAULTY_SHARE);
        f64::from(route.new.failed) * (faulty / expected).ln()
            + f64::from(route.new.answered) * ((1.0 - faulty) / (1.0 - expected)).ln()
    }
}

/// Response times of the new version against those of the old one on the same routes.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    /// Responses of the new version.
    responses: u32,
    /// Sum of their times, in milliseconds.
    new_ms: f64,
    /// Sum of the times that the old version would have needed, in milliseconds.
    expected_ms: f64,
}

impl Comparison {
    /// Compares on the routes on which the old version has this number of responses.
    fn of(by_route: &HashMap<u32, RouteEvidence>, min_old_responses: u32) -> Self {
        let mut comparison = Self::default();
        let comparable = by_route
            .values()
            .filter(|route| route.old.answered >= min_old_responses);
        for route in comparable {
            comparison.responses += route.new.answered;
            comparison.new_ms += f64::from(route.new.time_sum_ms);
            comparison.expected_ms += f64::from(route.new.answered) * route.old.mean_ms();
        }
        comparison
    }

    fn is_slower(self, min_responses: u32) -> bool {
        let responses = f64::from(self.responses.max(1));
        self.responses >= min_responses
            && is_slowdown(self.expected_ms / responses, self.new_ms / responses)
    }
}
