//! State machine of one trial.

use super::{
    assessment::{Assessment, FULL_PROOF, LATE_PROOF, SHIFT_PROOF},
    Evidence, RouteEvidence,
};
use carobwheel_core::time::Millis;
use std::{collections::HashMap, sync::Arc};

/// Fraction of the bounds that the new version gets while evidence is collected.
const FIRST_PHASE_SHARE: f64 = 0.6;
/// Fraction of the requests that are allowed in addition to the share which it gets in this phase.
const FIRST_PHASE_EXTRA: f64 = 0.8;
/// Largest share of an instance's requests in this phase. The old version has to be seen too.
const MAX_FIRST_PHASE_SHARE: f64 = 0.5;
/// Time after which the rate of an instance's requests is known, in milliseconds.
const RATE_KNOWN_AFTER_MS: u64 = 1_000;
/// Fraction of the trial's duration after which all traffic is shifted.
const SHIFT_AFTER_FRACTION: f64 = 0.5;
/// Fraction of the trial's duration after which all traffic is shifted even with little evidence.
const LATEST_SHIFT_FRACTION: f64 = 0.7;
/// Share of the new version at the start of the shift, and the time for which it gets that, in
/// milliseconds. A fault under load shows before it has all traffic.
const RAMP_SHARE: f64 = 0.4;
const RAMP_MS: u64 = 1_200;
/// Time from the shift of all traffic to the verdict, in milliseconds.
const SHIFT_TO_VERDICT_MS: u64 = 1_200;
/// Time without upstreams of other versions after which a trial that was joined is taken for a completed
/// one, in milliseconds.
const OTHERS_GONE_MS: u64 = 3_000;
/// Time that is left for recording the verdict if the shift starts with a ramp, in milliseconds.
const RECORD_MS: u64 = 1_000;

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

/// Whether upstreams of other versions than the one on trial are registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherVersions {
    /// Entries may be missing that will be written again.
    Unknown,
    /// There are some.
    Present,
    /// There are none, but some of the version on trial.
    Gone,
}

/// What a trial depends on besides its evidence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialConditions {
    /// Requests that the new version may get in addition to the share, over the whole fleet.
    pub extra_requests: f64,
    /// Number of instances in the fleet.
    pub instances: usize,
    /// Whether the region has an upstream of the new version that takes requests.
    pub has_upstream: bool,
    /// Whether upstreams of other versions are registered in any region.
    pub others: OtherVersions,
}

