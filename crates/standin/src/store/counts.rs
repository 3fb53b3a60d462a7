//! Counters of calls.

use carobwheel_core::time::Millis;

/// Counters of the calls that a store received, including failed ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreCounts {
    /// Number of range requests.
    pub ranges: u64,
    /// Number of transactions and unconditional writes and deletions.
    pub writes: u64,
    /// Number of calls that grant, renew or revoke a lease.
    pub leases: u64,
    /// Number of watches opened so far.
    pub watches: u64,
    /// Number of watches open now.
    pub open_watches: u64,
    /// Maximum number of reads, including opened watches, within one second of the store's clock.
    pub peak_reads_per_s: u64,
    /// Maximum number of writes, including lease calls, within one second of the store's clock.
    pub peak_writes_per_s: u64,
    current_second: u64,
    reads_in_second: u64,
    writes_in_second: u64,
}

impl StoreCounts {
    /// Total number of calls.
    pub fn calls(&self) -> u64 {
        self.ranges + self.writes + self.leases + self.watches
    }

    pub(super) fn count_read(&mut self, now: Millis) {
        self.start_second(now);
        self.reads_in_second += 1;
        self.peak_reads_per_s = self.peak_reads_per_s.max(self.reads_in_second);
    }

    pub(super) fn count_write(&mut self, now: Millis) {
        self.start_second(now);
        self.writes_in_second += 1;
        self.peak_writes_per_s = self.peak_writes_per_s.max(self.writes_in_second);
    }

    /// Resets the counters of the current second when a new second has begun.
    fn start_second(&mut self, now: Millis) {
        let second = now.0 / 1_000;
        if second != self.current_second {
            self.current_second = second;
            self.reads_in_second = 0;
            self.writes_in_second = 0;
        }
    }
}
