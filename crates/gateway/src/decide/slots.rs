//! Which shards of accounts this instance counts for.

use super::{event::SlotsRead, state::State};
use crate::platform::Command;
use carobwheel_core::{
    id::{InstanceId, RegionId},
    member::{MemberState, MemberView},
    slot::{
        LivenessTracker, OwnershipReconciler, OwnershipRecord, OwnershipUpdate, Peer, PlanContext,
        Role, SlotId, SHARDS,
    },
    time::Millis,
};
use rand::Rng as _;
use std::{collections::BTreeMap, mem, sync::atomic::Ordering};

/// Time between two writes of the record, in milliseconds; jitter of the same length comes on top.
const WRITE_PERIOD_MS: u64 = 500;
/// Time between two reads while the slots wait for their confirmation, in milliseconds.
const CONFIRM_PERIOD_MS: u64 = 500;

/// Time without a change of the members after which slots are handed to their preferred owners,
/// in milliseconds.
const HAND_OVER_DELAY_MS: u64 = 10_000;

/// Time after its start at which an instance with a document is ready in any case, in milliseconds.
const READY_AT_LATEST_MS: u64 = 20_000;

/// The slots of this instance and what is known of those of others.
pub(super) struct Slots {
    pub(super) keeper: OwnershipReconciler,
    pub(super) presence: LivenessTracker,
    /// The records of all regions have been read once.
    pub(super) are_loaded: bool,
    pub(super) are_void: bool,
    /// Owners of the slots of all regions, as far as they are known.
    pub(super) owners: BTreeMap<SlotId, Peer>,
    /// The own region's record has to be read again.
    is_read_due: bool,
    /// There is a live list to read.
    pub(super) has_live_list: bool,
    /// Instances on the live list as last read.
    pub(super) listed: Option<Vec<InstanceId>>,
    records: BTreeMap<RegionId, (u64, OwnershipRecord)>,
    write_at: Millis,
}

impl Slots {
    pub(super) fn new(me: Peer, has_live_list: bool, now: Millis) -> Self {
        Self {
            keeper: OwnershipReconciler::new(me, now),
            presence: LivenessTracker::default(),
            are_loaded: false,
            are_void: false,
            owners: BTreeMap::new(),
            is_read_due: false,
            has_live_list,
            listed: None,
            records: BTreeMap::new(),
            write_at: now,
        }
    }

    /// Owners as the records of the store name them.
    pub(super) fn recorded_owners(&self) -> BTreeMap<SlotId, Peer> {
        self.records
            .iter()
            .flat_map(|(region, (_, record))| record.slots(region))
            .collect()
    }
}

impl State {
    /// Makes the slots void after a pause in which another instance may have taken them.
    pub(super) fn guard_pause(&mut self, now: Millis) {
        if !self.slots.keeper.detect_pause(now) {
            return;
        }
        log::warn!("this process was paused: its slots are void until the store confirms them");
        self.slots.are_void = true;
        let uncovered = self.charging.limiter.invalidate_slots();
        self.charging.cancel(uncovered);
        self.outputs.command(Command::ReadSlots);
    }

    /// Hands the slots over as soon as the platform thread can.
    pub(super) fn hand_over(&mut self, now: Millis) {
        self.slots.write_at = now;
        self.tick_slots(now);
    }

    /// The store has answered. A region without a record shows only when its key is read.
    pub(super) fn on_slots_loaded(&mut self) {
        self.slots.are_loaded = true;
        self.outputs.command(Command::ReadSlots);
    }

    /// Takes a record of slots as read from the store.
    pub(super) fn on_slots(&mut self, read: SlotsRead, now: Millis) {
        if read.region == self.identity.region {
            if !self.knows_listed(&self.members.snapshot()) {
                // A new owner asks every member what it may still use, so it has to know them.
                self.slots.is_read_due = true;
                return;
            }
            self.update_members(now);
            self.slots.presence.note_record(&read.record, now);
            let record = read.record.clone();
            match self.slots.keeper.on_read(read.revision, record, read.began) {
                OwnershipUpdate::Unchanged => {}
                OwnershipUpdate::Owned(owned) => {
                    self.charging.limiter.set_slots(&owned, now);
                    self.tell_owned(&owned);
                }
                OwnershipUpdate::Confirmed(owned) => {
                    log::info!("the store has confirmed the slots");
                    self.slots.are_void = false;
                    self.charging.limiter.confirm_slots(&owned, now);
                    self.tell_owned(&owned);
                }
            }
        }
        let known = self.slots.records.get(&read.region);
        if known.is_some_and(|(revision, _)| *revision > read.revision) {
            return;
        }
        let entry = (read.revision, read.record);
        self.slots.records.insert(read.region, entry);
        self.hear_owners();
    }

