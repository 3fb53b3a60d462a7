//! Times of the first outputs that this instance has seen, by part.

use super::PartId;
use crate::time::Millis;
use std::collections::HashMap;

/// Number of parts in each of the two generations.
pub(super) const GENERATION_PARTS: usize = 4_096;

/// Last answers of the most recently answered parts. Two generations bound the memory: when the
/// young one is full, it replaces the old one.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    young: HashMap<PartId, Millis>,
    old: HashMap<PartId, Millis>,
}

impl RecentAnswers {
    pub(super) fn insert(&mut self, part: PartId, now: Millis) {
        if let Some(at) = self.young.get_mut(&part) {
            *at = now;
            return;
        }
        if self.young.len() >= GENERATION_PARTS {
            std::mem::swap(&mut self.young, &mut self.old);
            self.young.clear();
        }
        self.young.insert(part, now);
    }

    pub(super) fn last(&self, part: PartId) -> Option<Millis> {
        self.young
            .get(&part)
            .or_else(|| self.old.get(&part))
            .copied()
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
