//! One rollout at one instance.

use super::{scheduled_share_ppm, side_of_request, Assessment, Verdict};
use crate::document::{Rollout, WHOLE_PPM};
use crate::evidence::{EvidenceChange, OriginTag, RolloutTag, RouteTag, Side, Suspicion};
use crate::time::{Millis, UnixMillis};

/// Share of all requests that go to a new version on the routes where it looks worse, out of
/// 1,000,000.
pub const PROBE_SHARE_PPM: u32 = 10_000;
/// Share that the old version keeps until the verdict, out of 1,000,000. It keeps the old version
/// warm and both versions comparable.
pub const CONTROL_SHARE_PPM: u32 = 50_000;
/// Time after the deadline before a rollout is declared done, in milliseconds, in which
/// suspicions of others arrive.
pub const DONE_SETTLE_MS: u64 = 5_000;
/// Time after the deadline before a rollout without enough evidence is rolled back, in
/// milliseconds, in which an instance that has more evidence may declare it done.
pub const EVIDENCE_GRACE_MS: u64 = 30_000;
/// Time after the deadline before a rollout that still looks worse is rolled back, in
/// milliseconds.
pub const CAUTION_GRACE_MS: u64 = 120_000;

/// One rollout at one instance.
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
    /// The state of `rollout` at the process `origin`.
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

    /// The rollout as the document has it.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// The tag of the rollout.
    pub fn tag(&self) -> RolloutTag {
        self.tag
    }

    /// What the evidence comes to.
    pub fn assessment(&self) -> &Assessment {
        &self.assessment
    }

    /// The suspicion against the new version, if there is one.
    pub fn suspicion(&self) -> Option<&Suspicion> {
        self.suspicion.as_ref()
    }

    /// The verdict, if it stands in the store.
    pub fn verdict(&self) -> Option<Verdict> {
        self.verdict
    }

    /// Takes over steps and deadline of a newer document.
    pub fn replace(&mut self, rollout: Rollout) {
        assert_eq!(rollout.id, self.rollout.id, "a rollout keeps its name");
        self.rollout = rollout;
    }

    /// Share of the requests of `route` that go to the new version now, out of 1,000,000.
    pub fn share_ppm(&self, route: RouteTag, unix_now: UnixMillis) -> u32 {
        match self.verdict {
            Some(Verdict::Done) => return WHOLE_PPM,
            Some(Verdict::RolledBack) => return 0,
            None if self.suspicion.is_some() => return 0,
            None => {}
        }
        let most_ppm = WHOLE_PPM - CONTROL_SHARE_PPM;
        let most_ppm = if self.assessment.is_cautious_on(route) {
            let probe_ppm = self.assessment.probe_share_ppm(route, PROBE_SHARE_PPM);
            probe_ppm.min(most_ppm)
        } else {
            most_ppm
        };
        scheduled_share_ppm(&self.rollout, unix_now).min(most_ppm)
    }

    /// The version that a request of `route` goes to.
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
            "a stopped version gets no request"
        );
        side
    }

    /// Takes counters that have grown, and returns a suspicion if they raise one.
    pub fn add_evidence(&mut self, change: &EvidenceChange, now: Millis) -> Option<Suspicion> {
        assert_eq!(change.rollout, self.tag, "evidence belongs to its rollout");
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

    /// Honours a suspicion that another instance raised.
    pub fn suspect(&mut self, suspicion: Suspicion) {
        assert_eq!(
            suspicion.rollout, self.tag,
            "a suspicion belongs to its rollout"
        );
        self.suspicion.get_or_insert(suspicion);
    }

    /// Follows the verdict that stands in the store.
    pub fn adopt(&mut self, verdict: Verdict) {
        let adopted = *self.verdict.get_or_insert(verdict);
        assert_eq!(adopted, verdict, "a verdict is never left");
    }

    /// The verdict that this instance would write now.
    ///
    /// A suspicion is written at once; after the deadline every rollout gets a verdict.
    pub fn proposal(&self, unix_now: UnixMillis) -> Option<Verdict> {
        if self.verdict.is_some() {
            return None;
        }
        if self.suspicion.is_some() {
            return Some(Verdict::RolledBack);
        }
        let late_ms = unix_now.0.checked_sub(self.rollout.deadline_unix_ms.0)?;
        if self.assessment.is_cautious() {
            return (late_ms >= CAUTION_GRACE_MS).then_some(Verdict::RolledBack);
        }
        if self.assessment.is_sufficient() {
            return (late_ms >= DONE_SETTLE_MS).then_some(Verdict::Done);
        }
        (late_ms >= EVIDENCE_GRACE_MS).then_some(Verdict::RolledBack)
    }

    fn assert_share(&self, share_ppm: u32, unix_now: UnixMillis) {
        let step_ppm = scheduled_share_ppm(&self.rollout, unix_now);
        let is_done = self.verdict == Some(Verdict::Done);
        assert!(
            is_done || share_ppm <= step_ppm,
            "the new version gets no more than the step allows"
        );
    }
}
