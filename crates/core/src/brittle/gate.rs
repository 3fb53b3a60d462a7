//! Gate of one instance before one upstream.

use super::{BrittleShare, Brittleness};
use crate::{time::Millis, upstream_limit::LimitReport};
use std::{collections::HashMap, sync::Arc};

/// Time without a response of the upstream after which its statement no longer holds, in
/// milliseconds.
const STATEMENT_LIFETIME_MS: u64 = 30_000;
/// Time for which a change that a response stated is reported to other instances, in milliseconds.
const CHANGE_REPORT_MS: u64 = 3_000;
/// Time for which a rejection is reported to other instances, in milliseconds.
const REJECTION_REPORT_MS: u64 = 5_000;
/// Shortest and longest pause after a rejection, in milliseconds. The upstream counts rejections in
/// a second.
const MIN_PAUSE_MS: u64 = 1_000;
const MAX_PAUSE_MS: u64 = 8_000;
/// Time after a rejection in which a further one doubles the pause, in milliseconds.
const PAUSE_GROWTH_MS: u64 = 10_000;
/// Time after a rejection, at any instance, in which no place is borrowed, in milliseconds.
const NO_BORROWING_MS: u64 = 5_000;
/// Part of its places that an instance keeps using after a rejection, which shows that others occupy
/// some of them, or that the upstream has fewer.
const KEPT_PART: f64 = 0.75;
/// Smallest part of its places that an instance uses.
const MIN_PART: f64 = 0.25;
/// Part of its places that it takes up again in a second.
const REGAINED_PER_S: f64 = 0.01;
/// Time in which the free places are lent once, in milliseconds. Longer than the reports of their use
/// take to arrive.
const LENDING_PERIOD_MS: u64 = 1_000;
/// Time over which the rejections at all instances are added up, in milliseconds.
const REJECTION_WINDOW_MS: u64 = 1_000;
/// Largest number of rejections between two reports; a report of more is older than the known one.
const MAX_REJECTED_BETWEEN_REPORTS: u32 = u32::MAX / 2;

/// Requests at an upstream, and its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests of this instance in flight.
    pub own: u32,
    /// Requests of all instances in flight, by their last reports.
    pub known: u32,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
}

impl Occupancy {
    /// Free places that may be lent. Half of the places are not: holders may fill theirs before they
    /// hear of a loan.
    fn lendable(self) -> u32 {
        (self.slots / 2).saturating_sub(self.known)
    }
}

/// What a response stated, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct Heard {
    statement: Brittleness,
    at: Millis,
}

/// Rejections of another instance's requests by its last report.
#[derive(Clone, Copy, Debug)]
struct PeerRejections {
    life: u64,
    rejections: u32,
}

/// Statement of one upstream, and the rejections by it.
#[derive(Clone, Debug, Default)]
pub struct BrittleGate {
    /// Latest statement that any instance heard.
    latest: Option<Heard>,
    /// Latest statement in a response to this instance, which alone is reported to others.
    own: Option<Heard>,
    /// Time of the last response that changed the statement in force.
    changed_at: Option<Millis>,
    own_rejections: u32,
    own_rejected_at: Option<Millis>,
    peers: HashMap<Arc<str>, PeerRejections>,
    /// Last rejection at any instance.
    rejected_at: Option<Millis>,
    /// Start of the current window of rejections, and their number in it.
    window: (Millis, u32),
    paused_until: Millis,
    pause_ms: u64,
    /// Part of the places that was left out after the last rejection.
    unused_part: f64,
    /// Places that may be borrowed; less than one between loans.
    credit: f64,
    credited_at: Millis,
}

impl BrittleGate {
    /// Records what a response to this instance stated. Returns true if the statement in force
    /// changes.
    pub fn record_response(&mut self, statement: Brittleness, now: Millis) -> bool {
        let heard = Heard { statement, at: now };
        self.own = Some(heard);
        let is_change = self.update(heard, now);
        if is_change {
            self.changed_at = Some(now);
        }
        is_change
    }

