//! An instance's view of the other instances of the fleet.
//!
//! An entry in the store, under a lease, holds the addresses of an instance and the digest of its
//! certificate. Whether it is alive and ready is known from its own messages, or from the heartbeats
//! that a delegate of the region passes on.

mod entry;

pub use entry::{Heartbeat, LinkReport, Member, MemberEntry, RemovedMember};

use crate::limit::{Fleet, DEMAND_TIMEOUT_MS};
use carobwheel_core::{
    fleet::{role_order, Peer, Topology},
    time::Millis,
};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

/// Interval of messages to an instance of the same region in a small region, in milliseconds.
const SAME_REGION_PERIOD_MS: u64 = 100;
/// Interval of messages to an instance of another region in a small fleet, in milliseconds.
const OTHER_REGION_PERIOD_MS: u64 = 250;
/// Number of other instances up to which the intervals are constant; in a larger region they grow,
/// so that the load on a delegate is bounded.
const SMALL_FLEET_PEERS: u64 = 10;
/// Instances of each region that watch the store; the others receive changes from them.
const WATCHERS_PER_REGION: usize = 2;
/// Upper bound on the interval of messages, in milliseconds.
const MAX_PERIOD_MS: u64 = 250;
/// Time without a message after which an instance is no longer listed for callers, in milliseconds.
const LISTED_TIMEOUT_MS: u64 = 2_200;
/// Time without a message after which an instance without an entry and without a connection is removed, in
/// milliseconds.
const REMOVE_TIMEOUT_MS: u64 = 10_000;
/// Time after its registration for which an instance may be a delegate unheard, in milliseconds.
const NEW_ENTRY_MS: u64 = 3_000;
/// Time after the last digest from a delegate from which the ages of heartbeats no longer grow, in
/// milliseconds: an instance without a delegate cannot tell who is gone.
const DIGEST_TIMEOUT_MS: u64 = 700;
/// Time after the last sums from a delegate for which messages of single instances are ignored, in
/// milliseconds.
const SUMS_TIMEOUT_MS: u64 = 1_500;
/// Longest time by which the loss of all delegates stretches the age of a heartbeat, in milliseconds.
const MAX_AGE_STRETCH_MS: u64 = 5_000;

/// Uptime until which an instance that knows others but has heard none is not ready, in
/// milliseconds. The first message tells it which prompt parts are held.
const MAX_JOIN_MS: u64 = 2_000;

/// Table of the other instances.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Other instances by name.
    pub by_name: HashMap<Arc<str>, Member>,
    /// Whether a message from any instance has arrived.
    has_heard: bool,
    /// Names by the keys of heartbeats.
    by_key: HashMap<u32, Arc<str>>,
    /// Entries of earlier lifetimes of processes that are heard, by name.
    deferred: HashMap<Arc<str>, MemberEntry>,
    /// Time of the last sums from a delegate; `None` if this instance is a delegate itself.
    last_digest_at: Option<Millis>,
    /// Time at which an instance last became ready or ceased to be, or told of other services that it does
    /// not reach.
    state_changed_at: Option<Millis>,
    /// Time at which an entry was last new or changed.
    pub entries_changed_at: Millis,
}

impl Members {
    /// Adds or updates an entry. Returns true for a new instance or a new lifetime of a known one. The entry
    /// of an earlier lifetime than that of a process which is heard waits until it is heard no more: a store
    /// that was restored from a copy holds such entries.
    pub fn update_entry(&mut self, entry: MemberEntry, now: Millis) -> bool {
        self.deferred.remove(&entry.name);
        if let Some(known) = self.by_name.get_mut(&entry.name) {
            if entry.life < known.entry.life && known.has_message_within(LISTED_TIMEOUT_MS, now) {
                self.deferred.insert(Arc::clone(&entry.name), entry);
                return false;
            }
            known.has_entry = true;
            known.entry_at = now;
            if known.entry.life == entry.life {
                known.entry = entry;
                return false;
            }
        }
        let key = entry.key();
        let member = Member {
            key,
            beat: 0,
            direct_beat: 0,
            last_direct_at: None,
            direct_since: None,
            is_full_mesh: false,
            is_subscriber: false,
            contact_since: None,
            has_entry: true,
            is_ready: false,
            has_store: false,
            last_message_at: None,
            entry_at: now,
            revisions: Vec::new(),
            eras: Vec::new(),
            config_version: 0,
            hides_coverage: false,
            cut_off: BTreeSet::new(),
            forecasts: HashMap::new(),
            entry,
        };
        let name = Arc::clone(&member.entry.name);
        if let Some(earlier) = self.by_name.insert(Arc::clone(&name), member) {
            self.by_key.remove(&earlier.key);
        }
        self.by_key.insert(key, name);
        self.entries_changed_at = now;
        true
    }

