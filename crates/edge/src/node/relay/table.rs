//! Reports of other instances, and which of them are due on a link.

use super::report::{has_other_subjects, Fact, RelayedReport};
use carobwheel_core::time::Millis;
use std::collections::HashMap;

/// Longest age of a report that is passed on, in milliseconds.
const MAX_RELAYED_AGE_MS: u32 = 2_000;
/// Time for which a report is kept, in milliseconds. Longer than it is passed on, so that a copy of it that
/// arrives late is recognised.
const KEPT_MS: u64 = 10_000;
/// Interval at which a report is passed on that has not changed, in milliseconds.
const REPORTS_PERIOD_MS: u64 = 500;
/// Size of the reports in one message, in bytes. Bounds what a delegate sends on all its links, of which
/// each gets four messages a second or so.
const MAX_RELAYED_BYTES: usize = 4 * 1024;
/// Time without a report on a fact after which it is announced again, in milliseconds.
const ANNOUNCED_MS: u64 = 10_000;
/// Largest number of facts, and of stated rates, that are kept as announced.
const MAX_ANNOUNCED: usize = 4_096;

/// A report, the time of its arrival and that of its last change.
#[derive(Clone, Debug)]
struct KeptReport {
    report: RelayedReport,
    at: Millis,
    changed_at: Millis,
}

impl KeptReport {
    fn kept_ms(&self, now: Millis) -> u32 {
        u32::try_from(now.since(self.at)).unwrap_or(u32::MAX)
    }

    fn age_ms(&self, now: Millis) -> u32 {
        self.report.age_ms.saturating_add(self.kept_ms(now))
    }

    /// Whether to send it again on a link on which it was last sent at `sent_at`.
    fn is_due(&self, sent_at: Millis, now: Millis) -> bool {
        self.changed_at >= sent_at || now.since(sent_at) >= REPORTS_PERIOD_MS
    }
}

/// Times at which reports were last sent on a link, by the key of the sender's process.
#[derive(Clone, Debug, Default)]
pub struct ReportCursor {
    sent_at: HashMap<u32, Millis>,
}

/// Latest statement of an upstream about the rate that it takes.
#[derive(Clone, Copy, Debug)]
struct StatedRate {
    per_s: f32,
    stated_at: Millis,
}

/// Reports of other instances, which a delegate passes on.
#[derive(Debug, Default)]
pub struct ReportRelay {
    /// Reports by the key of the sender's process.
    kept: HashMap<u32, KeptReport>,
    /// Facts that were announced, and when they were last reported.
    announced: HashMap<Fact, Millis>,
    /// Stated rates that were announced, by the key of the upstream.
    rates: HashMap<u32, StatedRate>,
}

impl ReportRelay {
    /// Whether a report is newer than what is known of its process. The same one may come in several ways,
    /// and late.
    pub fn is_news(&self, report: &RelayedReport, now: Millis) -> bool {
        let Some(known) = self.kept.get(&report.key) else {
            return true;
        };
        let (known_at, made_at) = (known.report.made_at, report.made_at);
        if known_at == Millis::default() || made_at == Millis::default() {
            return report.age_ms < known.age_ms(now);
        }
        made_at > known_at
    }

    /// Keeps a report if it is news. Returns whether it states a fact that has to be announced.
    pub fn keep(&mut self, report: RelayedReport, now: Millis) -> bool {
        self.kept.retain(|_, kept| now.since(kept.at) <= KEPT_MS);
        if !self.is_news(&report, now) {
            return false;
        }
        let known = self.kept.get(&report.key);
        if report.is_empty() && known.is_none() {
            return false;
        }
        // Reports on limits count requests, so that each of them is news.
        let unchanged = known.filter(|known| {
            report.limits.is_empty() && !has_other_subjects(&known.report, &report)
        });
        let changed_at = unchanged.map_or(now, |known| known.changed_at);
        let is_urgent = self.announce_facts(&report, now);
        let kept = KeptReport {
            report,
            at: now,
            changed_at,
        };
        self.kept.insert(kept.report.key, kept);
        is_urgent
    }

    /// Records the facts of a report. Returns whether one of them has to be announced.
    fn announce_facts(&mut self, report: &RelayedReport, now: Millis) -> bool {
        self.announced
            .retain(|_, at| now.since(*at) <= ANNOUNCED_MS);
        let mut is_new = false;
        for fact in report.facts() {
            is_new |= self.announce(fact, now);
        }
        for (upstream, limit) in &report.limits {
            if let Some(age_ms) = limit.age_ms {
                let age_ms = u64::from(age_ms.saturating_add(report.age_ms));
                let rate = StatedRate {
                    per_s: limit.rate_per_s,
                    stated_at: Millis(now.0.saturating_sub(age_ms)),
                };
                is_new |= self.announce_rate(*upstream, rate);
            }
        }
        is_new
    }

    /// Records that an engine's process, given by its key, has crashed on a request of this instance.
    /// Returns whether it has to be announced.
    pub fn announce_crash(&mut self, engine: u32, now: Millis) -> bool {
        self.announced
            .retain(|_, at| now.since(*at) <= ANNOUNCED_MS);
        self.announce(Fact::Crash(engine), now)
    }

    /// Whether a fact is new. Beyond the limit of the table further facts wait for the next message.
    fn announce(&mut self, fact: Fact, now: Millis) -> bool {
        if let Some(reported_at) = self.announced.get_mut(&fact) {
            *reported_at = now;
            return false;
        }
        if self.announced.len() >= MAX_ANNOUNCED {
            return false;
        }
        self.announced.insert(fact, now);
        true
    }

    /// Whether an upstream has stated another rate since the last one that was announced.
    fn announce_rate(&mut self, upstream: u32, rate: StatedRate) -> bool {
        if self.rates.len() >= MAX_ANNOUNCED {
            self.rates.clear();
        }
        let known = self.rates.get(&upstream);
        if known.is_some_and(|known| rate.stated_at <= known.stated_at) {
            return false;
        }
        let is_other = known.is_none_or(|known| known.per_s.to_bits() != rate.per_s.to_bits());
        self.rates.insert(upstream, rate);
        is_other
    }

    /// Reports for the next message on a link, the one that waits longest first: those that have changed
    /// since they were last sent there, or were sent a while ago, since a datagram may be lost. `prepare`
    /// gives a report the form for this link, or leaves it out.
    pub fn reports(
        &self,
        cursor: &mut ReportCursor,
        prepare: impl Fn(&RelayedReport) -> Option<RelayedReport>,
        now: Millis,
    ) -> Vec<RelayedReport> {
        cursor.sent_at.retain(|key, _| self.kept.contains_key(key));
        let kept = self.kept.values();
        let recent =
            kept.filter(|kept| kept.age_ms(now) <= MAX_RELAYED_AGE_MS && !kept.report.is_empty());
        let mut due: Vec<(Option<Millis>, &KeptReport)> = recent
            .map(|kept| (cursor.sent_at.get(&kept.report.key).copied(), kept))
            .filter(|(sent_at, kept)| sent_at.is_none_or(|at| kept.is_due(at, now)))
            .collect();
        due.sort_by_key(|(sent_at, kept)| (*sent_at, kept.age_ms(now)));
        let mut reports = Vec::new();
        let mut bytes = 0;
        for (_, kept) in due {
            let Some(report) = prepare(&kept.report) else {
                continue;
            };
            bytes += report.estimated_bytes();
            if bytes > MAX_RELAYED_BYTES && !reports.is_empty() {
                break;
            }
            cursor.sent_at.insert(report.key, now);
            reports.push(report.aged(kept.kept_ms(now)));
        }
        reports
    }
}