    /// Records that the upstream rejected a request of this instance for want of room. `jitter` is a
    /// random number in `[0, 1)` that spreads the ends of the instances' pauses.
    pub fn record_rejection(&mut self, jitter: f64, now: Millis) {
        if self.max_rejections_per_s(now).is_none() {
            return;
        }
        let unused_part = self.unused_part_at(now);
        self.own_rejections = self.own_rejections.wrapping_add(1);
        self.own_rejected_at = Some(now);
        let is_repeated = self
            .rejected_at
            .is_some_and(|at| now.since(at) < PAUSE_GROWTH_MS);
        self.count_rejections(1, now);
        // Requests that were under way together are rejected together, and pause it once.
        if now >= self.paused_until {
            let part = (1.0 - unused_part) * KEPT_PART;
            self.unused_part = 1.0 - part.max(MIN_PART);
            self.pause_ms = if is_repeated {
                (self.pause_ms * 2).clamp(MIN_PAUSE_MS, MAX_PAUSE_MS)
            } else {
                MIN_PAUSE_MS
            };
            self.pause(self.pause_ms, jitter, now);
        }
    }

    /// Records a report of another instance, which identifies its process by `life`: its rate is the
    /// stated number of rejections, its count the number of rejections. Returns true if the statement
    /// in force changes.
    pub fn record_report(
        &mut self,
        peer: &Arc<str>,
        life: u64,
        report: &LimitReport,
        jitter: f64,
        now: Millis,
    ) -> bool {
        let is_change = report.age_ms.is_some_and(|age_ms| {
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let max_rejections_per_s = report.rate_per_s as u32;
            let statement = if max_rejections_per_s > 0 {
                Brittleness::Brittle {
                    max_rejections_per_s,
                }
            } else {
                Brittleness::Robust
            };
            let at = Millis(now.0.saturating_sub(u64::from(age_ms)));
            self.update(Heard { statement, at }, now)
        });
        let before = self.peers.get(peer).filter(|before| before.life == life);
        let known = before.map_or(0, |before| before.rejections);
        let new = report.sent.wrapping_sub(known);
        if new > MAX_REJECTED_BETWEEN_REPORTS {
            return is_change;
        }
        let rejections = report.sent;
        self.peers
            .insert(Arc::clone(peer), PeerRejections { life, rejections });
        if new > 0 {
            self.count_rejections(new, now);
            let max = self.max_rejections_per_s(now).unwrap_or(u32::MAX);
            if self.window.1.saturating_mul(2) >= max {
                self.pause(MIN_PAUSE_MS, jitter, now);
            }
        }
        is_change
    }

    /// Removes the counts of an instance that is gone.
    pub fn forget_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Report to the other instances; `None` if there is nothing that they need. Few instances repeat
    /// the statement, the others report changes and rejections, so that the reports stay small.
    pub fn report(&self, is_reporter: bool, now: Millis) -> Option<LimitReport> {
        let is_within = |at: Option<Millis>, ms: u64| at.is_some_and(|at| now.since(at) < ms);
        let repeats = is_reporter && self.max_rejections_per_s(now).is_some();
        let has_news = is_within(self.changed_at, CHANGE_REPORT_MS)
            || is_within(self.own_rejected_at, REJECTION_REPORT_MS);
        if !repeats && !has_news {
            return None;
        }
        let own = self
            .own
            .filter(|own| now.since(own.at) < STATEMENT_LIFETIME_MS)?;
        #[allow(clippy::cast_precision_loss)]
        let rate_per_s = match own.statement {
            Brittleness::Brittle {
                max_rejections_per_s,
            } => max_rejections_per_s as f32,
            Brittleness::Robust => 0.0,
        };
        Some(LimitReport {
            rate_per_s,
            age_ms: Some(u32::try_from(now.since(own.at)).unwrap_or(u32::MAX)),
            sent: self.own_rejections,
            is_user: is_reporter,
        })
    }

