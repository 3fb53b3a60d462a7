//! Communication between regions: delegates, contacts, heartbeats and reachability.

use super::table::{hash_pair, region_key, Member};
use super::{
    MemberEvent, MemberState, Members, RegionHeartbeat, REGION_PERIOD_MS, REGION_TIMEOUT_MS,
    UNREACHABLE_REGION_PERIOD_MS,
};
use crate::id::{InstanceId, RegionId};
use crate::time::Millis;
use rand::Rng;
use std::collections::BTreeMap;

/// Number of instances of a region that send packets to one other region.
const DELEGATES_PER_REGION: usize = 2;
/// Number of members of another region that a delegate normally chooses from.
const PREFERRED_CONTACTS: usize = 3;
/// Time for which a contact that did not respond is avoided, in milliseconds.
const CONTACT_AVOID_MS: u64 = 30_000;
/// Maximum number of heartbeats in one packet beyond those of the sender's and receiver's regions.
const MAX_OTHER_HEARTBEATS: usize = 10;

/// Heartbeat and reachability of one region.
#[derive(Clone, Debug)]
struct RegionState {
    counter: u64,
    last_seen_at: Millis,
    next_probe_at: Millis,
    is_unreachable: bool,
}

/// States of all known regions, and contacts that failed recently.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions {
    states: BTreeMap<RegionId, RegionState>,
    failed_at: BTreeMap<InstanceId, Millis>,
}

impl Regions {
    fn entry(&mut self, region: &RegionId, now: Millis) -> &mut RegionState {
        self.states.entry(region.clone()).or_insert(RegionState {
            counter: 0,
            last_seen_at: now,
            next_probe_at: now,
            is_unreachable: false,
        })
    }

    /// Adds the region of a member, unless it is the own one.
    pub(super) fn note_region(&mut self, region: &RegionId, own: &RegionId, now: Millis) {
        if region != own {
            self.entry(region, now);
        }
    }

    /// Increments the heartbeat counter of the own region; called once per period.
    pub(super) fn advance_own(&mut self, own: &RegionId, now: Millis) {
        self.entry(own, now).counter += 1;
    }

    /// Records the arrival of a packet from a member of `region`.
    pub(super) fn record_packet(&mut self, region: &RegionId, now: Millis) {
        self.entry(region, now).last_seen_at = now;
    }

    pub(super) fn merge_heartbeat(&mut self, heartbeat: RegionHeartbeat, now: Millis) {
        let is_same = |region: &RegionId| region_key(region) == heartbeat.region_key;
        let known = self.states.iter_mut().find(|(region, _)| is_same(region));
        if let Some((_, state)) = known {
            if heartbeat.counter > state.counter {
                state.counter = heartbeat.counter;
                state.last_seen_at = now;
            }
        }
    }

    pub(super) fn is_reachable(&self, region: &RegionId) -> bool {
        self.states
            .get(region)
            .is_some_and(|state| !state.is_unreachable)
    }

    pub(super) fn silent_ms(&self, region: &RegionId, now: Millis) -> u64 {
        let state = self.states.get(region);
        state.map_or(0, |state| now.since(state.last_seen_at))
    }

    pub(super) fn reset_silence(&mut self, now: Millis) {
        for state in self.states.values_mut() {
            state.last_seen_at = now;
        }
    }

    /// Records that a contact in another region did not respond.
    pub(super) fn note_failure(&mut self, instance: &InstanceId, now: Millis) {
        self.failed_at.insert(instance.clone(), now);
        self.failed_at
            .retain(|_, at| now.since(*at) < CONTACT_AVOID_MS);
    }

    fn is_avoided(&self, instance: &InstanceId, now: Millis) -> bool {
        self.failed_at
            .get(instance)
            .is_some_and(|at| now.since(*at) < CONTACT_AVOID_MS)
    }
}

