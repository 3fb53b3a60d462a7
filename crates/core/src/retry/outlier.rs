//! Outlier detection: a failing upstream is temporarily ejected from load balancing.

use crate::id::{RegionId, UpstreamId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Maximum share of a group that may be ejected at the same time.
pub const MAX_EJECTED_SHARE: f64 = 0.5;
/// Number of consecutive errors that causes an ejection.
const EJECTING_CONSECUTIVE_ERRORS: u32 = 5;
/// Share of errors that causes an ejection.
const EJECTING_ERROR_SHARE: f64 = 0.5;
/// Minimum (decayed) number of answers for evaluating the share of errors.
const MIN_COUNTED_ANSWERS: f64 = 20.0;
/// Decay factor applied to the counts for each new answer.
const COUNT_DECAY: f64 = 0.98;
/// Duration of the first ejection, in milliseconds; it doubles with each further one.
const BASE_EJECTION_MS: u64 = 5_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 300_000;
/// Time since the last ejection after which the next one has the base duration again, in
/// milliseconds.
const EJECTION_BACKOFF_RESET_MS: u64 = 600_000;

/// Group of interchangeable upstreams: those of one model version or service in one region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamGroup {
    /// Region of the upstreams.
    pub region: RegionId,
    /// Model and version, or service, as text.
    pub serves: String,
}

/// Ejection or readmission of an upstream, to be applied to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The upstream has been ejected.
    Ejected {
        /// Ejected upstream.
        upstream: UpstreamId,
        /// Time at which it is readmitted.
        until: Millis,
    },
    /// The upstream has been readmitted.
    Readmitted(UpstreamId),
}

#[derive(Clone, Debug)]
pub(super) struct UpstreamHealth {
    group: UpstreamGroup,
    consecutive_errors: u32,
    answers: f64,
    errors: f64,
    ejections: u32,
    last_ejected_at: Millis,
    pub(super) ejected_until: Option<Millis>,
}

impl UpstreamHealth {
    fn new(group: UpstreamGroup) -> Self {
        Self {
            group,
            consecutive_errors: 0,
            answers: 0.0,
            errors: 0.0,
            ejections: 0,
            last_ejected_at: Millis(0),
            ejected_until: None,
        }
    }

    fn count(&mut self, is_error: bool) {
        self.answers = self.answers * COUNT_DECAY + 1.0;
        self.errors = self.errors * COUNT_DECAY + f64::from(u8::from(is_error));
        self.consecutive_errors = if is_error {
            self.consecutive_errors + 1
        } else {
            0
        };
    }

    fn is_outlier(&self) -> bool {
        let is_error_share_high = self.errors >= self.answers * EJECTING_ERROR_SHARE;
        let has_enough_answers = self.answers >= MIN_COUNTED_ANSWERS;
        self.consecutive_errors >= EJECTING_CONSECUTIVE_ERRORS
            || (has_enough_answers && is_error_share_high)
    }

    fn eject(&mut self, now: Millis) -> Millis {
        if now.since(self.last_ejected_at) >= EJECTION_BACKOFF_RESET_MS {
            self.ejections = 0;
        }
        let ejection_ms = BASE_EJECTION_MS << self.ejections.min(16);
        let until = now.plus(ejection_ms.min(MAX_EJECTION_MS));
        self.ejections += 1;
        self.last_ejected_at = now;
        self.ejected_until = Some(until);
        until
    }

    fn readmit(&mut self) {
        self.ejected_until = None;
        self.consecutive_errors = 0;
        self.answers = 0.0;
        self.errors = 0.0;
    }
}

/// Error counts and ejections of all upstreams as observed by one instance.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    pub(super) health: BTreeMap<UpstreamId, UpstreamHealth>,
}

impl OutlierDetector {
    /// Sets the upstreams and their groups, keeping the state of those that remain in
    /// their group.
    ///
    /// If a group has shrunk so that too many of its members are ejected, those whose ejection ends
    /// first are readmitted immediately and returned.
    pub fn set_upstreams(
        &mut self,
        upstreams: impl IntoIterator<Item = (UpstreamId, UpstreamGroup)>,
    ) -> Vec<EjectionChange> {
        let mut previous = std::mem::take(&mut self.health);
        for (id, group) in upstreams {
            let health = match previous.remove(&id) {
                Some(health) if health.group == group => health,
                _ => UpstreamHealth::new(group),
            };
            self.health.insert(id, health);
        }
        self.readmit_above_limit()
    }

    /// Counts the outcome of an attempt. Returns the ejection if it causes one.
    ///
    /// # Panics
    ///
    /// Panics if more members of a group are ejected than the limit allows, which is a bug.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        is_error: bool,
        now: Millis,
    ) -> Option<EjectionChange> {
        let health = self.health.get_mut(upstream)?;
        health.count(is_error);
        if health.ejected_until.is_some() || !health.is_outlier() {
            return None;
        }
        let group = health.group.clone();
        let (members, ejected) = self.count_group(&group);
        if ejected + 1 > max_ejected(members) {
            return None;
        }
        let until = self.health.get_mut(upstream)?.eject(now);
        self.assert_ejection_limit(&group);
        Some(EjectionChange::Ejected {
            upstream: upstream.clone(),
            until,
        })
    }

    /// Readmits the upstreams whose ejection has ended. Has to be called about once per second.
    pub fn expire(&mut self, now: Millis) -> Vec<EjectionChange> {
        let mut readmitted = Vec::new();
        for (id, health) in &mut self.health {
            if health.ejected_until.is_some_and(|until| until <= now) {
                health.readmit();
                readmitted.push(EjectionChange::Readmitted(id.clone()));
            }
        }
        readmitted
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, upstream: &UpstreamId) -> bool {
        let health = self.health.get(upstream);
        health.is_some_and(|health| health.ejected_until.is_some())
    }

    fn count_group(&self, group: &UpstreamGroup) -> (usize, usize) {
        let members = || self.health.values().filter(|r| r.group == *group);
        let ejected = members().filter(|r| r.ejected_until.is_some()).count();
        (members().count(), ejected)
    }

    fn readmit_above_limit(&mut self) -> Vec<EjectionChange> {
        let mut readmitted = Vec::new();
        let ejected = |health: &UpstreamHealth| health.ejected_until;
        let mut by_ejection_end: Vec<_> = self
            .health
            .iter()
            .filter_map(|(id, health)| Some((ejected(health)?, id.clone())))
            .collect();
        by_ejection_end.sort();
        for (_, id) in by_ejection_end {
            let Some(group) = self.health.get(&id).map(|health| health.group.clone()) else {
                continue;
            };
            let (members, ejected) = self.count_group(&group);
            if ejected <= max_ejected(members) {
                continue;
            }
            if let Some(health) = self.health.get_mut(&id) {
                health.readmit();
                readmitted.push(EjectionChange::Readmitted(id));
            }
        }
        readmitted
    }

    pub(super) fn assert_ejection_limit(&self, group: &UpstreamGroup) {
        let (members, ejected) = self.count_group(group);
        let limit = (members as f64 * MAX_EJECTED_SHARE).floor() as usize;
        assert!(ejected <= limit, "{ejected} of {members} upstreams ejected");
    }
}

/// Maximum number of ejected upstreams in a group of `members`. The only member of a group is never
/// ejected.
fn max_ejected(members: usize) -> usize {
    (members as f64 * MAX_EJECTED_SHARE).floor() as usize
}