/// Start of the shift of all traffic.
#[derive(Clone, Debug)]
struct Shift {
    at: Millis,
    ramp_ms: u64,
    /// Evidence at that time.
    before: HashMap<u32, RouteEvidence>,
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
    /// Share that the new version gets in addition while evidence is collected.
    extra_share: f64,
    shift: Option<Shift>,
    /// Whether it gets all traffic.
    is_fully_shifted: bool,
    others: OtherVersions,
    /// Start of the time without upstreams of other versions.
    others_gone_at: Option<Millis>,
    /// Whether the version is taken for a completed one.
    is_only_version: bool,
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
            extra_share: 0.0,
            shift: None,
            is_fully_shifted: false,
            others: OtherVersions::Present,
            others_gone_at: None,
            is_only_version: false,
            wanted: None,
            is_verdict_lost: false,
            is_joined: false,
        }
    }

    /// Creates a trial that may have been running before this instance started. The time that is left
    /// of it and its earlier evidence are not known, so this instance never completes it by evidence. If
    /// upstreams of other versions are gone, it was completed: they are stopped then, and a restored store
    /// may have lost the verdict.
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
        self.is_suspect |= self.evidence.is_against_new() || self.is_against_new_since_shift();
        if self.is_joined {
            return;
        }
        if let Some(shift) = &self.shift {
            self.is_fully_shifted = now.since(shift.at) >= shift.ramp_ms;
            return;
        }
        let elapsed_ms = now.since(self.started_at);
        let left_ms = self.order.duration_ms.saturating_sub(elapsed_ms);
        if left_ms < SHIFT_TO_VERDICT_MS || !self.is_shift_due(elapsed_ms) {
            return;
        }
        let has_time = left_ms >= RAMP_MS + SHIFT_TO_VERDICT_MS + RECORD_MS;
        let shift = Shift {
            at: now,
            ramp_ms: if has_time { RAMP_MS } else { 0 },
            before: self.evidence.by_route(),
        };
        self.is_fully_shifted = shift.ramp_ms == 0;
        self.shift = Some(shift);
    }

    /// Sets the share of the requests that the new version gets in addition while evidence is collected:
    /// where there are few, the share alone gives too little of it.
    pub fn set_conditions(&mut self, conditions: TrialConditions, now: Millis) {
        self.others = conditions.others;
        if self.others == OtherVersions::Gone {
            let gone_at = *self.others_gone_at.get_or_insert(now);
            self.is_only_version |= self.is_joined && now.since(gone_at) >= OTHERS_GONE_MS;
        } else {
            self.others_gone_at = None;
        }
        let elapsed_ms = now.since(self.started_at);
        if self.is_joined || !conditions.has_upstream || elapsed_ms < RATE_KNOWN_AFTER_MS {
            self.extra_share = 0.0;
            return;
        }
        // What this instance counts itself is known without messages of others.
        let ended = f64::from(self.evidence.own_ended().max(1));
        let expected = ended * to_f64(self.order.duration_ms) / to_f64(elapsed_ms);
        #[allow(clippy::cast_precision_loss)]
        let own_extra = conditions.extra_requests / conditions.instances.max(1) as f64;
        self.extra_share = FIRST_PHASE_EXTRA * own_extra / expected;
    }

    /// Whether the evidence and the time suffice to give the new version all traffic.
    fn is_shift_due(&self, elapsed_ms: u64) -> bool {
        let is_due =
            |fraction: f64| to_f64(elapsed_ms) >= fraction * to_f64(self.order.duration_ms);
        if !is_due(SHIFT_AFTER_FRACTION) {
            return false;
        }
        let by_route = self.evidence.by_route();
        let assessment = Assessment::new(&by_route);
        assessment.is_proven(FULL_PROOF)
            || (is_due(LATEST_SHIFT_FRACTION) && assessment.is_proven(LATE_PROOF))
    }

    /// Whether what has come since the shift is against the new version: beside the evidence from before,
    /// a fault under load would show late.
    fn is_against_new_since_shift(&self) -> bool {
        self.shift
            .as_ref()
            .is_some_and(|shift| Assessment::new(&self.evidence_since(shift)).is_against_new())
    }

    /// Evidence on the old version, and what has come on the new one since the shift.
    fn evidence_since(&self, shift: &Shift) -> HashMap<u32, RouteEvidence> {
        let mut by_route = self.evidence.by_route();
        for (route, evidence) in &mut by_route {
            let before = shift.before.get(route).copied().unwrap_or_default();
            *evidence = evidence.new_after(before);
        }
        by_route
    }

    /// Share of the requests that are sent to the new version.
    pub fn share(&self, bounds: TrialBounds) -> f64 {
        let first_phase =
            (bounds.share * FIRST_PHASE_SHARE + self.extra_share).min(MAX_FIRST_PHASE_SHARE);
        match self.verdict {
            Verdict::Complete => 1.0,
            Verdict::Reverted => 0.0,
            Verdict::Active if self.is_only_version => 1.0,
            Verdict::Active if self.is_suspect => 0.0,
            Verdict::Active if self.is_fully_shifted => 1.0,
            Verdict::Active if self.shift.is_some() => first_phase.max(RAMP_SHARE),
            Verdict::Active => first_phase,
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
        if self.is_only_version {
            return Some(Verdict::Complete);
        }
        if self.is_suspect {
            return Some(Verdict::Reverted);
        }
        if let Some(shift) = &self.shift {
            let is_over = now.since(shift.at) >= shift.ramp_ms + SHIFT_TO_VERDICT_MS;
            let by_route = self.evidence_since(shift);
            if is_over && Assessment::new(&by_route).is_proven(SHIFT_PROOF) {
                return Some(Verdict::Complete);
            }
        }
        // Without evidence nobody completes the trial, whether there was too little or all instances
        // have joined late. There has to be a version to go back to.
        let has_others = !self.is_joined || self.others == OtherVersions::Present;
        (has_others && self.is_over(now)).then_some(Verdict::Reverted)
    }

    /// Whether its time has passed.
    fn is_over(&self, now: Millis) -> bool {
        now.since(self.started_at) >= self.order.duration_ms
    }

    /// Whether the shift of all traffic has started.
    pub fn is_shifting(&self) -> bool {
        self.shift.is_some()
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
