//! Times of crashes, in groups of those that happened together.

use crate::time::Millis;

/// Crashes less than this after the first of a group belong to the group, in milliseconds: engines
/// that are stopped together count once.
pub(super) const GROUP_MS: u64 = 200;

/// Sorted times of crashes, and the starts of their groups.
pub(super) struct CrashTimes {
    pub(super) times: Vec<Millis>,
    pub(super) groups: Vec<Millis>,
}

impl CrashTimes {
    pub(super) fn new(mut times: Vec<Millis>) -> Self {
        times.sort_unstable();
        let mut groups: Vec<Millis> = Vec::new();
        for at in &times {
            if groups
                .last()
                .is_none_or(|start| at.since(*start) >= GROUP_MS)
            {
                groups.push(*at);
            }
        }
        Self { times, groups }
    }

    /// Number of groups that start at `at` or later, or less than a group's length before.
    pub(super) fn groups_since(&self, at: Millis) -> u32 {
        let before = |start: &Millis| start.plus(GROUP_MS) <= at;
        (self.groups.len() - self.groups.partition_point(before)) as u32
    }

    /// Sum over the groups, in thousandths, of the share that these crashes have in all crashes
    /// around the group.
    pub(super) fn weight_among(&self, all: &Self) -> u32 {
        let share = |start: &Millis| {
            let these = self.around(*start);
            1_000 * these / all.around(*start).max(these).max(1)
        };
        self.groups.iter().map(share).sum::<usize>() as u32
    }

    /// Number of crashes in a group or less than a group's length before or after it.
    fn around(&self, start: Millis) -> usize {
        let from = Millis(start.0.saturating_sub(GROUP_MS));
        let until = start.plus(2 * GROUP_MS);
        let first = self.times.partition_point(|at| *at < from);
        self.times.partition_point(|at| *at < until) - first
    }
}
