//! Counting calls.

use carobwheel_core::time::Millis;

/// Calls that a store has answered or failed to answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreCounts {
    /// Range requests.
    pub ranges: u64,
    /// Transactions and unconditional writes and deletions.
    pub writes: u64,
    /// Leases granted, renewed and revoked.
    pub leases: u64,
    /// Watches opened.
    pub watches: u64,
    /// Watches that wait now.
    pub open_watches: u64,
    /// Most reads, including opened watches, within one second of the store's clock.
    pub peak_reads_per_s: u64,
    /// Most writes, including those of leases, within one second of the store's clock.
    pub peak_writes_per_s: u64,
    second: u64,
    reads_in_second: u64,
    writes_in_second: u64,
}

impl StoreCounts {
    /// All calls.
    pub fn calls(&self) -> u64 {
        self.ranges + self.writes + self.leases + self.watches
    }

    pub(super) fn count_read(&mut self, now: Millis) {
        self.enter_second(now);
        self.reads_in_second += 1;
        self.peak_reads_per_s = self.peak_reads_per_s.max(self.reads_in_second);
    }

    pub(super) fn count_write(&mut self, now: Millis) {
        self.enter_second(now);
        self.writes_in_second += 1;
        self.peak_writes_per_s = self.peak_writes_per_s.max(self.writes_in_second);
    }

    fn enter_second(&mut self, now: Millis) {
        let second = now.0 / 1_000;
        if second != self.second {
            self.second = second;
            self.reads_in_second = 0;
            self.writes_in_second = 0;
        }
    }
}
