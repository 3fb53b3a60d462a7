//! State and public API of the membership table.

use super::detect::Probes;
use super::fetch::LastFetch;
use super::region::Regions;
use super::rumor::{Change, Rumors};
use super::sync::SyncSchedule;
use super::table::{Member, MergeResult, Table};
use super::{
    Health, Identity, Incarnation, MemberEvent, MemberState, Packet, PacketBody, Status,
    GONE_RETENTION_MS, PROBE_PERIOD_MS,
};
use crate::id::{InstanceId, RegionId};
use crate::time::Millis;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{collections::BTreeMap, mem, net::SocketAddr};

/// Gap between two ticks at or above which the process counts as having been paused, in
/// milliseconds.
const MIN_PAUSE_MS: u64 = 2_000;
/// Number of instances of the own region that an urgent change is sent to at once.
const URGENT_FANOUT: usize = 3;
/// Time without any sign of a region after which its members that are missing from the live list
/// count as gone, in milliseconds.
const UNLISTED_GONE_MS: u64 = 600_000;

/// A packet to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: InstanceId,
    /// Address to dial, or none if the packet can only use a link opened by the receiver.
    pub addr: Option<SocketAddr>,
    /// The packet.
    pub packet: Packet,
}

/// Read-only view of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name, incarnation, place and addresses.
    pub identity: Identity,
    /// State derived from health and leaving flag.
    pub state: MemberState,
    /// Whether the member's region is reachable. Always true for the own region.
    pub is_reachable: bool,
    /// Whether the latest live list contains this incarnation.
    pub is_listed: bool,
    /// Highest document revision that the member has reported as in force.
    pub revision: u64,
    /// Time of the last packet from the member itself.
    pub last_packet_at: Option<Millis>,
    /// Time at which the member's health last changed.
    pub changed_at: Millis,
}

/// Lowest and highest revision in force among the members that are known to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RevisionRange {
    /// Lowest revision.
    pub lowest: u64,
    /// Highest revision.
    pub highest: u64,
    /// A member that has the highest revision.
    pub highest_at: InstanceId,
}

/// The membership table of one instance.
pub struct Members {
    pub(super) own: InstanceId,
    pub(super) own_incarnation: Incarnation,
    pub(super) own_region: RegionId,
    pub(super) table: Table,
    pub(super) rumors: Rumors,
    pub(super) regions: Regions,
    pub(super) probes: Probes,
    pub(super) sync: SyncSchedule,
    pub(super) fetch: LastFetch,
    pub(super) listed: BTreeMap<InstanceId, Incarnation>,
    pub(super) listed_at: Option<Millis>,
    pub(super) rng: StdRng,
    pub(super) out: Vec<Outgoing>,
    events: Vec<MemberEvent>,
    started_at: Millis,
    last_tick: Option<Millis>,
    next_period_at: Millis,
}

impl Members {
    /// Creates a table that contains this instance only. `revision` is the document revision in
    /// force, 0 for none; `seed` initialises the random generator.
    pub fn new(identity: Identity, revision: u64, seed: u64, now: Millis) -> Self {
        let own = identity.instance.clone();
        let own_incarnation = identity.incarnation;
        let own_region = identity.region.clone();
        let mut member = Member::new(identity, Status::new(revision), now);
        member.is_confirmed = true;
        let mut table = Table::default();
        table.members.insert(own.clone(), member);
        let mut rumors = Rumors::default();
        rumors.add(&own, Change::Record);
        let mut rng = StdRng::seed_from_u64(seed);
        let next_period_at = now.plus(rng.random_range(0..PROBE_PERIOD_MS / 4));
        Self {
            own,
            own_incarnation,
            own_region,
            table,
            rumors,
            regions: Regions::default(),
            probes: Probes::default(),
            sync: SyncSchedule::default(),
            fetch: LastFetch::default(),
            listed: BTreeMap::new(),
            listed_at: None,
            rng,
            out: Vec::new(),
            events: Vec::new(),
            started_at: now,
            last_tick: None,
            next_period_at,
        }
    }

