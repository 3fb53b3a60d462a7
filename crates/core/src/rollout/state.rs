//! State of one rollout at one instance.

use super::{scheduled_share_ppm, side_of_request, Assessment, Verdict};
use crate::document::{Rollout, WHOLE_PPM};
use crate::evidence::{EvidenceChange, OriginTag, RolloutTag, RouteTag, Side, Suspicion};
use crate::time::{Millis, UnixMillis};

/// Share of all requests that probe a new version suspected to be worse, in parts per million.
pub const PROBE_SHARE_PPM: u32 = 10_000;
/// Share that the old version keeps until the verdict, in parts per million. It keeps the caches of
/// the old version warm and both versions comparable.
pub const CONTROL_SHARE_PPM: u32 = 50_000;
/// Delay after the deadline before a rollout is declared done, in milliseconds. It allows
/// suspicions from other instances to arrive.
pub const DONE_SETTLE_MS: u64 = 5_000;
/// Delay after the deadline before a rollout without enough evidence is rolled back, in
/// milliseconds. It allows an instance with more evidence to declare the rollout done.
pub const EVIDENCE_GRACE_MS: u64 = 30_000;
/// Delay after the deadline before a rollout whose new version is still suspected to be worse is
/// rolled back, in milliseconds.
pub const CAUTION_GRACE_MS: u64 = 120_000;

/// State of one rollout at one instance.
#[derive(Clone, Debug)]
pub struct RolloutState {
    rollout: Rollout,
    tag: RolloutTag,
    origin: OriginTag,
    assessment: Assessment,
    suspicion: Option<Suspicion>,
    verdict: Option<Verdict>,
}

impl RolloutState {
    /// Creates the state of `rollout` at the process `origin`.
    pub fn new(rollout: Rollout, origin: OriginTag) -> Self {
        let tag = RolloutTag::new(&rollout.id);
        Self {
            rollout,
            tag,
            origin,
            assessment: Assessment::default(),
            suspicion: None,
            verdict: None,
        }
    }

    /// Returns the rollout as configured in the document.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Returns the tag of the rollout.
    pub fn tag(&self) -> RolloutTag {
        self.tag
    }

    /// Returns the assessment of the evidence.
    pub fn assessment(&self) -> &Assessment {
        &self.assessment
    }

    /// Returns the suspicion against the new version, if there is one.
    pub fn suspicion(&self) -> Option<&Suspicion> {
        self.suspicion.as_ref()
    }

    /// Returns the verdict, if it is known to be in the store.
    pub fn verdict(&self) -> Option<Verdict> {
        self.verdict
    }

    /// Applies the steps and the deadline of a newer document.
    pub fn replace(&mut self, rollout: Rollout) {
        assert_eq!(
            rollout.id, self.rollout.id,
            "the identifier of a rollout cannot change"
        );
        self.rollout = rollout;
    }

    /// Returns the share of the requests of `route` that go to the new version now, in parts per
    /// million.
    pub fn share_ppm(&self, route: RouteTag, unix_now: UnixMillis) -> u32 {
        match self.verdict {
            Some(Verdict::Done) => return WHOLE_PPM,
            Some(Verdict::RolledBack) => return 0,
            None if self.suspicion.is_some() => return 0,
            None => {}
        }
        let max_ppm = WHOLE_PPM - CONTROL_SHARE_PPM;
        let max_ppm = if self.assessment.is_cautious_on(route) {
            let probe_ppm = self.assessment.probe_share_ppm(route, PROBE_SHARE_PPM);
            probe_ppm.min(max_ppm)
        } else {
            max_ppm
        };
        scheduled_share_ppm(&self.rollout, unix_now).min(max_ppm)
    }

    /// Chooses the version for a request of `route`.
    pub fn choose(&self, route: RouteTag, request_id: &str, unix_now: UnixMillis) -> Side {
        let share_ppm = self.share_ppm(route, unix_now);
        self.assert_share(share_ppm, unix_now);
        let side = side_of_request(&self.rollout, request_id, share_ppm);
        let is_stopped = match self.verdict {
            Some(verdict) => verdict == Verdict::RolledBack,
            None => self.suspicion.is_some(),
        };
        assert!(
            side == Side::Old || !is_stopped,
            "a request was sent to a stopped version"
        );
        side
    }

    /// Adds the growth of the counters in `change`. Returns a suspicion if it raises one.
    pub fn add_evidence(&mut self, change: &EvidenceChange, now: Millis) -> Option<Suspicion> {
        assert_eq!(change.rollout, self.tag, "evidence of another rollout");
        if self.suspicion.is_some() || self.verdict.is_some() {
            return None;
        }
        self.assessment.add(change, now);
        let (route, kind) = self.assessment.worse()?;
        let suspicion = Suspicion {
            rollout: self.tag,
            route,
            kind,
            origin: self.origin,
        };
        self.suspicion = Some(suspicion);
        Some(suspicion)
    }

    /// Applies a suspicion raised by another instance.
    pub fn suspect(&mut self, suspicion: Suspicion) {
        assert_eq!(suspicion.rollout, self.tag, "suspicion of another rollout");
        self.suspicion.get_or_insert(suspicion);
    }

    /// Applies the verdict in the store.
    pub fn adopt(&mut self, verdict: Verdict) {
        let adopted = *self.verdict.get_or_insert(verdict);
        assert_eq!(adopted, verdict, "a verdict cannot change");
    }

    /// Returns the verdict that this instance proposes now.
    ///
    /// A suspicion leads to a rollback immediately. After the deadline every rollout gets a
    /// verdict.
    pub fn proposal(&self, unix_now: UnixMillis) -> Option<Verdict> {
        if self.verdict.is_some() {
            return None;
        }
        if self.suspicion.is_some() {
            return Some(Verdict::RolledBack);
        }
        let overdue_ms = unix_now.0.checked_sub(self.rollout.deadline_unix_ms.0)?;
        if self.assessment.is_cautious() {
            return (overdue_ms >= CAUTION_GRACE_MS).then_some(Verdict::RolledBack);
        }
        if self.assessment.is_sufficient() {
            return (overdue_ms >= DONE_SETTLE_MS).then_some(Verdict::Done);
        }
        (overdue_ms >= EVIDENCE_GRACE_MS).then_some(Verdict::RolledBack)
    }

    fn assert_share(&self, share_ppm: u32, unix_now: UnixMillis) {
        let step_ppm = scheduled_share_ppm(&self.rollout, unix_now);
        let is_done = self.verdict == Some(Verdict::Done);
        assert!(
            is_done || share_ppm <= step_ppm,
            "the share of the new version exceeds the current step"
        );
    }
}
