//! The steps of one trial.

use super::Evidence;
use carobwheel_core::time::Millis;
use std::sync::Arc;

/// Part of the allowed share that the new version gets while evidence is gathered.
const FIRST_SHARE: f64 = 0.6;
/// Part of the trial's time after which everything moves over.
const MOVE_AT: f64 = 0.5;
/// Part of the trial's time after which everything moves over with little evidence too.
const LATEST_MOVE_AT: f64 = 0.7;
/// Answers of the new version that are needed for an early move.
const MIN_ENDED: u32 = 12;
/// Time from the move to the verdict, in milliseconds.
const MOVE_MS: u64 = 1_200;

/// Time after which a verdict that does not stand yet is recorded again, in milliseconds.
const AGAIN_MS: u64 = 2_500;
/// Time after which the state `active` is recorded again, in milliseconds.
const NEVER_MS: u64 = 600_000;

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service.
    pub service: Arc<str>,
    /// Version that it moves to.
    pub target: Arc<str>,
    /// Time that the move may take, in milliseconds.
    pub duration_ms: u64,
}

/// State of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Under way.
    Active,
    /// The new version has the traffic.
    Complete,
    /// The old version keeps the traffic.
    Reverted,
}

/// Bounds on what a version on trial may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialBounds {
    /// Share of the service's requests.
    pub share: f64,
}

/// One trial as one instance sees it.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The order.
    pub order: RolloutOrder,
    /// The verdict that is known.
    pub verdict: Verdict,
    /// Evidence so far.
    pub evidence: Evidence,
    started_at: Millis,
    is_suspect: bool,
    moved_at: Option<Millis>,
    wanted: Option<(Verdict, Millis)>,
}

impl Trial {
    /// A trial that starts now.
    pub fn new(order: RolloutOrder, now: Millis) -> Self {
        Self {
            order,
            verdict: Verdict::Active,
            evidence: Evidence::default(),
            started_at: now,
            is_suspect: false,
            moved_at: None,
            wanted: None,
        }
    }

    /// Whether the evidence speaks against the new version; it stays so.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Takes note that this or another instance has found the new version bad.
    pub fn mark_suspect(&mut self) {
        self.is_suspect = true;
    }

    /// Looks at the evidence and moves on.
    pub fn advance(&mut self, now: Millis) {
        if self.verdict != Verdict::Active {
            return;
        }
        self.is_suspect |= self.evidence.is_against_new();
        let passed_ms = now.since(self.started_at);
        let is_due = |part: f64| to_f64(passed_ms) >= part * to_f64(self.order.duration_ms);
        let has_evidence = self.evidence.new_ended() >= MIN_ENDED;
        if (is_due(MOVE_AT) && has_evidence) || is_due(LATEST_MOVE_AT) {
            self.moved_at.get_or_insert(now);
        }
    }

    /// Share of the requests that go to the new version.
    pub fn share(&self, bounds: TrialBounds) -> f64 {
        match self.verdict {
            Verdict::Complete => 1.0,
            Verdict::Reverted => 0.0,
            Verdict::Active if self.is_suspect => 0.0,
            Verdict::Active if self.moved_at.is_some() => 1.0,
            Verdict::Active => bounds.share * FIRST_SHARE,
        }
    }

    /// Whether this instance should record `verdict` now: once its turn has come after
    /// `turn_ms` milliseconds, and again while nobody has.
    pub fn try_record(&mut self, verdict: Verdict, turn_ms: u64, now: Millis) -> bool {
        match self.wanted {
            Some((wanted, at)) if wanted == verdict => {
                let is_due = now >= at;
                if is_due {
                    let again_ms = if verdict == Verdict::Active {
                        NEVER_MS
                    } else {
                        AGAIN_MS
                    };
                    self.wanted = Some((verdict, now.plus(again_ms)));
                }
                is_due
            }
            _ => {
                self.wanted = Some((verdict, now.plus(turn_ms)));
                false
            }
        }
    }

    /// The verdict that should be recorded now, if any.
    pub fn due_verdict(&self, now: Millis) -> Option<Verdict> {
        if self.verdict != Verdict::Active {
            return None;
        }
        if self.is_suspect {
            return Some(Verdict::Reverted);
        }
        let is_moved = self.moved_at.is_some_and(|at| now.since(at) >= MOVE_MS);
        is_moved.then_some(Verdict::Complete)
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