    /// Runs the timers and returns the packets to send. Call it at least every 100 ms.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.detect_pause(now);
        self.expire_suspicions(now);
        self.check_probes(now);
        self.check_regions(now);
        if now >= self.next_period_at {
            self.begin_period(now);
        }
        mem::take(&mut self.out)
    }

    /// Handles a packet from the authenticated instance `from` and returns the packets to send.
    pub fn on_packet(&mut self, from: &InstanceId, packet: Packet, now: Millis) -> Vec<Outgoing> {
        if *from == self.own {
            self.on_own_name(packet.incarnation);
            return Vec::new();
        }
        self.apply_gossip(&packet, now);
        self.record_sender_contact(from, &packet, now);
        let has_hash_of_sender = !matches!(
            packet.body,
            PacketBody::Digest { .. } | PacketBody::Records { .. }
        );
        self.handle_body(from, packet.salt, packet.body, now);
        if has_hash_of_sender {
            self.compare_tables(from, packet.salt, packet.table_hash, now);
        }
        mem::take(&mut self.out)
    }

    /// Marks this instance as leaving and returns packets that announce it at once.
    pub fn leave(&mut self, now: Millis) -> Vec<Outgoing> {
        self.set_leaving();
        self.push_urgent(now);
        mem::take(&mut self.out)
    }

    /// Sets the document revision in force at this instance and returns packets that announce it at
    /// once.
    ///
    /// # Panics
    ///
    /// Panics if `revision` is lower than the one in force: revisions never decrease.
    pub fn set_revision(&mut self, revision: u64, now: Millis) -> Vec<Outgoing> {
        let own = self.own_member_mut();
        assert!(
            revision >= own.status.revision,
            "a revision never decreases"
        );
        if revision == own.status.revision {
            return Vec::new();
        }
        own.status.revision = revision;
        let instance = self.own.clone();
        self.rumors.add(&instance, Change::Revision);
        self.push_urgent(now);
        mem::take(&mut self.out)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        mem::take(&mut self.events)
    }

    /// Returns all confirmed members, this instance included, ordered by name.
    pub fn snapshot(&self) -> Vec<MemberView> {
        let confirmed = self.table.members.values().filter(|m| m.is_confirmed);
        confirmed.map(|m| self.view(m)).collect()
    }

    /// Returns one member, or none if it is unknown or known from the live list only.
    pub fn member(&self, instance: &InstanceId) -> Option<MemberView> {
        let member = self.table.get(instance).filter(|m| m.is_confirmed)?;
        Some(self.view(member))
    }

    /// Returns the members of `region` that are reachable and alive, neither suspected nor leaving;
    /// this instance is included if it is one of them.
    pub fn alive_in<'a>(&'a self, region: &'a RegionId) -> Vec<&'a Identity> {
        if !self.is_region_reachable(region) {
            return Vec::new();
        }
        self.table
            .present_in(region)
            .filter(|m| m.state() == MemberState::Alive)
            .map(|m| &m.identity)
            .collect()
    }

    /// Returns whether `region` is reachable: something from it arrived, directly or by gossip, within
    /// the region timeout. Always true for the own region.
    pub fn is_region_reachable(&self, region: &RegionId) -> bool {
        *region == self.own_region || self.regions.is_reachable(region)
    }

    /// Returns the regions with at least one known member.
    pub fn regions(&self) -> Vec<&RegionId> {
        let mut regions: Vec<_> = self
            .table
            .members
            .values()
            .map(|m| &m.identity.region)
            .collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Returns the lowest and highest revision among the members that are known to run.
    pub fn revision_range(&self) -> RevisionRange {
        let revision_of = |m: &&Member| m.status.revision;
        let own = self.own_member();
        let lowest = self.table.present().min_by_key(revision_of).unwrap_or(own);
        let highest = self.table.present().max_by_key(revision_of).unwrap_or(own);
        RevisionRange {
            lowest: lowest.status.revision,
            highest: highest.status.revision,
            highest_at: highest.identity.instance.clone(),
        }
    }

    fn view(&self, member: &Member) -> MemberView {
        let identity = member.identity.clone();
        let listed = self.listed.get(&identity.instance);
        MemberView {
            state: member.state(),
            is_reachable: self.is_region_reachable(&identity.region),
            is_listed: listed == Some(&identity.incarnation),
            revision: member.status.revision,
            last_packet_at: member.last_packet_at,
            changed_at: member.changed_at,
            identity,
        }
    }

    pub(super) fn own_member(&self) -> &Member {
        self.table
            .get(&self.own)
            .expect("the table holds the own instance")
    }

    pub(super) fn own_member_mut(&mut self) -> &mut Member {
        self.table
            .members
            .get_mut(&self.own)
            .expect("the table holds the own instance")
    }

    pub(super) fn set_leaving(&mut self) {
        self.own_member_mut().status.is_leaving = true;
        let own = self.own.clone();
        self.rumors.add(&own, Change::Status);
    }

    pub(super) fn report(&mut self, event: MemberEvent) {
        self.events.push(event);
    }

    /// Records what a merge changed: reports events, delays the next digest and adds the region.
    pub(super) fn note_merge(&mut self, instance: &InstanceId, merged: MergeResult, now: Millis) {
        if !merged.is_change() {
            return;
        }
        let Some(member) = self.table.get(instance) else {
            return;
        };
        let incarnation = member.identity.incarnation;
        let region = member.identity.region.clone();
        self.sync.note_change(now);
        if merged.is_new {
            let instance = instance.clone();
            self.report(MemberEvent::Joined {
                instance,
                incarnation,
            });
        }
        if let Some((from, to)) = merged.states {
            let instance = instance.clone();
            self.report(MemberEvent::Changed { instance, from, to });
        }
        self.regions.note_region(&region, &self.own_region, now);
    }

    fn on_own_name(&mut self, incarnation: Incarnation) {
        if incarnation >= self.own_incarnation {
            self.report(MemberEvent::Superseded { incarnation });
        }
    }

    /// Detects a pause of this process, and restarts suspicion and region timeouts, which ran while
    /// no packet could be received.
    fn detect_pause(&mut self, now: Millis) {
        let gap_ms = self.last_tick.map_or(0, |last| now.since(last));
        self.last_tick = Some(now);
        if gap_ms < MIN_PAUSE_MS {
            return;
        }
        self.probes.clear();
        self.regions.reset_silence(now);
        for member in self.table.members.values_mut() {
            if member.status.health == Health::Suspect {
                member.changed_at = now;
            }
        }
    }

    fn begin_period(&mut self, now: Millis) {
        let jitter_ms = self.rng.random_range(0..PROBE_PERIOD_MS / 10);
        self.next_period_at = now.plus(PROBE_PERIOD_MS - PROBE_PERIOD_MS / 20 + jitter_ms);
        self.regions.advance_own(&self.own_region, now);
        self.probe_next(now);
        self.probe_absent(now);
        self.send_to_regions(now);
        self.forget_old(now);
    }

    /// Returns whether the instance started less than ten probe periods ago.
    pub(super) fn is_starting(&self, now: Millis) -> bool {
        now.since(self.started_at) < 10 * PROBE_PERIOD_MS
    }

    /// Sends the latest changes to a few members without waiting for the next period.
    pub(super) fn push_urgent(&mut self, now: Millis) {
        let mut targets = self.random_present(URGENT_FANOUT, |m, own_region| {
            m.identity.region == *own_region
        });
        targets.extend(self.delegate_targets(now));
        for target in targets {
            self.send_untracked_ping(&target, now);
        }
    }

    fn forget_old(&mut self, now: Millis) {
        self.expire_unlisted(now);
        let listed = &self.listed;
        let own = &self.own;
        let is_old = |m: &Member| {
            let is_listed = listed.contains_key(&m.identity.instance);
            let is_old = m.status.health == Health::Gone
                && now.since(m.changed_at) >= GONE_RETENTION_MS
                || !m.is_confirmed;
            is_old && !is_listed && m.identity.instance != *own
        };
        let old: Vec<InstanceId> = self
            .table
            .members
            .values()
            .filter(|m| is_old(m))
            .map(|m| m.identity.instance.clone())
            .collect();
        for instance in old {
            self.table.members.remove(&instance);
            self.rumors.forget(&instance);
            self.report(MemberEvent::Forgotten { instance });
        }
    }

    /// Declares members gone whose region has been silent for [`UNLISTED_GONE_MS`] and that a recent
    /// live list does not contain.
    fn expire_unlisted(&mut self, now: Millis) {
        let is_list_fresh = self
            .listed_at
            .is_some_and(|at| now.since(at) < UNLISTED_GONE_MS / 10);
        if !is_list_fresh {
            return;
        }
        let lost: Vec<InstanceId> = self
            .table
            .present()
            .filter(|m| m.identity.region != self.own_region)
            .filter(|m| self.regions.silent_ms(&m.identity.region, now) >= UNLISTED_GONE_MS)
            .filter(|m| !self.listed.contains_key(&m.identity.instance))
            .map(|m| m.identity.instance.clone())
            .collect();
        for instance in lost {
            self.set_health(&instance, Health::Gone, now);
        }
    }
}
