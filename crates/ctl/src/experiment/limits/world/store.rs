//! Fake store: ownership records with revisions and compare-and-swap.

use carobwheel_core::id::RegionId;
use carobwheel_core::slot::{OwnershipRecord, OwnershipWrite};
use std::collections::BTreeMap;
use std::rc::Rc;

/// An ownership record with its revision.
#[derive(Clone, Debug, Default)]
pub struct Versioned {
    /// Revision of the last change; 0 if the record was never written.
    pub revision: u64,
    /// The record.
    pub record: Rc<OwnershipRecord>,
}

/// The ownership records of all regions.
#[derive(Debug, Default)]
pub struct Store {
    /// The store is unavailable: calls do not reach it.
    pub is_down: bool,
    /// Number of calls executed.
    pub calls: u64,
    /// Number of writes whose compare-and-swap succeeded.
    pub writes: u64,
    last_revision: u64,
    records: BTreeMap<RegionId, Versioned>,
}

impl Store {
    /// Reads the record of a region.
    pub fn read(&mut self, region: &RegionId) -> Versioned {
        self.calls += 1;
        self.records.get(region).cloned().unwrap_or_default()
    }

    /// Replaces the record of a region if its revision is still the base revision of the write.
    pub fn write(&mut self, region: &RegionId, write: &OwnershipWrite) {
        self.calls += 1;
        let versioned = self.records.entry(region.clone()).or_default();
        if versioned.revision != write.base_revision {
            return;
        }
        self.last_revision += 1;
        self.writes += 1;
        versioned.revision = self.last_revision;
        versioned.record = Rc::new(write.next.clone());
    }
}
