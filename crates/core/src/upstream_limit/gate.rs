//! Rate limiter of one instance for one upstream.

use super::{LimitUsers, News};
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// Time without a response of the upstream after which its limit no longer holds, in milliseconds.
const LIMIT_LIFETIME_MS: u64 = 30_000;
/// Time for which a removed limit is reported to other instances, in milliseconds.
const REMOVAL_REPORT_MS: u64 = 10_000;
/// Lowest rate that is applied, in requests a second: responses are the only news of a change.
const MIN_RATE_PER_S: f64 = 0.1;
/// Time whose requests the bucket holds, in seconds.
const BURST_S: f64 = 0.25;
/// Smallest size of the bucket, in requests.
const MIN_BURST: f64 = 1.0;
/// Time over which the rate of another instance is averaged, in seconds.
const PEER_RATE_S: f64 = 5.0;
/// Shortest interval of two reports that a rate is derived from, in seconds.
const MIN_REPORT_S: f64 = 0.02;
/// Time after its last report for which the requests of an instance are estimated, in milliseconds.
/// Later on a share of the rate is left for it.
const MAX_REPORT_AGE_MS: u64 = 2_500;
/// Largest number of requests between two reports; a report of more is older than the known one, whose
/// count it falls behind.
const MAX_SENT_BETWEEN_REPORTS: u32 = u32::MAX / 2;
/// Time in which the largest debt is made up for, in seconds.
const MAX_DEBT_S: f64 = 8.0;

/// Report of an instance about one upstream to the other instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Rate that the upstream stated to the sender, in requests a second; 0 if it stated none.
    pub rate_per_s: f32,
    /// Age of that response in milliseconds; `None` if the sender has had no response.
    pub age_ms: Option<u32>,
    /// Requests that the sender has sent to the upstream while it was limited.
    pub sent: u32,
    /// Whether the sender may use the upstream while it is limited.
    pub is_user: bool,
}

/// What a response stated, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct Heard {
    news: News,
    at: Millis,
}

/// Requests of another instance by its last report.
#[derive(Clone, Copy, Debug)]
struct PeerSent {
    life: u64,
    sent: u32,
    is_user: bool,
    at: Millis,
    /// Moving average of its rate, in requests a second.
    rate_per_s: f64,
}

impl PeerSent {
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at) <= MAX_REPORT_AGE_MS
    }

    /// Requests that it has probably sent since its last report.
    fn expected(&self, now: Millis) -> f64 {
        self.rate_per_s * seconds(now.since(self.at).min(MAX_REPORT_AGE_MS))
    }
}

/// Limit of one upstream, and this instance's copy of the token bucket.
#[derive(Clone, Debug, Default)]
pub struct RateGate {
    /// Latest news from any instance.
    latest: Option<Heard>,
    /// Latest news from a response to this instance, which alone is reported to others.
    own: Option<Heard>,
    /// Time at which the last limit was removed.
    removed_at: Option<Millis>,
    /// Requests that may be sent; negative after a burst.
    tokens: f64,
    refilled_at: Millis,
    own_sent: u32,
    peers: HashMap<Arc<str>, PeerSent>,
}

impl RateGate {
    /// Records what a response to this instance stated. Returns true if the limit in force changes.
    pub fn record_response(&mut self, news: News, now: Millis) -> bool {
        let news = match news {
            // Reports carry the rate in this precision; another one would be another limit.
            #[allow(clippy::cast_possible_truncation)]
            News::Limited(rate) => News::Limited(f64::from(rate as f32)),
            News::Unlimited => news,
        };
        self.own = Some(Heard { news, at: now });
        self.update(Heard { news, at: now }, now)
    }

    /// Records a report of another instance, which identifies its process by `life`. Returns true
    /// if the limit in force changes.
    pub fn record_report(
        &mut self,
        peer: &Arc<str>,
        life: u64,
        report: &LimitReport,
        users: LimitUsers,
        now: Millis,
    ) -> bool {
        let is_change = match report.age_ms {
            Some(age_ms) => {
                let rate = f64::from(report.rate_per_s);
                let news = if rate > 0.0 && rate.is_finite() {
                    News::Limited(rate)
                } else {
                    News::Unlimited
                };
                let at = Millis(now.0.saturating_sub(u64::from(age_ms)));
                self.update(Heard { news, at }, now)
            }
            None => false,
        };
        self.record_peer_sent(peer, life, report, users, now);
        is_change
    }

    fn record_peer_sent(
        &mut self,
        peer: &Arc<str>,
        life: u64,
        report: &LimitReport,
        users: LimitUsers,
        now: Millis,
    ) {
        let rate = self.rate(now).unwrap_or_default();
        let mut record = PeerSent {
            life,
            sent: report.sent,
            is_user: report.is_user,
            at: now,
            rate_per_s: rate / to_f64(users.all.max(1)),
        };
        if let Some(before) = self.peers.get(peer) {
            let is_same_process = before.life == life;
            let known_sent = if is_same_process { before.sent } else { 0 };
            let sent_since = report.sent.wrapping_sub(known_sent);
            if sent_since > MAX_SENT_BETWEEN_REPORTS {
                // An older report that has taken a longer way.
                return;
            }
            let sent_since = f64::from(sent_since);
            self.tokens -= sent_since;
            let elapsed_s = seconds(now.since(before.at)).max(MIN_REPORT_S);
            let weight = (elapsed_s / PEER_RATE_S).min(1.0);
            record.rate_per_s =
                before.rate_per_s + weight * (sent_since / elapsed_s - before.rate_per_s);
        }
        self.peers.insert(Arc::clone(peer), record);
    }

