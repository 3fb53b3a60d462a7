//! Outlier ejection: an upstream that fails is left out for a while.

use crate::id::{RegionId, UpstreamId};
use crate::time::Millis;
use std::collections::BTreeMap;

/// Largest share of a group that may be out at the same time.
pub const MAX_EJECTED_SHARE: f64 = 0.5;
/// Errors in a row that eject.
const CONSECUTIVE_ERRORS: u32 = 5;
/// Share of errors that ejects.
const ERROR_SHARE: f64 = 0.5;
/// Answers needed before the share of errors counts.
const MIN_ANSWERS: f64 = 20.0;
/// Part of the counts that is kept when a new answer is counted.
const DECAY: f64 = 0.98;
/// Time of the first ejection, in milliseconds; doubles with each further one.
const BASE_EJECTION_MS: u64 = 5_000;
/// Longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 300_000;
/// Time without an ejection after which the next one is short again, in milliseconds.
const FORGIVEN_MS: u64 = 600_000;

/// Upstreams that stand in for each other: those of one model version or service in one region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamGroup {
    /// The region.
    pub region: RegionId,
    /// Model and version, or service, as text.
    pub serves: String,
}

/// A change that the router has to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The upstream is out.
    Ejected {
        /// The upstream.
        upstream: UpstreamId,
        /// When it comes back.
        until: Millis,
    },
    /// The upstream is back.
    Readmitted(UpstreamId),
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    group: UpstreamGroup,
    consecutive_errors: u32,
    answers: f64,
    errors: f64,
    ejections: u32,
    last_ejected_at: Millis,
    pub(super) out_until: Option<Millis>,
}

impl Record {
    fn new(group: UpstreamGroup) -> Self {
        Self {
            group,
            consecutive_errors: 0,
            answers: 0.0,
            errors: 0.0,
            ejections: 0,
            last_ejected_at: Millis(0),
            out_until: None,
        }
    }

    fn count(&mut self, is_error: bool) {
        self.answers = self.answers * DECAY + 1.0;
        self.errors = self.errors * DECAY + f64::from(u8::from(is_error));
        self.consecutive_errors = if is_error {
            self.consecutive_errors + 1
        } else {
            0
        };
    }

    fn is_outlier(&self) -> bool {
        let is_share_high = self.errors >= self.answers * ERROR_SHARE;
        let is_share_known = self.answers >= MIN_ANSWERS;
        self.consecutive_errors >= CONSECUTIVE_ERRORS || (is_share_known && is_share_high)
    }

    fn eject(&mut self, now: Millis) -> Millis {
        if now.since(self.last_ejected_at) >= FORGIVEN_MS {
            self.ejections = 0;
        }
        let ejection_ms = BASE_EJECTION_MS << self.ejections.min(16);
        let until = now.plus(ejection_ms.min(MAX_EJECTION_MS));
        self.ejections += 1;
        self.last_ejected_at = now;
        self.out_until = Some(until);
        until
    }

    fn bring_back(&mut self) {
        self.out_until = None;
        self.consecutive_errors = 0;
        self.answers = 0.0;
        self.errors = 0.0;
    }
}

/// Errors of all upstreams as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    pub(super) records: BTreeMap<UpstreamId, Record>,
}

impl OutlierDetector {
    /// Sets the upstreams and their groups; what is known of those that stay is kept.
    ///
    /// A group that shrinks may have too many of its members out: those that come back soonest are
    /// brought back at once, and returned.
    pub fn set_upstreams(
        &mut self,
        upstreams: impl IntoIterator<Item = (UpstreamId, UpstreamGroup)>,
    ) -> Vec<EjectionChange> {
        let mut former = std::mem::take(&mut self.records);
        for (id, group) in upstreams {
            let record = match former.remove(&id) {
                Some(record) if record.group == group => record,
                _ => Record::new(group),
            };
            self.records.insert(id, record);
        }
        self.restore_floor()
    }

    /// Counts the outcome of an attempt; returns an ejection if it leads to one.
    ///
    /// # Panics
    ///
    /// Panics if more of a group were out than the floor allows, which is a fault of the program.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        is_error: bool,
        now: Millis,
    ) -> Option<EjectionChange> {
        let record = self.records.get_mut(upstream)?;
        record.count(is_error);
        if record.out_until.is_some() || !record.is_outlier() {
            return None;
        }
        let group = record.group.clone();
        let (members, out) = self.count_group(&group);
        if out + 1 > most_out(members) {
            return None;
        }
        let until = self.records.get_mut(upstream)?.eject(now);
        self.assert_floor(&group);
        Some(EjectionChange::Ejected {
            upstream: upstream.clone(),
            until,
        })
    }

    /// Brings back the upstreams whose ejection has ended. To be called about once a second.
    pub fn expire(&mut self, now: Millis) -> Vec<EjectionChange> {
        let mut back = Vec::new();
        for (id, record) in &mut self.records {
            if record.out_until.is_some_and(|until| until <= now) {
                record.bring_back();
                back.push(EjectionChange::Readmitted(id.clone()));
            }
        }
        back
    }

    /// Whether the upstream is out.
    pub fn is_ejected(&self, upstream: &UpstreamId) -> bool {
        let record = self.records.get(upstream);
        record.is_some_and(|record| record.out_until.is_some())
    }

    fn count_group(&self, group: &UpstreamGroup) -> (usize, usize) {
        let members = || self.records.values().filter(|r| r.group == *group);
        let out = members().filter(|r| r.out_until.is_some()).count();
        (members().count(), out)
    }

    fn restore_floor(&mut self) -> Vec<EjectionChange> {
        let mut back = Vec::new();
        let out = |record: &Record| record.out_until;
        let mut by_end: Vec<_> = self
            .records
            .iter()
            .filter_map(|(id, record)| Some((out(record)?, id.clone())))
            .collect();
        by_end.sort();
        for (_, id) in by_end {
            let Some(group) = self.records.get(&id).map(|record| record.group.clone()) else {
                continue;
            };
            let (members, out) = self.count_group(&group);
            if out <= most_out(members) {
                continue;
            }
            if let Some(record) = self.records.get_mut(&id) {
                record.bring_back();
                back.push(EjectionChange::Readmitted(id));
            }
        }
        back
    }

    pub(super) fn assert_floor(&self, group: &UpstreamGroup) {
        let (members, out) = self.count_group(group);
        let most = (members as f64 * MAX_EJECTED_SHARE).floor() as usize;
        assert!(out <= most, "{out} of {members} upstreams ejected");
    }
}

/// Members of a group of `members` that may be out; a group of one is never without its member.
fn most_out(members: usize) -> usize {
    (members as f64 * MAX_EJECTED_SHARE).floor() as usize
}
