//! Reports of the holder of the duty: what is committed, what is confirmed, and what to do next.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, ops::Range, sync::Arc};

/// Time after the end of a window at which its counts are committed, in milliseconds. Counters reach the
/// holder within about 2 s, by way of one instance of their region.
const COMMIT_DELAY_MS: u64 = 3_000;
/// The same while a region has told nothing of the window. Leaves time for a few attempts to send the report
/// before it is due.
const MAX_COMMIT_DELAY_MS: u64 = 6_000;
/// Multiple of the time until a report is due after which its window is skipped.
const SKIP_FACTOR: u64 = 3;
/// Smallest number of windows before the current one whose counters are kept.
const MIN_KEPT_WINDOWS: u64 = 4;
/// Largest number of windows before the current one whose counters are kept.
const MAX_KEPT_WINDOWS: u64 = 120;
/// Time for which an instance has to collect counters before it commits any, in milliseconds. Other
/// instances tell a new collector what they keep within it.
const SETTLE_MS: u64 = 2_500;

/// Times of the reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTimes {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window until which its report is due, in milliseconds.
    pub late_ms: u64,
}

impl ReportTimes {
    /// Number of windows before the current one whose counters are kept: as long as they may be reported.
    pub fn kept_windows(self) -> u64 {
        let kept_ms = SKIP_FACTOR * self.late_ms + MAX_COMMIT_DELAY_MS;
        (kept_ms / self.window_ms.max(1) + 2).clamp(MIN_KEPT_WINDOWS, MAX_KEPT_WINDOWS)
    }
}

/// Requests of each account in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowReport {
    /// Window.
    pub window: u64,
    /// Requests by the name of the account.
    pub counts: BTreeMap<Arc<str>, u64>,
}

/// Content of the key that holds the committed windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredReports {
    /// First window that is not committed.
    pub next: u64,
    /// Committed windows whose report may not have arrived, oldest first.
    pub open: Vec<WindowReport>,
}

/// What the holder has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportStep {
    /// Read the committed windows.
    Read,
    /// Write these committed windows in place of those that were read last.
    Commit(StoredReports),
    /// Send this report.
    Send(WindowReport),
    /// Nothing, yet.
    Wait,
}

/// What the holder knows when it decides on the next step.
pub struct ReportInput<'a> {
    /// True time, in milliseconds since the start of 1970.
    pub true_ms: u64,
    /// Time since which this instance collects counters, in milliseconds since the start of 1970.
    pub collects_since_ms: u64,
    /// Whether all regions have told their counts of a window.
    pub is_complete: &'a dyn Fn(u64) -> bool,
    /// Counts of a window by the name of the account.
    pub totals: &'a dyn Fn(u64) -> BTreeMap<Arc<str>, u64>,
}

/// Reports of one instance over all its terms as the holder.
///
/// Only committed counts are sent. A window is committed once, on condition that no other holder has
/// committed since, so that each report has the same bytes whoever sends it.
#[derive(Clone, Debug)]
pub struct ReportLog {
    times: ReportTimes,
    stored: Option<StoredReports>,
    /// What this instance has committed or read last, in any of its terms.
    committed: StoredReports,
    /// First window that this instance has not reported.
    reported_before: u64,
    /// First window that no holder is known to have committed.
    committed_before: u64,
    skipped: Vec<u64>,
}

impl ReportLog {
    /// Log of an instance that knows of no report.
    pub const fn new(times: ReportTimes) -> Self {
        Self {
            times,
            stored: None,
            committed: StoredReports {
                next: 0,
                open: Vec::new(),
            },
            reported_before: 0,
            committed_before: 0,
            skipped: Vec::new(),
        }
    }

    /// First window that no holder is known to have committed.
    pub const fn committed_before(&self) -> u64 {
        self.committed_before
    }

    /// Records what another instance knows of the commits. Protects from a store that has lost the latest
    /// ones: windows that may have been reported are not reported with other counts.
    pub fn note_committed_before(&mut self, window: u64) {
        self.committed_before = self.committed_before.max(window);
    }

    /// Forgets what was read: at the start of a term, and if a commit failed or has no known outcome.
    pub fn forget_stored(&mut self) {
        self.stored = None;
    }

