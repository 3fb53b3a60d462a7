//! Whether this instance may perform duties.

use super::Node;
use crate::duty::DutyKind;
use carobwheel_core::duty::Candidacy;
use std::collections::BTreeSet;

impl Node {
    /// Whether this instance may hold a duty, and how many others are preferred to it. Candidates are the
    /// instances that watch the store for their region.
    pub fn duty_candidacy(&self, kind: DutyKind) -> Candidacy {
        let now = self.now();
        let state = self.state.borrow();
        let own = self.as_peer();
        let is_running = state.leaving_at.is_none()
            && state.members.has_joined(now)
            && state.store_lost_at.is_none();
        let preferred = state.members.preferred_count(own, now) as u64;
        let (rank, region) = match kind {
            DutyKind::UsageReport => (self.rank_in_fleet(preferred), None),
            DutyKind::Autoscale | DutyKind::Unknown => (preferred, Some(&*self.region)),
        };
        Candidacy {
            is_candidate: is_running && state.members.is_watcher(own, now),
            rank,
            has_others: state.members.has_other_with_store(region, now),
        }
    }

    /// Rank among the candidates of all regions: the first ones of each region precede the second ones.
    fn rank_in_fleet(&self, rank_in_region: u64) -> u64 {
        let regions: BTreeSet<&String> = self.settings.regions.values().collect();
        let before = regions
            .iter()
            .take_while(|region| region.as_str() != &*self.region);
        rank_in_region * regions.len() as u64 + before.count() as u64
    }
}
