//! Links between regions: who keeps them, and whether a region is still heard.

use super::table::{hash_pair, region_key, Member};
use super::{
    MemberEvent, MemberState, Members, RegionHeartbeat, REGION_PERIOD_MS, REGION_TIMEOUT_MS,
    UNREACHABLE_REGION_PERIOD_MS,
};
use crate::id::{InstanceId, RegionId};
use crate::time::Millis;
use rand::Rng;
use std::collections::BTreeMap;

/// Instances of a region that keep the contact to one other region.
const DELEGATES: usize = 2;
/// Members of the other region that a delegate turns to in the first place.
const CONTACTS: usize = 3;
/// Time for which a contact that did not answer is avoided, in milliseconds.
const AVOID_MS: u64 = 30_000;
/// Counters of other regions in one packet, beside those of sender and receiver.
const BEATS_OF_OTHERS: usize = 10;

/// What is known about one region.
#[derive(Clone, Debug)]
struct News {
    counter: u64,
    heard_at: Millis,
    due_at: Millis,
    is_silent: bool,
}

/// News of all regions.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions {
    news: BTreeMap<RegionId, News>,
    failed_at: BTreeMap<InstanceId, Millis>,
}

impl Regions {
    fn entry(&mut self, region: &RegionId, now: Millis) -> &mut News {
        self.news.entry(region.clone()).or_insert(News {
            counter: 0,
            heard_at: now,
            due_at: now,
            is_silent: false,
        })
    }

    /// Makes a region known that a member stands in.
    pub(super) fn note_region(&mut self, region: &RegionId, own: &RegionId, now: Millis) {
        if region != own {
            self.entry(region, now);
        }
    }

    /// Counts one period of the own region.
    pub(super) fn advance_own(&mut self, own: &RegionId, now: Millis) {
        self.entry(own, now).counter += 1;
    }

    /// Notes a packet from a member of `region`.
    pub(super) fn hear(&mut self, region: &RegionId, now: Millis) {
        self.entry(region, now).heard_at = now;
    }

    pub(super) fn merge_heartbeat(&mut self, heartbeat: RegionHeartbeat, now: Millis) {
        let is_same = |region: &RegionId| region_key(region) == heartbeat.region_key;
        let known = self.news.iter_mut().find(|(region, _)| is_same(region));
        if let Some((_, news)) = known {
            if heartbeat.counter > news.counter {
                news.counter = heartbeat.counter;
                news.heard_at = now;
            }
        }
    }

    pub(super) fn is_heard(&self, region: &RegionId) -> bool {
        self.news.get(region).is_some_and(|news| !news.is_silent)
    }

    pub(super) fn silent_ms(&self, region: &RegionId, now: Millis) -> u64 {
        let news = self.news.get(region);
        news.map_or(0, |news| now.since(news.heard_at))
    }

    pub(super) fn forgive_pause(&mut self, now: Millis) {
        for news in self.news.values_mut() {
            news.heard_at = now;
        }
    }

    /// Notes that a contact in another region did not answer.
    pub(super) fn note_failure(&mut self, instance: &InstanceId, now: Millis) {
        self.failed_at.insert(instance.clone(), now);
        self.failed_at.retain(|_, at| now.since(*at) < AVOID_MS);
    }

    fn is_avoided(&self, instance: &InstanceId, now: Millis) -> bool {
        self.failed_at
            .get(instance)
            .is_some_and(|at| now.since(*at) < AVOID_MS)
    }
}

impl Members {
    /// Counters for a packet to a member of `receiver`'s region: its own, ours and a few others.
    pub(super) fn pick_heartbeats(&mut self, receiver: Option<&RegionId>) -> Vec<RegionHeartbeat> {
        let own = &self.own_region;
        let is_first = |region: &RegionId| region == own || Some(region) == receiver;
        let (mut picked, mut others): (Vec<_>, Vec<_>) =
            self.regions.news.iter().partition(|(r, _)| is_first(r));
        for _ in 0..BEATS_OF_OTHERS.min(others.len()) {
            let at = self.rng.random_range(0..others.len());
            picked.push(others.swap_remove(at));
        }
        let to_heartbeat = |(region, news): (&RegionId, &News)| RegionHeartbeat {
            region_key: region_key(region),
            counter: news.counter,
        };
        picked.into_iter().map(to_heartbeat).collect()
    }

    /// Reports regions that fell silent or came back.
    pub(super) fn check_regions(&mut self, now: Millis) {
        let mut events = Vec::new();
        for (region, news) in &mut self.regions.news {
            let is_silent =
                *region != self.own_region && now.since(news.heard_at) >= REGION_TIMEOUT_MS;
            if is_silent == news.is_silent {
                continue;
            }
            news.is_silent = is_silent;
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

    /// Sends a packet to each other region that this instance is a delegate for, when it is due.
    pub(super) fn send_to_regions(&mut self, now: Millis) {
        for region in self.delegated_regions() {
            let jitter_ms = self.rng.random_range(0..REGION_PERIOD_MS / 4);
            let news = self.regions.entry(&region, now);
            if now < news.due_at {
                continue;
            }
            let period_ms = if news.is_silent {
                UNREACHABLE_REGION_PERIOD_MS
            } else {
                REGION_PERIOD_MS
            };
            news.due_at = now.plus(period_ms - REGION_PERIOD_MS / 8 + jitter_ms);
            if let Some(target) = self.contact_in(&region, now) {
                self.start_probe(&target, None, now);
            }
        }
    }

    /// One contact in each region that this instance is a delegate for.
    pub(super) fn delegate_targets(&mut self, now: Millis) -> Vec<InstanceId> {
        let regions = self.delegated_regions();
        regions
            .iter()
            .filter_map(|region| self.contact_in(region, now))
            .collect()
    }

    /// Other regions that this instance is a delegate for.
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
        ahead.count() < DELEGATES
    }

    /// The member of `region` to turn to: one of a few that stay the same, so that links last, or
    /// any member at all when the region is silent.
    fn contact_in(&mut self, region: &RegionId, now: Millis) -> Option<InstanceId> {
        let own_region = self.own_region.as_str();
        let rank = |m: &&Member| hash_pair(own_region, m.identity.instance.as_str());
        let mut usual: Vec<&Member> = self
            .table
            .present_in(region)
            .filter(|m| !self.regions.is_avoided(&m.identity.instance, now))
            .collect();
        usual.sort_by_key(rank);
        usual.truncate(CONTACTS);
        let contacts = if usual.is_empty() || !self.regions.is_heard(region) {
            let members = self.table.members.values();
            members.filter(|m| m.identity.region == *region).collect()
        } else {
            usual
        };
        if contacts.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..contacts.len());
        Some(contacts[at].identity.instance.clone())
    }
}