    pub(super) fn tick_slots(&mut self, now: Millis) {
        self.update_members(now);
        if now < self.slots.write_at || !self.slots.are_loaded {
            return;
        }
        if !self.knows_listed(&self.members.snapshot()) {
            return;
        }
        if mem::take(&mut self.slots.is_read_due) {
            self.outputs.command(Command::ReadSlots);
        }
        let jitter_ms = self.rng.random_range(0..WRITE_PERIOD_MS);
        self.slots.write_at = now.plus(WRITE_PERIOD_MS + jitter_ms);
        self.write_slots(now);
    }

    fn write_slots(&mut self, now: Millis) {
        let region = self.identity.region.clone();
        let alive: Vec<Peer> = self
            .members
            .alive_in(&region)
            .into_iter()
            .map(|identity| Peer {
                instance: identity.instance.clone(),
                incarnation: identity.incarnation.0,
            })
            .collect();
        let are_all_reachable = self.are_all_answering(now);
        let slots = &mut self.slots;
        let presence = &slots.presence;
        let view = PlanContext {
            me: &self.me,
            is_leaving: self.is_leaving,
            are_all_reachable,
            alive: &alive,
            liveness: &|peer| presence.liveness(peer, now),
        };
        match slots.keeper.next_write(&view) {
            Some(write) => {
                self.charging.limiter.suspend(&write.suspended, now);
                self.outputs.command(Command::WriteSlots(Box::new(write)));
            }
            None if slots.are_void => {
                slots.write_at = now.plus(CONFIRM_PERIOD_MS);
                self.outputs.command(Command::ReadSlots);
            }
            None => {}
        }
    }

    /// Whether every member that may still spend tokens answers, and none has come or changed
    /// lately: a member that dies looks alive until its heartbeats are missed.
    fn are_all_answering(&self, now: Millis) -> bool {
        let members = self.members.snapshot();
        members.iter().all(|member| {
            let is_alive = member.state == MemberState::Alive && member.is_reachable;
            let is_steady = now.since(member.changed_at) >= HAND_OVER_DELAY_MS;
            is_alive && is_steady || self.is_confirmed_gone(member, now)
        })
    }

    /// Whether nothing is left to hand over before this instance stops.
    fn has_handed_over(&self) -> bool {
        let is_alone = self.members.alive_in(&self.identity.region).is_empty();
        let record = self.slots.keeper.record();
        is_alone || record.owned_by(&self.me).is_empty()
    }

    /// Tells the limiter which members may still spend tokens, and what all of them have settled.
    fn update_members(&mut self, now: Millis) {
        let members = self.members.snapshot();
        let present: Vec<Peer> = members
            .iter()
            .filter(|member| !self.is_confirmed_gone(member, now))
            .map(peer_of)
            .collect();
        if self.is_leaving && self.has_handed_over() {
            self.outputs.has_handed_over.store(true, Ordering::Relaxed);
        }
        let settled = self
            .knows_listed(&members)
            .then(|| self.fleet_settled_revision(&present))
            .flatten();
        self.charging.limiter.set_members(&present, now);
        if let Some(revision) = settled {
            self.charging.limiter.set_fleet_revision(revision, now);
        }
        self.tell_settled_revision();
        let is_settled = settled.is_some_and(|settled| settled > 0);
        let can_borrow = self.charging.limiter.has_joined(now);
        let can_charge = can_borrow || (is_settled && self.owns_region());
        self.judge_readiness(can_charge, now);
    }

    /// Whether every instance that the live list names has been heard of. A newcomer that has
    /// heard of nobody would take itself for the whole fleet.
    fn knows_listed(&self, members: &[MemberView]) -> bool {
        let Some(listed) = &self.slots.listed else {
            return !self.slots.has_live_list;
        };
        let is_known = |id: &InstanceId| members.iter().any(|m| m.identity.instance == *id);
        listed.iter().all(is_known)
    }

    /// Whether this instance owns every slot of its region, so that it need not borrow there.
    fn owns_region(&self) -> bool {
        let owned = self.slots.keeper.record().owned_by(&self.me);
        owned.len() == Role::ALL.len() * usize::from(SHARDS)
    }

    /// An instance is ready once it can charge requests, at the latest after a while: a member
    /// that never tells its revision may not keep others from serving.
    fn judge_readiness(&mut self, can_charge: bool, now: Millis) {
        let Some(in_force) = self.revision() else {
            return;
        };
        let knows_owners = !self.slots.owners.is_empty();
        let is_late = now.0 > READY_AT_LATEST_MS;
        let can_charge = can_charge && knows_owners;
        if (can_charge || is_late) && !self.outputs.is_ready.swap(true, Ordering::Relaxed) {
            log::info!(revision = in_force, can_charge; "ready");
        }
    }

    fn is_confirmed_gone(&self, member: &MemberView, now: Millis) -> bool {
        let is_silent = matches!(member.state, MemberState::Gone | MemberState::Leaving);
        is_silent
            && self
                .slots
                .presence
                .liveness(&peer_of(member), now)
                .is_gone()
    }
}

/// The run of an instance behind a member.
pub(super) fn peer_of(member: &MemberView) -> Peer {
    Peer {
        instance: member.identity.instance.clone(),
        incarnation: member.identity.incarnation.0,
    }
}
