//! Recent changes and how often each was passed on.

use crate::id::InstanceId;
use std::collections::BTreeMap;

/// What changed about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Change {
    /// The whole record is news.
    Record,
    /// The status is news.
    Status,
    /// The revision is news.
    Revision,
    /// One entry is news.
    Entry(u8),
}

/// Changes that are still passed on, each with the number of times it was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    sent: BTreeMap<(InstanceId, Change), u32>,
}

impl Rumors {
    /// Begins to pass on a change, or begins again if a newer one replaced it.
    pub(super) fn add(&mut self, instance: &InstanceId, change: Change) {
        if change == Change::Record {
            self.sent.remove(&(instance.clone(), Change::Status));
            self.sent.remove(&(instance.clone(), Change::Revision));
        }
        self.sent.insert((instance.clone(), change), 0);
    }

    /// Changes for which `is_wanted` holds, the least often sent first.
    pub(super) fn least_sent(
        &self,
        is_wanted: impl Fn(&Change) -> bool,
    ) -> Vec<(InstanceId, Change)> {
        let mut found: Vec<_> = self
            .sent
            .iter()
            .filter(|((_, change), _)| is_wanted(change))
            .collect();
        found.sort_by_key(|(_, sent)| **sent);
        found.into_iter().map(|(key, _)| key.clone()).collect()
    }

    /// Counts one more transmission, and drops the change after `max_sent` of them.
    pub(super) fn mark_sent(&mut self, instance: &InstanceId, change: Change, max_sent: u32) {
        let key = (instance.clone(), change);
        let Some(sent) = self.sent.get_mut(&key) else {
            return;
        };
        *sent += 1;
        if *sent >= max_sent {
            self.sent.remove(&key);
        }
    }

    /// Drops all changes about a member.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.sent.retain(|(origin, _), _| origin != instance);
    }
}
