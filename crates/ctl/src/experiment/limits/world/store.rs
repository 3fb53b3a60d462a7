//! A fake of the store: records with revisions and compare-and-swap.

use carobwheel_core::id::RegionId;
use carobwheel_core::slot::{OwnershipRecord, OwnershipWrite};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A record with the revision of its last change; 0 if it was never written.
#[derive(Clone, Debug, Default)]
pub struct Versioned {
    /// Revision of the last change.
    pub revision: u64,
    /// The record.
    pub record: Rc<OwnershipRecord>,
}

/// The records of all regions.
#[derive(Debug, Default)]
pub struct Store {
    /// Calls do not get through.
    pub is_down: bool,
    /// Calls that took effect.
    pub calls: u64,
    /// Writes that took effect.
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

    /// Replaces the record of a region if it still has the revision that the write is based on.
    pub fn write(&mut self, region: &RegionId, write: &OwnershipWrite) {
        self.calls += 1;
        let entry = self.records.entry(region.clone()).or_default();
        if entry.revision != write.base_revision {
            return;
        }
        self.last_revision += 1;
        self.writes += 1;
        entry.revision = self.last_revision;
        entry.record = Rc::new(write.next.clone());
    }
}
