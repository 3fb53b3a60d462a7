//! Counters of requests by window, origin and account.

use super::ReportTimes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of windows after the current one that are accepted: the clocks of instances differ.
const FUTURE_WINDOWS: u64 = 2;
/// Largest number of entries that are kept (one for each window, source and account), about 12 bytes each.
/// Bounds the memory that messages can take.
const MAX_ENTRIES: usize = 300_000;

/// Requests by hash of the account's name. All values are above 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    by_account: BTreeMap<u32, u32>,
    total: u64,
}

impl Counts {
    /// Counts of these accounts.
    pub fn new(accounts: impl IntoIterator<Item = (u32, u32)>) -> Self {
        let mut counts = Self::default();
        for (account, count) in accounts {
            counts.raise(account, count);
        }
        counts
    }

    /// Accounts with their counts, in the order of their hashes.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.by_account
            .iter()
            .map(|(account, count)| (*account, *count))
    }

    /// Number of accounts.
    pub fn len(&self) -> usize {
        self.by_account.len()
    }

    /// Whether there is no account.
    pub fn is_empty(&self) -> bool {
        self.by_account.is_empty()
    }

    /// Sum over all accounts. Since counts only rise, it tells two states of a counter apart.
    pub const fn total(&self) -> u64 {
        self.total
    }

    fn add(&mut self, account: u32, count: u32) {
        let known = self.by_account.entry(account).or_default();
        let before = *known;
        *known = known.saturating_add(count);
        self.total += u64::from(*known - before);
    }

    /// Raises the count of an account to `count` if it is lower. Returns whether it was.
    fn raise(&mut self, account: u32, count: u32) -> bool {
        if count == 0 {
            return false;
        }
        let known = self.by_account.entry(account).or_default();
        if count <= *known {
            return false;
        }
        self.total += u64::from(count - *known);
        *known = count;
        true
    }

    fn raise_all(&mut self, other: &Self) -> bool {
        let mut is_changed = false;
        for (account, count) in other.iter() {
            is_changed |= self.raise(account, count);
        }
        is_changed
    }
}

/// What a counter covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// Requests that one process has sent, by the hash of its name and start time.
    Process(u32),
    /// Requests of all instances of a region, by the hash of its name. Several instances add them up, each
    /// from what it has heard, so that the highest of their counts is the best one.
    Region(u32),
}

/// Counters of this process and those that others have told, by window.
///
/// Window `k` begins `k` times the window's length after the start of 1970. Counters only rise: of two
/// copies the higher count of each account holds, so that copies may come twice and in any order.
#[derive(Clone, Debug)]
pub struct UsageTable {
    process: u32,
    region: u32,
    window_ms: u64,
    windows: BTreeMap<u64, BTreeMap<Source, Counts>>,
    /// Current window.
    current: u64,
    kept_windows: u64,
    left_out: u64,
}

impl UsageTable {
    /// Empty table of a process in a region, both given by their hashes.
    pub fn new(process: u32, region: u32, times: ReportTimes) -> Self {
        Self {
            process,
            region,
            window_ms: times.window_ms.max(1),
            kept_windows: times.kept_windows(),
            windows: BTreeMap::new(),
            current: 0,
            left_out: 0,
        }
    }

    /// Counter of this process.
    pub const fn own_source(&self) -> Source {
        Source::Process(self.process)
    }

    /// Sum of the own region.
    pub const fn own_region(&self) -> Source {
        Source::Region(self.region)
    }

    /// Length of a window, in milliseconds.
    pub const fn window_ms(&self) -> u64 {
        self.window_ms
    }

    /// Window that contains a point of true time, in milliseconds since the start of 1970.
    pub const fn window_at(&self, true_ms: u64) -> u64 {
        true_ms / self.window_ms
    }

    /// End of a window, in milliseconds since the start of 1970.
    pub const fn end_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.window_ms)
    }

    /// Sets the current time and drops the windows that are too old. Has to be called in each window.
    pub fn advance(&mut self, true_ms: u64) {
        self.current = self.window_at(true_ms);
        let first = self.current.saturating_sub(self.kept_windows);
        self.windows = self.windows.split_off(&first);
        self.windows.entry(self.current).or_default();
    }

    /// Counts a request of the account that began to run at `true_ms`.
    pub fn record(&mut self, account: u32, true_ms: u64) {
        self.advance(true_ms);
        let own = self.own_source();
        let window = self.windows.entry(self.current).or_default();
        window.entry(own).or_default().add(account, 1);
    }

    /// Merges a copy of a counter. Returns whether it changed the table. The counter of this process is not
    /// taken from others, and neither are windows outside those that are kept.
    pub fn merge(&mut self, window: u64, source: Source, counts: &Counts) -> bool {
        let first = self.current.saturating_sub(self.kept_windows);
        let is_kept = (first..=self.current + FUTURE_WINDOWS).contains(&window);
        if !is_kept || source == self.own_source() {
            return false;
        }
        if self.counters() + counts.len() > MAX_ENTRIES {
            self.left_out += 1;
            return false;
        }
        let sources = self.windows.entry(window).or_default();
        let is_new = !sources.contains_key(&source);
        sources.entry(source).or_default().raise_all(counts) || is_new
    }

    /// Number of copies of counters that were left out because the table was full.
    pub const fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Number of entries: one for each window, source and account.
    pub fn counters(&self) -> usize {
        let sources = self.windows.values().flat_map(BTreeMap::values);
        sources.map(Counts::len).sum()
    }

    /// Current window.
    pub const fn current(&self) -> u64 {
        self.current
    }

    /// Windows that are kept and have ended, oldest first; also those without a request.
    pub fn closed_windows(&self) -> impl Iterator<Item = u64> + '_ {
        self.windows
            .range(..self.current)
            .map(|(window, _)| *window)
    }

    /// Oldest window that is kept.
    pub fn first_window(&self) -> Option<u64> {
        self.windows.keys().next().copied()
    }

    /// Counter of a window.
    pub fn counts(&self, window: u64, source: Source) -> Option<&Counts> {
        self.windows.get(&window)?.get(&source)
    }

    /// Requests of the own region in a window: the sum over its processes, or what another instance has
    /// summed where that is higher.
    pub fn region_counts(&self, window: u64) -> Counts {
        let mut sum = Counts::default();
        let Some(sources) = self.windows.get(&window) else {
            return sum;
        };
        for (source, counts) in sources {
            if matches!(source, Source::Process(_)) {
                for (account, count) in counts.iter() {
                    sum.add(account, count);
                }
            }
        }
        if let Some(told) = sources.get(&self.own_region()) {
            sum.raise_all(told);
        }
        sum
    }

    /// Regions other than the own one whose sums of a window are known.
    pub fn other_regions(&self, window: u64) -> impl Iterator<Item = (u32, &Counts)> + '_ {
        let sources = self.windows.get(&window).into_iter().flatten();
        sources.filter_map(|(source, counts)| match source {
            Source::Region(region) if *region != self.region => Some((*region, counts)),
            Source::Region(_) | Source::Process(_) => None,
        })
    }

    /// Requests of a window over all regions, by hash of the account's name.
    pub fn totals(&self, window: u64) -> BTreeMap<u32, u64> {
        let mut totals: BTreeMap<u32, u64> = BTreeMap::new();
        let own = self.region_counts(window);
        let others = self.other_regions(window).map(|(_, counts)| counts);
        for counts in others.chain([&own]) {
            for (account, count) in counts.iter() {
                *totals.entry(account).or_default() += u64::from(count);
            }
        }
        totals
    }
}
