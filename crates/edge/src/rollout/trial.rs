//! State machine of one trial.

use super::Evidence;
use carobwheel_core::time::Millis;
use std::sync::Arc;

/// Fraction of the allowed share that the new version gets while evidence is collected.
const FIRST_PHASE_SHARE: f64 = 0.6;
/// Fraction of the trial's duration after which all traffic is shifted.
const SHIFT_AFTER_FRACTION: f64 = 0.5;
/// Fraction of the trial's duration after which all traffic is shifted even with little evidence.
const LATEST_SHIFT_FRACTION: f64 = 0.7;
/// Ended requests of the new version that are needed for the earlier shift.
const MIN_ENDED_REQUESTS: u32 = 12;
/// Responses of the new version whose times are compared before the shift.
const MIN_TIMED_RESPONSES: u32 = 8;
/// The same for the shift with little evidence. A slow version has few responses by then.
const MIN_TIMED_RESPONSES_LATE: u32 = 4;
/// Time from the shift to the verdict, in milliseconds.
const SHIFT_TO_VERDICT_MS: u64 = 1_200;

/// Time after which a verdict that is not recorded yet is written again, in milliseconds.
const VERDICT_RETRY_MS: u64 = 2_500;
/// Time after which the state `active` is written again, in milliseconds.
const ACTIVE_RETRY_MS: u64 = 600_000;

/// An operator's order to roll out a version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: Arc<str>,
    /// Version to roll out.
    pub target: Arc<str>,
    /// Time allowed for the rollout, in milliseconds.
    pub duration_ms: u64,
}

/// State of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The trial is in progress.
    Active,
    /// The new version has taken over all traffic.
    Complete,
    /// The traffic stays with the old version.
    Reverted,
}

/// Bounds on the traffic of a version on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialBounds {
    /// Maximum share of the service's requests.
    pub share: f64,
}

/// State of one trial on one instance.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Order that started the trial.
    pub order: RolloutOrder,
    /// Latest known verdict.
    pub verdict: Verdict,
    /// Evidence of all instances.
    pub evidence: Evidence,
    started_at: Millis,
    is_suspect: bool,
    shifted_at: Option<Millis>,
    wanted: Option<(Verdict, Millis)>,
    /// Whether the store may have lost the final verdict.
    is_verdict_lost: bool,
    /// Whether this instance joined when the trial may have been running.
    is_joined: bool,
}

impl Trial {
    /// Creates a trial that starts now.
    pub fn new(order: RolloutOrder, now: Millis) -> Self {
        Self {
            order,
            verdict: Verdict::Active,
            evidence: Evidence::default(),
            started_at: now,
            is_suspect: false,
            shifted_at: None,
            wanted: None,
            is_verdict_lost: false,
            is_joined: false,
        }
    }

    /// Creates a trial that may have been running before this instance started. The time that is left
    /// of it and its earlier evidence are not known, so this instance never completes it.
    pub fn joined(order: RolloutOrder, now: Millis) -> Self {
        Self {
            is_joined: true,
            ..Self::new(order, now)
        }
    }

    /// Records that the store was restored and may have lost the verdict.
    pub fn record_again(&mut self) {
        self.is_verdict_lost = self.verdict != Verdict::Active;
        self.wanted = None;
    }

    /// Records that the store holds the verdict.
    pub fn verdict_recorded(&mut self) {
        self.is_verdict_lost = false;
    }

    /// Final verdict that the store may have lost.
    pub fn lost_verdict(&self) -> Option<Verdict> {
        self.is_verdict_lost.then_some(self.verdict)
    }

    /// Whether the evidence was against the new version at any time.
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Records that this or another instance has found the new version faulty.
    pub fn mark_suspect(&mut self) {
        self.is_suspect = true;
    }

    /// Evaluates the evidence and starts the shift of all traffic when it is due.
    pub fn advance(&mut self, now: Millis) {
        if self.verdict != Verdict::Active {
            return;
        }
        self.is_suspect |= self.evidence.is_against_new();
        let elapsed_ms = now.since(self.started_at);
        let is_due =
            |fraction: f64| to_f64(elapsed_ms) >= fraction * to_f64(self.order.duration_ms);
        let has_evidence = self.evidence.new_ended() >= MIN_ENDED_REQUESTS
            && self.evidence.has_timings_for_new(MIN_TIMED_RESPONSES);
        if self.is_joined {
            return;
        }
        let has_little_evidence = self.evidence.has_timings_for_new(MIN_TIMED_RESPONSES_LATE);
        if (is_due(SHIFT_AFTER_FRACTION) && has_evidence)
            || (is_due(LATEST_SHIFT_FRACTION) && has_little_evidence)
        {
            self.shifted_at.get_or_insert(now);
        }
    }

    /// Share of the requests that are sent to the new version.
    pub fn share(&self, bounds: TrialBounds) -> f64 {
        match self.verdict {
            Verdict::Complete => 1.0,
            Verdict::Reverted => 0.0,
            Verdict::Active if self.is_suspect => 0.0,
            Verdict::Active if self.shifted_at.is_some() => 1.0,
            Verdict::Active => bounds.share * FIRST_PHASE_SHARE,
        }
    }

    /// Whether this instance should record `verdict` now: first after a delay of `delay_ms`
    /// milliseconds, which differs between instances, and again while no instance has recorded it.
    pub fn try_record(&mut self, verdict: Verdict, delay_ms: u64, now: Millis) -> bool {
        match self.wanted {
            Some((wanted, at)) if wanted == verdict => {
                let is_due = now >= at;
                if is_due {
                    let retry_ms = if verdict == Verdict::Active {
                        ACTIVE_RETRY_MS
                    } else {
                        VERDICT_RETRY_MS
                    };
                    self.wanted = Some((verdict, now.plus(retry_ms)));
                }
                is_due
            }
            _ => {
                self.wanted = Some((verdict, now.plus(delay_ms)));
                false
            }
        }
    }

    /// Verdict that should be recorded now, if any.
    pub fn due_verdict(&self, now: Millis) -> Option<Verdict> {
        if self.verdict != Verdict::Active {
            return None;
        }
        // All instances may have joined late: then nobody completes the trial before its end.
        let is_over = now.since(self.started_at) >= self.order.duration_ms;
        if self.is_suspect || (self.is_joined && is_over) {
            return Some(Verdict::Reverted);
        }
        let is_shift_over = self
            .shifted_at
            .is_some_and(|at| now.since(at) >= SHIFT_TO_VERDICT_MS);
        is_shift_over.then_some(Verdict::Complete)
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
