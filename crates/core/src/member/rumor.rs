//! Recent changes that are still gossiped, with transmission counts.

use super::entry::is_fleet_topic;
use crate::id::InstanceId;
use std::collections::BTreeMap;

/// Number of consecutive equal table hashes after which changes are no longer gossiped.
const EQUAL_TABLES_TO_STOP: u32 = 6;

/// Part of a member's state that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Change {
    /// The whole record.
    Record,
    /// The status.
    Status,
    /// The revision.
    Revision,
    /// The entry of a topic.
    Entry(u8),
}

/// Changes that are still gossiped, each with the number of transmissions.
#[derive(Clone, Debug, Default)]
pub(super) struct Rumors {
    sent: BTreeMap<(InstanceId, Change), u32>,
    /// Consecutive equal table hashes received since the latest change or different hash.
    equal_tables: u32,
}

impl Rumors {
    /// Starts to gossip a change; resets its transmission count if it is present already.
    pub(super) fn add(&mut self, instance: &InstanceId, change: Change) {
        if change == Change::Record {
            self.sent.remove(&(instance.clone(), Change::Status));
            self.sent.remove(&(instance.clone(), Change::Revision));
        }
        self.sent.insert((instance.clone(), change), 0);
        self.equal_tables = 0;
    }

    /// Returns the changes for which `is_wanted` holds, those with the fewest transmissions first.
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

    /// Records that a member's table differs from the own one.
    pub(super) fn note_different_table(&mut self) {
        self.equal_tables = 0;
    }

    /// Records that a member's table equals the own one. After several in a row the changes have
    /// most likely reached all members, and are dropped.
    pub(super) fn note_equal_table(&mut self) {
        self.equal_tables += 1;
        if self.equal_tables >= EQUAL_TABLES_TO_STOP {
            self.forget_hashed();
        }
    }

    /// Drops all changes that the hash of the table covers.
    fn forget_hashed(&mut self) {
        let is_hashed = |change: &Change| match change {
            Change::Record | Change::Status | Change::Revision => true,
            Change::Entry(topic) => is_fleet_topic(*topic),
        };
        self.sent.retain(|(_, change), _| !is_hashed(change));
    }

    /// Drops all changes about a member.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.sent.retain(|(origin, _), _| origin != instance);
    }
}
