//! Number of sends that wait for their first output, by part.

use super::PartId;
use std::collections::HashMap;

/// Counts of the parts of sends that wait for their first output; other parts have no entry.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    counts: HashMap<PartId, u32>,
}

impl InFlight {
    pub(super) fn add(&mut self, parts: &[PartId]) {
        for part in parts {
            *self.counts.entry(*part).or_default() += 1;
        }
    }

    pub(super) fn remove(&mut self, parts: &[PartId]) {
        for part in parts {
            if let Some(count) = self.counts.get_mut(part) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(part);
                }
            }
        }
    }

    pub(super) fn contains(&self, part: PartId) -> bool {
        self.counts.contains_key(&part)
    }

    pub(super) fn len(&self) -> usize {
        self.counts.len()
    }
}
