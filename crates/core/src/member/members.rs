//! The membership table of one instance: its state and its entry points.

use super::detect::Probes;
use super::fetch::Fetch;
use super::region::Regions;
use super::rumor::{Change, Rumors};
use super::sync::Sync;
use super::table::{Member, Merged, Table};
use super::{
    Health, Identity, Incarnation, MemberEvent, MemberState, Packet, PacketBody, Status,
    GONE_RETENTION_MS, PROBE_PERIOD_MS,
};
use crate::id::{InstanceId, RegionId};
use crate::time::Millis;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::{collections::BTreeMap, mem, net::SocketAddr};

/// Gap between two ticks from which on the instance counts as having been paused, in milliseconds.
const PAUSE_MS: u64 = 2_000;
/// Instances of the own region that an urgent change goes to at once.
const URGENT_FANOUT: usize = 3;
/// Time for which a region has to be silent, and a member of it unlisted, before the member
/// counts as gone, in milliseconds.
const UNLISTED_GONE_MS: u64 = 600_000;

/// A packet to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Receiver.
    pub to: InstanceId,
    /// Address to dial, or none if only a link that the receiver opened will do.
    pub addr: Option<SocketAddr>,
    /// The packet.
    pub packet: Packet,
}

/// One member as the rest of the program sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Name, incarnation, place and addresses.
    pub identity: Identity,
    /// State.
    pub state: MemberState,
    /// News from the member's region arrives. Always true for the own region.
    pub is_reachable: bool,
    /// The latest live list names this incarnation.
    pub is_listed: bool,
    /// Highest document revision that the member has reported as in force.
    pub revision: u64,
    /// Time of the last packet from the member itself.
    pub heard_at: Option<Millis>,
    /// Time at which the member's health last changed.
    pub changed_at: Millis,
}

/// Revisions in force over all members that are known to run.
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
    pub(super) sync: Sync,
    pub(super) fetch: Fetch,
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
    /// A table that knows the own instance only. `revision` is the document revision in force, 0
    /// for none; `seed` feeds the random choices.
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
            sync: Sync::default(),
            fetch: Fetch::default(),
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

    /// Lets time pass. Call it at least every 100 ms; packets to send are returned.
    pub fn tick(&mut self, now: Millis) -> Vec<Outgoing> {
        self.notice_pause(now);
        self.expire_suspicions(now);
        self.check_probes(now);
        self.check_regions(now);
        if now >= self.next_period_at {
            self.begin_period(now);
        }
        mem::take(&mut self.out)
    }

    /// Takes in a packet from the authenticated instance `from`; answers are returned.
    pub fn on_packet(&mut self, from: &InstanceId, packet: Packet, now: Millis) -> Vec<Outgoing> {
        if *from == self.own {
            self.on_namesake(packet.incarnation);
            return Vec::new();
        }
        self.take_gossip(&packet, now);
        self.hear_from(from, &packet, now);
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

    /// Announces that this instance is leaving; the packets spread the word at once.
    pub fn leave(&mut self, now: Millis) -> Vec<Outgoing> {
        self.set_leaving();
        self.push_urgent(now);
        mem::take(&mut self.out)
    }

    /// Records the document revision in force here and spreads it at once.
    ///
    /// # Panics
    ///
    /// Panics when `revision` is lower than the one in force: a revision never goes back.
    pub fn set_revision(&mut self, revision: u64, now: Millis) -> Vec<Outgoing> {
        let own = self.own_member_mut();
        assert!(
            revision >= own.status.revision,
            "a revision never goes back"
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

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        mem::take(&mut self.events)
    }

    /// Every known member, the own instance included, in order of name.
    pub fn snapshot(&self) -> Vec<MemberView> {
        let confirmed = self.table.members.values().filter(|m| m.is_confirmed);
        confirmed.map(|m| self.view(m)).collect()
    }

    /// One member; none if nothing but the live list has named it yet.
    pub fn member(&self, instance: &InstanceId) -> Option<MemberView> {
        let member = self.table.get(instance).filter(|m| m.is_confirmed)?;
        Some(self.view(member))
    }

    /// Members of `region` that are alive, neither suspected nor leaving, and reachable; the own
    /// instance is one of them.
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

    /// Whether news from `region` arrives. Always true for the own region.
    pub fn is_region_reachable(&self, region: &RegionId) -> bool {
        *region == self.own_region || self.regions.is_heard(region)
    }

    /// Regions with at least one known member.
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

    /// Lowest and highest revision over the members that are known to run.
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
            heard_at: member.heard_at,
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

    /// Reports and passes on what a merge changed.
    pub(super) fn note_merge(&mut self, instance: &InstanceId, merged: Merged, now: Millis) {
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

    fn on_namesake(&mut self, incarnation: Incarnation) {
        if incarnation >= self.own_incarnation {
            self.report(MemberEvent::Superseded { incarnation });
        }
    }

    /// Gives everyone the benefit of the doubt after this process itself has stood still.
    fn notice_pause(&mut self, now: Millis) {
        let gap_ms = self.last_tick.map_or(0, |last| now.since(last));
        self.last_tick = Some(now);
        if gap_ms < PAUSE_MS {
            return;
        }
        self.probes.clear();
        self.regions.forgive_pause(now);
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

    /// Whether the instance has started only lately.
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
        self.give_up_unlisted(now);
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

    /// Judges members of a region that is silent for long and that the live list no longer names.
    fn give_up_unlisted(&mut self, now: Millis) {
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
            self.judge(&instance, Health::Gone, now);
        }
    }
}