    /// Records what was read, `None` if the key does not exist. Reports then start with `first`. If the store
    /// has lost commits, those of this instance are taken from its memory, and the windows of others are
    /// skipped: their counts are not known.
    pub fn read(&mut self, stored: Option<StoredReports>, first: u64) {
        let mut stored = stored.unwrap_or(StoredReports {
            next: first,
            open: Vec::new(),
        });
        if self.committed.next > stored.next {
            stored = self.committed.clone();
        } else {
            self.committed = stored.clone();
        }
        if self.committed_before > stored.next {
            note_skipped(&mut self.skipped, stored.next..self.committed_before);
            stored.next = self.committed_before;
        }
        self.note_committed_before(stored.next);
        let reported_before = self.reported_before;
        stored
            .open
            .retain(|report| report.window >= reported_before);
        self.stored = Some(stored);
    }

    /// Records that the windows of [`ReportStep::Commit`] were written.
    pub fn committed(&mut self, stored: StoredReports) {
        self.note_committed_before(stored.next);
        self.committed = stored.clone();
        self.stored = Some(stored);
    }

    /// Records that the report of a window has arrived. Reports are sent in their order.
    pub fn confirmed(&mut self, window: u64) {
        self.reported_before = self.reported_before.max(window + 1);
        if let Some(stored) = &mut self.stored {
            stored.open.retain(|report| report.window != window);
        }
    }

    /// Windows that were skipped since the last call.
    pub fn take_skipped(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.skipped)
    }

    /// Whether the report of a window is late at `true_ms`.
    pub fn is_late(&self, window: u64, true_ms: u64) -> bool {
        true_ms > self.end_ms(window).saturating_add(self.times.late_ms)
    }

    /// What to do next: windows that are due are committed at once, so that a holder that has much to catch
    /// up writes once.
    pub fn next_step(&mut self, input: &ReportInput<'_>) -> ReportStep {
        self.skip_old(input.true_ms);
        let Some(stored) = &self.stored else {
            return ReportStep::Read;
        };
        if let Some(report) = stored.open.first() {
            return ReportStep::Send(report.clone());
        }
        let mut next = stored.clone();
        while self.is_committable(next.next, input) {
            next.open.push(WindowReport {
                window: next.next,
                counts: (input.totals)(next.next),
            });
            next.next += 1;
        }
        if next.open.is_empty() {
            return ReportStep::Wait;
        }
        ReportStep::Commit(next)
    }

    fn is_committable(&self, window: u64, input: &ReportInput<'_>) -> bool {
        let ended_ms = input.true_ms.checked_sub(self.end_ms(window));
        let collects_ms = input.true_ms.saturating_sub(input.collects_since_ms);
        let Some(ended_ms) = ended_ms.filter(|_| collects_ms >= SETTLE_MS) else {
            return false;
        };
        ended_ms >= MAX_COMMIT_DELAY_MS
            || (ended_ms >= COMMIT_DELAY_MS && (input.is_complete)(window))
    }

    const fn end_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.times.window_ms)
    }

    /// Skips the windows whose reports would come far too late.
    fn skip_old(&mut self, true_ms: u64) {
        let max_age_ms = SKIP_FACTOR * self.times.late_ms;
        let first = true_ms.saturating_sub(max_age_ms) / self.times.window_ms;
        let Some(stored) = &mut self.stored else {
            return;
        };
        let (old, open) = std::mem::take(&mut stored.open)
            .into_iter()
            .partition(|report| report.window < first);
        stored.open = open;
        let old: Vec<WindowReport> = old;
        self.skipped.extend(old.iter().map(|report| report.window));
        if stored.next < first {
            note_skipped(&mut self.skipped, stored.next..first);
            stored.next = first;
        }
    }
}

/// Notes skipped windows, of a long gap only the latest ones: each of them is a line of the log.
fn note_skipped(skipped: &mut Vec<u64>, windows: Range<u64>) {
    let first = windows.end.saturating_sub(MAX_KEPT_WINDOWS);
    skipped.extend(windows.start.max(first)..windows.end);
}