impl Members {
    /// Picks the heartbeats for a packet to a member of region `receiver`: those of that region, the
    /// own region and a few random others.
    pub(super) fn pick_heartbeats(&mut self, receiver: Option<&RegionId>) -> Vec<RegionHeartbeat> {
        let own = &self.own_region;
        let is_first = |region: &RegionId| region == own || Some(region) == receiver;
        let (mut picked, mut others): (Vec<_>, Vec<_>) =
            self.regions.states.iter().partition(|(r, _)| is_first(r));
        for _ in 0..MAX_OTHER_HEARTBEATS.min(others.len()) {
            let at = self.rng.random_range(0..others.len());
            picked.push(others.swap_remove(at));
        }
        let to_heartbeat = |(region, state): (&RegionId, &RegionState)| RegionHeartbeat {
            region_key: region_key(region),
            counter: state.counter,
        };
        picked.into_iter().map(to_heartbeat).collect()
    }

    /// Reports regions that became unreachable or reachable again.
    pub(super) fn check_regions(&mut self, now: Millis) {
        let mut events = Vec::new();
        for (region, state) in &mut self.regions.states {
            let is_silent =
                *region != self.own_region && now.since(state.last_seen_at) >= REGION_TIMEOUT_MS;
            if is_silent == state.is_unreachable {
                continue;
            }
            state.is_unreachable = is_silent;
            let region = region.clone();
            events.push(if is_silent {
                MemberEvent::RegionSilent { region }
            } else {
                MemberEvent::RegionBack { region }
            });
        }
        for event in events {
            self.report(event);
        }
    }

    /// Probes a contact in each region that this instance is a delegate for, if a probe is due.
    pub(super) fn send_to_regions(&mut self, now: Millis) {
        for region in self.delegated_regions() {
            let jitter_ms = self.rng.random_range(0..REGION_PERIOD_MS / 4);
            let state = self.regions.entry(&region, now);
            if now < state.next_probe_at {
                continue;
            }
            let period_ms = if state.is_unreachable {
                UNREACHABLE_REGION_PERIOD_MS
            } else {
                REGION_PERIOD_MS
            };
            state.next_probe_at = now.plus(period_ms - REGION_PERIOD_MS / 8 + jitter_ms);
            if let Some(target) = self.contact_in(&region, now) {
                self.start_probe(&target, None, now);
            }
        }
    }

    /// Returns one contact in each region that this instance is a delegate for.
    pub(super) fn delegate_targets(&mut self, now: Millis) -> Vec<InstanceId> {
        let regions = self.delegated_regions();
        regions
            .iter()
            .filter_map(|region| self.contact_in(region, now))
            .collect()
    }

    /// Returns the other regions that this instance is a delegate for.
    fn delegated_regions(&self) -> Vec<RegionId> {
        let others = self
            .regions()
            .into_iter()
            .filter(|r| **r != self.own_region);
        others
            .filter(|region| self.is_delegate(region))
            .cloned()
            .collect()
    }

    fn is_delegate(&self, region: &RegionId) -> bool {
        let rank = |m: &Member| hash_pair(region.as_str(), m.identity.instance.as_str());
        let own_rank = rank(self.own_member());
        let is_candidate = |m: &&Member| m.state() == MemberState::Alive;
        let ahead = self
            .table
            .present_in(&self.own_region)
            .filter(is_candidate)
            .filter(|m| m.identity.instance != self.own && rank(m) < own_rank);
        ahead.count() < DELEGATES_PER_REGION
    }

    /// Picks a member of `region` to contact: one of a few preferred members that rarely change, so
    /// that links are reused, or any known member if the region is unreachable.
    fn contact_in(&mut self, region: &RegionId, now: Millis) -> Option<InstanceId> {
        let own_region = self.own_region.as_str();
        let rank = |m: &&Member| hash_pair(own_region, m.identity.instance.as_str());
        let mut preferred: Vec<&Member> = self
            .table
            .present_in(region)
            .filter(|m| !self.regions.is_avoided(&m.identity.instance, now))
            .collect();
        preferred.sort_by_key(rank);
        preferred.truncate(PREFERRED_CONTACTS);
        let contacts = if preferred.is_empty() || !self.regions.is_reachable(region) {
            let members = self.table.members.values();
            members.filter(|m| m.identity.region == *region).collect()
        } else {
            preferred
        };
        if contacts.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..contacts.len());
        Some(contacts[at].identity.instance.clone())
    }
}