    /// Removes the counts of an instance that is gone.
    pub fn forget_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Whether there is a limit, or was one until recently.
    pub fn has_report(&self, now: Millis) -> bool {
        let is_recently_removed = self
            .removed_at
            .is_some_and(|at| now.since(at) < REMOVAL_REPORT_MS);
        is_recently_removed || self.rate(now).is_some()
    }

    /// Report to the other instances; `None` if there is nothing that they need.
    pub fn report(&self, is_user: bool, now: Millis) -> Option<LimitReport> {
        if !self.has_report(now) {
            return None;
        }
        let own = self.own.filter(|own| now.since(own.at) < LIMIT_LIFETIME_MS);
        let rate_per_s = match own.map(|own| own.news) {
            #[allow(clippy::cast_possible_truncation)]
            Some(News::Limited(rate)) => rate as f32,
            Some(News::Unlimited) | None => 0.0,
        };
        if own.is_none() && !is_user {
            return None;
        }
        Some(LimitReport {
            rate_per_s,
            age_ms: own.map(|own| u32::try_from(now.since(own.at)).unwrap_or(u32::MAX)),
            sent: self.own_sent,
            is_user,
        })
    }

    /// Rate in force, in requests a second; `None` without a limit.
    pub fn rate(&self, now: Millis) -> Option<f64> {
        let heard = self.latest?;
        match heard.news {
            News::Limited(rate) if now.since(heard.at) < LIMIT_LIFETIME_MS => {
                Some(rate.max(MIN_RATE_PER_S))
            }
            News::Limited(_) | News::Unlimited => None,
        }
    }

    /// Age of the latest news, in milliseconds.
    pub fn news_age_ms(&self, now: Millis) -> u64 {
        self.latest.map_or(0, |heard| now.since(heard.at))
    }

    /// Whether this instance may send a request now.
    pub fn is_open(&self, users: LimitUsers, now: Millis) -> bool {
        match self.rate(now) {
            None => true,
            Some(rate) => users.is_user && self.tokens_at(rate, users, now) >= 1.0,
        }
    }

    /// Time until this instance may send a request, in milliseconds.
    pub fn wait_ms(&self, users: LimitUsers, now: Millis) -> u64 {
        let Some(rate) = self.rate(now) else {
            return 0;
        };
        let missing = (1.0 - self.tokens_at(rate, users, now)).max(0.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let wait_ms = (missing / (rate * self.share(users, now)) * 1_000.0).ceil() as u64;
        wait_ms
    }

    /// Records that this instance sends a request.
    pub fn record_sent(&mut self, users: LimitUsers, now: Millis) {
        let Some(rate) = self.rate(now) else {
            return;
        };
        self.tokens = self.tokens_at(rate, users, now) + self.expected(now) - 1.0;
        self.refilled_at = now;
        self.own_sent = self.own_sent.wrapping_add(1);
    }

    fn update(&mut self, heard: Heard, now: Millis) -> bool {
        if self.latest.is_some_and(|latest| latest.at >= heard.at) {
            return false;
        }
        let before = self.rate(now);
        self.latest = Some(heard);
        let after = self.rate(now);
        if before.is_none() && after.is_some() {
            // Requests from before the limit was known still occupy the upstream.
            self.tokens = 0.0;
            self.refilled_at = now;
        }
        if before.is_some() && after.is_none() {
            self.removed_at = Some(now);
        }
        before != after
    }

    /// Requests that may be sent, less those that other instances have probably sent since their
    /// reports.
    fn tokens_at(&self, rate: f64, users: LimitUsers, now: Millis) -> f64 {
        let elapsed_s = seconds(now.since(self.refilled_at));
        let known = self.tokens.max(-rate * MAX_DEBT_S);
        let tokens = known + elapsed_s * rate * self.share(users, now) - self.expected(now);
        tokens.min((rate * BURST_S).max(MIN_BURST))
    }

    /// Requests that other instances have probably sent since their reports.
    fn expected(&self, now: Millis) -> f64 {
        self.peers.values().map(|peer| peer.expected(now)).sum()
    }

    /// Share of the rate that this instance and the reporting ones may use. The rest is left for
    /// those whose requests are not known.
    fn share(&self, users: LimitUsers, now: Millis) -> f64 {
        let is_reporting = |peer: &&PeerSent| peer.is_user && peer.is_recent(now);
        let reporting = 1 + self.peers.values().filter(is_reporting).count();
        let all = users.all.max(1);
        to_f64(reporting.min(all)) / to_f64(all)
    }
}

/// Milliseconds as seconds.
#[allow(clippy::cast_precision_loss)]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}