    /// Removes and returns the entries that have waited for processes which are heard no more.
    pub fn due_entries(&mut self, now: Millis) -> Vec<MemberEntry> {
        let by_name = &self.by_name;
        let is_due = |name: &Arc<str>, _: &mut MemberEntry| {
            let known = by_name.get(name);
            known.is_none_or(|known| !known.has_message_within(LISTED_TIMEOUT_MS, now))
        };
        let due = self.deferred.extract_if(is_due);
        due.map(|(_, entry)| entry).collect()
    }

    /// Records that the entry of `name` was removed.
    pub fn entry_removed(&mut self, name: &str) {
        self.deferred.remove(name);
        if let Some(member) = self.by_name.get_mut(name) {
            member.has_entry = false;
        }
    }

    /// Whether a later message of `name` has come already: messages on a link that was silent, and on an
    /// earlier one, may arrive late.
    pub fn is_outdated(&self, name: &str, life: u64, beat: u32) -> bool {
        let known = self.by_name.get(name);
        known.is_some_and(|known| known.entry.life == life && beat < known.direct_beat)
    }

    /// Records a message from `name`. Returns false if it is not known in this lifetime.
    pub fn record_message(&mut self, name: &str, life: u64, is_ready: bool, now: Millis) -> bool {
        let known = self
            .by_name
            .get_mut(name)
            .filter(|known| known.entry.life == life);
        let Some(member) = known else {
            return false;
        };
        member.last_message_at = Some(now);
        if !member.has_direct_within(DEMAND_TIMEOUT_MS, now) {
            member.direct_since = Some(now);
        }
        member.last_direct_at = Some(now);
        if std::mem::replace(&mut member.is_ready, is_ready) != is_ready {
            self.state_changed_at = Some(now);
        }
        self.has_heard = true;
        true
    }

    /// Records what the latest message of `name`, which was just recorded, says about itself and its
    /// link.
    pub fn record_link(&mut self, name: &str, link: LinkReport, now: Millis) {
        if let Some(member) = self.by_name.get_mut(name) {
            member.beat = member.beat.max(link.beat);
            member.direct_beat = link.beat;
            member.has_store = link.has_store;
            member.is_full_mesh = link.beat == 0;
            member.is_subscriber = link.subscribes;
            if link.has_sums {
                self.last_digest_at = self.last_digest_at.map(|_| now);
            }
        }
    }

    /// Records the services that the latest message of `name`, which was just recorded, says that it does not
    /// reach. Returns whether they have changed.
    pub fn record_cut_off(&mut self, name: &str, cut_off: &BTreeSet<u32>, now: Millis) -> bool {
        let Some(member) = self.by_name.get_mut(name) else {
            return false;
        };
        if member.cut_off == *cut_off {
            return false;
        }
        member.cut_off.clone_from(cut_off);
        self.state_changed_at = Some(now);
        true
    }