    /// Rejections a second that the upstream endures; `None` if it has not said that it is brittle.
    pub fn max_rejections_per_s(&self, now: Millis) -> Option<u32> {
        let heard = self.latest?;
        match heard.statement {
            Brittleness::Brittle {
                max_rejections_per_s,
            } if now.since(heard.at) < STATEMENT_LIFETIME_MS => Some(max_rejections_per_s),
            Brittleness::Brittle { .. } | Brittleness::Robust => None,
        }
    }

    /// Rejections of this instance's requests.
    pub fn own_rejections(&self) -> u32 {
        self.own_rejections
    }

    /// Remaining time of the pause after rejections, in milliseconds.
    pub fn pause_left_ms(&self, now: Millis) -> u64 {
        self.paused_until.since(now)
    }

    /// Whether this instance may send a request now.
    pub fn is_open(&self, share: BrittleShare, at: Occupancy, now: Millis) -> bool {
        if self.max_rejections_per_s(now).is_none() {
            return true;
        }
        if now < self.paused_until || at.known >= at.slots {
            return false;
        }
        at.own < self.places_at(share, now) || self.credit_at(share, at, now) >= 1.0
    }

    /// Records that this instance sends a request, `at` the occupancy before it.
    pub fn record_sent(&mut self, share: BrittleShare, at: Occupancy, now: Millis) {
        if self.max_rejections_per_s(now).is_none() {
            return;
        }
        let loan = if at.own < self.places_at(share, now) {
            0.0
        } else {
            1.0
        };
        self.credit = (self.credit_at(share, at, now) - loan).max(0.0);
        self.credited_at = now;
    }

    /// Places of the share that are in use; one at least, unless it has none.
    fn places_at(&self, share: BrittleShare, now: Millis) -> u32 {
        let part = 1.0 - self.unused_part_at(now);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let places = (f64::from(share.places) * part) as u32;
        places.max(share.places.min(1))
    }

    /// Part of the places that is left out.
    fn unused_part_at(&self, now: Millis) -> f64 {
        let rejected_at = self.own_rejected_at.unwrap_or_default();
        let regained = ratio(now.since(rejected_at), 1_000) * REGAINED_PER_S;
        (self.unused_part - regained).max(0.0)
    }

    /// Places that may be borrowed, one at most.
    fn credit_at(&self, share: BrittleShare, at: Occupancy, now: Millis) -> f64 {
        let is_rejecting = self
            .rejected_at
            .is_some_and(|at| now.since(at) < NO_BORROWING_MS);
        let lendable = at.lendable();
        if is_rejecting || !share.is_borrower || lendable == 0 {
            return 0.0;
        }
        let periods = ratio(now.since(self.credited_at), LENDING_PERIOD_MS);
        let lent = periods * f64::from(lendable) / f64::from(share.borrowers.max(1));
        (self.credit + lent).min(1.0)
    }

    fn count_rejections(&mut self, count: u32, now: Millis) {
        self.rejected_at = Some(now);
        let (started_at, known) = self.window;
        self.window = if now.since(started_at) < REJECTION_WINDOW_MS {
            (started_at, known.saturating_add(count))
        } else {
            (now, count)
        };
        self.credit = 0.0;
        self.credited_at = now;
    }

    /// Pauses for up to a quarter longer than `pause_ms`.
    fn pause(&mut self, pause_ms: u64, jitter: f64, now: Millis) {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let spread_ms = (pause_ms as f64 / 4.0 * jitter) as u64;
        let until = now.plus(pause_ms + spread_ms);
        self.paused_until = self.paused_until.max(until);
    }

    fn update(&mut self, heard: Heard, now: Millis) -> bool {
        if self.latest.is_some_and(|latest| latest.at >= heard.at) {
            return false;
        }
        let before = self.max_rejections_per_s(now);
        self.latest = Some(heard);
        let after = self.max_rejections_per_s(now);
        if before.is_none() && after.is_some() {
            self.credit = 0.0;
            self.credited_at = now;
        }
        before != after
    }
}

#[allow(clippy::cast_precision_loss)]
fn ratio(ms: u64, period_ms: u64) -> f64 {
    ms as f64 / period_ms as f64
}