    /// Records a heartbeat that a delegate has passed on, with the services that the instance does not reach.
    /// Returns whether these have changed, or the instance has become ready or ceased to be.
    pub fn record_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        cut_off: &BTreeSet<u32>,
        now: Millis,
    ) -> bool {
        let name = self.by_key.get(&heartbeat.key);
        let known = name.and_then(|name| self.by_name.get_mut(name));
        // Only a new heartbeat counts: delegates may repeat those of an instance that is gone.
        let Some(member) = known.filter(|known| heartbeat.beat > known.beat) else {
            return false;
        };
        member.beat = heartbeat.beat;
        member.last_message_at = Some(now);
        member.has_store = heartbeat.has_store;
        self.has_heard = true;
        let is_same = member.is_ready == heartbeat.is_ready && member.cut_off == *cut_off;
        if is_same {
            return false;
        }
        member.is_ready = heartbeat.is_ready;
        member.cut_off.clone_from(cut_off);
        self.state_changed_at = Some(now);
        true
    }

    /// Instance whose heartbeats have this key.
    pub fn by_key(&self, key: u32) -> Option<&Member> {
        self.by_name.get(self.by_key.get(&key)?)
    }

    /// Whether the instance is ready and its last message or heartbeat is recent enough for requests
    /// to be sent to it.
    pub fn is_up(&self, member: &Member, now: Millis) -> bool {
        member.is_ready && member.has_message_within(LISTED_TIMEOUT_MS, self.judged_at(now))
    }

    /// Time at which the ages of heartbeats are judged: while no delegate is heard they stand still.
    fn judged_at(&self, now: Millis) -> Millis {
        let Some(last_digest_at) = self.last_digest_at else {
            return now;
        };
        let overdue_ms = now.since(last_digest_at).saturating_sub(DIGEST_TIMEOUT_MS);
        Millis(now.0 - overdue_ms.min(MAX_AGE_STRETCH_MS))
    }

    /// Links of the instance `own` and its role.
    pub fn topology(&self, own: Peer<'_>, now: Millis) -> Topology {
        let others: Vec<Peer<'_>> = self
            .by_name
            .values()
            .map(|member| self.as_peer(member, now))
            .collect();
        let mut topology = Topology::of(own, &others);
        let full_mesh = self.by_name.values().filter(|member| member.is_full_mesh);
        let names: BTreeSet<String> = full_mesh
            .map(|member| member.entry.name.to_string())
            .collect();
        topology.forward.retain(|name| !names.contains(name));
        topology.gossip.extend(names);
        topology
    }

    fn as_peer<'a>(&self, member: &'a Member, now: Millis) -> Peer<'a> {
        let is_new = member.last_message_at.is_none()
            && member.has_entry
            && now.since(member.entry_at) <= NEW_ENTRY_MS;
        let is_heard = match member.contact_since {
            // Heartbeats by way of others do not make it a useful contact.
            Some(since) => {
                let last_at = member.last_direct_at.map_or(since, |at| at.max(since));
                now.since(last_at) <= LISTED_TIMEOUT_MS
            }
            None => member.has_message_within(LISTED_TIMEOUT_MS, self.judged_at(now)),
        };
        Peer {
            name: &member.entry.name,
            region: &member.entry.region,
            data_centre: &member.entry.data_centre,
            processor_millicores: member.entry.processor_millicores,
            is_heard: is_new || is_heard,
        }
    }

    /// Records with which instances this one wants gossip links, and its role.
    pub fn set_contacts(&mut self, topology: &Topology, now: Millis) {
        for (name, member) in &mut self.by_name {
            member.contact_since = topology
                .gossip
                .contains(&**name)
                .then(|| member.contact_since.unwrap_or(now));
        }
        self.last_digest_at = if topology.is_delegate {
            None
        } else {
            self.last_digest_at.or(Some(now))
        };
    }

    /// Whether a delegate has sent sums lately. Without them, single messages count.
    pub fn has_sums(&self, now: Millis) -> bool {
        self.last_digest_at
            .is_some_and(|at| now.since(at) <= SUMS_TIMEOUT_MS)
    }

    /// Whether any instance has become ready or ceased to be, or told of other services that it does not
    /// reach, since `since`.
    pub fn has_state_changed_since(&self, since: Millis) -> bool {
        self.state_changed_at.is_some_and(|at| at >= since)
    }

    /// Heartbeats that have arrived at or after `since`, of instances that `is_included` accepts.
    pub fn heartbeats_since(
        &self,
        since: Millis,
        is_included: impl Fn(&Member) -> bool,
    ) -> Vec<Heartbeat> {
        let members = self.by_name.values();
        let recent = members.filter(|member| member.last_message_at.is_some_and(|at| at >= since));
        recent
            .filter(|member| is_included(member))
            .filter_map(Member::heartbeat)
            .collect()
    }

    /// Whether this instance has heard another one since its start, at the uptime `now`; also true
    /// if there is no other or none answers in time.
    pub fn has_joined(&self, now: Millis) -> bool {
        self.has_heard || self.by_name.is_empty() || now.0 >= MAX_JOIN_MS
    }

    /// Removes instances without an entry, without recent messages and without a connection, and returns
    /// them. One that drains has no entry, and its messages may be lost with the delegates that pass them
    /// on: while `is_connected` its process lives.
    pub fn sweep(
        &mut self,
        now: Millis,
        is_connected: impl Fn(&str) -> bool,
    ) -> Vec<RemovedMember> {
        let is_removable = |member: &Member| {
            !member.has_entry
                && member.unheard_ms(now) > REMOVE_TIMEOUT_MS
                && !is_connected(&member.entry.name)
        };
        let removed: Vec<_> = self
            .by_name
            .values()
            .filter(|member| is_removable(member))
            .map(|member| RemovedMember {
                name: Arc::clone(&member.entry.name),
                unheard_ms: member.unheard_ms(now),
            })
            .collect();
        for RemovedMember { name, .. } in &removed {
            if let Some(member) = self.by_name.remove(name) {
                self.by_key.remove(&member.key);
            }
        }
        removed
    }

    /// Number of instances, and how many of them are reachable, including this one.
    pub fn fleet(&self, now: Millis) -> Fleet {
        let may_serve = |member: &&Member| {
            member.has_entry || member.has_message_within(REMOVE_TIMEOUT_MS, now)
        };
        let is_reachable = |member: &&Member| member.has_message_within(LISTED_TIMEOUT_MS, now);
        Fleet {
            instances: 1 + self.by_name.values().filter(may_serve).count(),
            reachable: 1 + self.by_name.values().filter(is_reachable).count(),
        }
    }

    /// Interval of messages to an instance of the own region or of another one, in milliseconds. It
    /// grows with the region, up to a bound.
    pub fn period_ms(&self, region: &str, is_same_region: bool) -> u64 {
        let same_region = self
            .by_name
            .values()
            .filter(|member| &*member.entry.region == region);
        let same_region = same_region.count() as u64;
        let (small_ms, others) = if is_same_region {
            (SAME_REGION_PERIOD_MS, same_region)
        } else {
            (OTHER_REGION_PERIOD_MS, SMALL_FLEET_PEERS)
        };
        let period_ms = small_ms * others.max(SMALL_FLEET_PEERS) / SMALL_FLEET_PEERS;
        period_ms.min(MAX_PERIOD_MS)
    }

    /// Whether the instance `own` is one of those of its region that watch the store for the
    /// others.
    pub fn is_watcher(&self, own: Peer<'_>, now: Millis) -> bool {
        self.preferred_count(own, now) < WATCHERS_PER_REGION
    }

    /// Number of instances of the region of `own` that are preferred to it for watching the store.
    pub fn preferred_count(&self, own: Peer<'_>, now: Millis) -> usize {
        let order = role_order(own.processor_millicores, own.name);
        let is_before =
            |entry: &MemberEntry| role_order(entry.processor_millicores, &entry.name) < order;
        let preferred = self
            .up_in(own.region, now)
            .filter(|member| member.has_store && is_before(&member.entry));
        preferred.count()
    }

    /// Whether another instance that follows the store may be running, in `region` or in any one.
    pub fn has_other_with_store(&self, region: Option<&str>, now: Millis) -> bool {
        let mut others = self.by_name.values();
        others.any(|member| {
            let is_meant = region.is_none_or(|region| &*member.entry.region == region);
            is_meant && member.has_store && self.is_up(member, now)
        })
    }

    /// Instances of `region` to which requests may be sent.
    pub fn up_in<'a>(&'a self, region: &'a str, now: Millis) -> impl Iterator<Item = &'a Member> {
        let is_available =
            move |member: &&Member| &*member.entry.region == region && self.is_up(member, now);
        self.by_name.values().filter(is_available)
    }
}
