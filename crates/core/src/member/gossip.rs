//! Piggybacked changes: what a packet carries, and what is taken in from one.

use super::rumor::Change;
use super::size::{entry_bytes, update_bytes};
use super::table::Member;
use super::{
    entry::is_fleet_topic, Body, EntryError, EntryView, Event, Health, KeyedEntry, Members,
    Outgoing, Packet, Record, Revised, Status, Update, MAX_ENTRIES, MAX_ENTRY_BYTES,
};
use crate::id::InstanceId;
use crate::time::Millis;
use rand::Rng;
use std::{collections::BTreeMap, mem};

/// Bytes of one packet for changes of members.
const UPDATE_BUDGET_BYTES: usize = 360;
/// Bytes of one packet for revisions.
const REVISION_BUDGET_BYTES: usize = 200;
/// Bytes of one packet for entries of other modules; one entry always fits.
const ENTRY_BUDGET_BYTES: usize = 300;
/// Bytes of one member in a list of revisions.
const REVISED_MEMBER_BYTES: usize = 4;

impl Members {
    /// Sets an entry of this instance, which replaces the former one of the topic everywhere.
    ///
    /// # Errors
    ///
    /// Refuses content over [`MAX_ENTRY_BYTES`] and a topic beyond [`MAX_ENTRIES`] of them.
    pub fn set_entry(&mut self, topic: u8, bytes: &[u8]) -> Result<(), EntryError> {
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(EntryError::TooLarge(bytes.len()));
        }
        let own = self.own_member_mut();
        let known = own.entries.get(&topic);
        if known.is_none() && own.entries.len() >= MAX_ENTRIES {
            return Err(EntryError::TooMany);
        }
        if known.is_some_and(|entry| entry.bytes == bytes) {
            return Ok(());
        }
        let version = known.map_or(1, |entry| entry.version + 1);
        own.put_entry(topic, version, bytes);
        let instance = self.own.clone();
        self.rumors.add(&instance, Change::Entry(topic));
        Ok(())
    }

    /// The newest entries of a topic, from all members that are known to run.
    pub fn entries(&self, topic: u8) -> impl Iterator<Item = EntryView<'_>> {
        self.table.present().filter_map(move |m| {
            let entry = m.entries.get(&topic)?;
            Some(EntryView {
                origin: &m.identity.instance,
                version: entry.version,
                bytes: &entry.bytes,
            })
        })
    }

    /// Sends a packet with as many recent changes as fit.
    pub(super) fn send(&mut self, to: &InstanceId, body: Body, now: Millis) {
        let receiver = self.table.get(to);
        let addr = receiver.map(|m| m.identity.peer_addr);
        let receiver_region = receiver.map(|m| m.identity.region.clone());
        let is_region_local = receiver_region.as_ref() == Some(&self.own_region);
        let is_bulk = matches!(body, Body::Records { .. } | Body::Digest { .. });
        let salt = self.rng.random();
        let mut packet = Packet {
            incarnation: self.own_incarnation,
            status: self.own_member().status,
            salt,
            table_hash: self.table.hash(salt),
            body,
            beats: self.pick_beats(receiver_region.as_ref()),
            updates: self.updates_for(to, now),
            revised: Vec::new(),
            entries: Vec::new(),
        };
        if !is_bulk {
            self.fill_updates(&mut packet, to);
            packet.revised = self.pick_revised();
            packet.entries = self.pick_entries(is_region_local);
        }
        self.out.push(Outgoing {
            to: to.clone(),
            addr,
            packet,
        });
    }

    /// Updates that the receiver has to get: who we are if it may not know, and that it counts as
    /// suspected or gone so that it can refute.
    fn updates_for(&self, to: &InstanceId, now: Millis) -> Vec<Update> {
        let mut updates = Vec::new();
        let receiver = self.table.get(to);
        let is_stranger = receiver.is_none_or(|m| m.heard_at.is_none() || !m.is_present());
        if is_stranger || self.is_starting(now) {
            updates.push(Update::Record(self.own_member().record()));
        }
        if let Some(member) = receiver.filter(|m| m.is_confirmed) {
            if member.status.health != Health::Alive {
                updates.push(status_update(member));
            }
        }
        updates
    }

    fn fill_updates(&mut self, packet: &mut Packet, to: &InstanceId) {
        let mut left = UPDATE_BUDGET_BYTES;
        let is_update = |change: &Change| matches!(change, Change::Record | Change::Status);
        for (instance, change) in self.rumors.least_sent(is_update) {
            let Some(member) = self.table.get(&instance) else {
                continue;
            };
            let update = match change {
                Change::Record => Update::Record(member.record()),
                _ => status_update(member),
            };
            let is_known = instance == *to || packet.updates.contains(&update);
            let bytes = update_bytes(&update);
            if is_known || bytes > left {
                continue;
            }
            left -= bytes;
            packet.updates.push(update);
            let factor = if change == Change::Record { 1 } else { 2 };
            let max_sent = self.max_sent(factor);
            self.rumors.mark_sent(&instance, change, max_sent);
        }
    }

    fn pick_revised(&mut self) -> Vec<Revised> {
        let is_revision = |change: &Change| *change == Change::Revision;
        let max_sent = self.max_sent(1);
        let room = REVISION_BUDGET_BYTES / REVISED_MEMBER_BYTES;
        let mut by_revision: BTreeMap<u64, Vec<[u8; 4]>> = BTreeMap::new();
        for (instance, change) in self.rumors.least_sent(is_revision).into_iter().take(room) {
            if let Some(member) = self.table.get(&instance) {
                let keys = by_revision.entry(member.status.revision).or_default();
                keys.push(member.key);
            }
            self.rumors.mark_sent(&instance, change, max_sent);
        }
        let to_revised = |(revision, member_keys)| Revised {
            revision,
            member_keys,
        };
        by_revision.into_iter().map(to_revised).collect()
    }

    fn pick_entries(&mut self, is_region_local: bool) -> Vec<KeyedEntry> {
        let mut picked = Vec::new();
        let mut left = ENTRY_BUDGET_BYTES;
        let max_sent = self.max_sent(1);
        let is_wanted = |change: &Change| match change {
            Change::Entry(topic) => is_region_local || is_fleet_topic(*topic),
            _ => false,
        };
        for (instance, change) in self.rumors.least_sent(is_wanted) {
            let Some(entry) = self.keyed_entry(&instance, change) else {
                continue;
            };
            let bytes = entry_bytes(&entry);
            if bytes > left && !picked.is_empty() {
                continue;
            }
            left = left.saturating_sub(bytes);
            picked.push(entry);
            self.rumors.mark_sent(&instance, change, max_sent);
        }
        picked
    }

    fn keyed_entry(&self, instance: &InstanceId, change: Change) -> Option<KeyedEntry> {
        let Change::Entry(topic) = change else {
            return None;
        };
        let member = self.table.get(instance)?;
        let entry = member.entries.get(&topic)?;
        Some(KeyedEntry {
            member_key: member.key,
            topic,
            version: entry.version,
            bytes: entry.bytes.clone(),
        })
    }

    /// Transmissions after which a change is no longer passed on: a multiple of the logarithm of
    /// the fleet.
    fn max_sent(&self, factor: u32) -> u32 {
        let members = self.table.members.len() as u64 + 1;
        factor * (u64::BITS - members.leading_zeros()) + 1
    }

    /// Takes in everything that a packet carries beside its purpose.
    pub(super) fn take_gossip(&mut self, packet: &Packet, now: Millis) {
        for update in &packet.updates {
            match update {
                Update::Record(record) => {
                    self.take_record(record, true, now);
                }
                Update::Status {
                    instance,
                    incarnation,
                    status,
                } => {
                    if *instance == self.own {
                        self.hear_about_self(*incarnation, status);
                        continue;
                    }
                    let merged = self.table.merge_status(instance, *incarnation, status, now);
                    self.after_merge(instance, merged, true, now);
                }
            }
        }
        for beat in &packet.beats {
            self.regions.merge_beat(*beat, now);
        }
        for revised in &packet.revised {
            self.take_revised(revised);
        }
        for entry in &packet.entries {
            self.take_entry(entry);
        }
    }

    /// Merges a record; tells whether it changed anything.
    pub(super) fn take_record(&mut self, record: &Record, is_rumor: bool, now: Millis) -> bool {
        let instance = &record.identity.instance;
        if *instance == self.own {
            self.hear_about_self(record.identity.incarnation, &record.status);
            return false;
        }
        let merged = self.table.merge_record(record, now);
        self.after_merge(instance, merged, is_rumor, now);
        let mut is_changed = merged.is_change();
        let incarnation = record.identity.incarnation;
        let member = self.table.members.get_mut(instance);
        let Some(member) = member.filter(|m| m.identity.incarnation == incarnation) else {
            return is_changed;
        };
        let mut newer = Vec::new();
        for (topic, version, bytes) in &record.entries {
            if is_fleet_topic(*topic) && member.put_entry(*topic, *version, bytes) {
                newer.push(*topic);
            }
        }
        is_changed |= !newer.is_empty();
        if is_rumor && !merged.is_new {
            for topic in newer {
                self.rumors.add(instance, Change::Entry(topic));
            }
        }
        is_changed
    }

    fn after_merge(
        &mut self,
        instance: &InstanceId,
        merged: super::table::Merged,
        is_rumor: bool,
        now: Millis,
    ) {
        let is_transition = merged.states.is_some();
        if merged.is_new {
            // While this instance starts everyone is new to it, and digests bring the rest.
            if is_rumor && !self.is_starting(now) {
                self.rumors.add(instance, Change::Record);
            }
        } else if merged.is_status_changed && (is_rumor || is_transition) {
            self.rumors.add(instance, Change::Status);
        } else if merged.is_revision_changed && is_rumor {
            self.rumors.add(instance, Change::Revision);
        }
        self.note_merge(instance, merged, now);
        let is_suspect = |m: &Member| m.status.health == Health::Suspect;
        if is_transition && self.table.get(instance).is_some_and(is_suspect) {
            self.tell_suspected(instance, now);
        }
    }

    /// Takes in what others believe about this instance, and refutes what is wrong.
    fn hear_about_self(&mut self, incarnation: super::Incarnation, status: &Status) {
        if incarnation > self.own_incarnation {
            self.report(Event::Superseded { incarnation });
        }
        if incarnation != self.own_incarnation {
            return;
        }
        if status.is_leaving && !self.own_member().status.is_leaving {
            self.set_leaving();
            self.report(Event::ToldToLeave);
        }
        let own = &mut self.own_member_mut().status;
        let is_refuted = status.health != Health::Alive && status.sequence >= own.sequence;
        if is_refuted {
            own.sequence = status.sequence.saturating_add(1);
            let instance = self.own.clone();
            self.rumors.add(&instance, Change::Status);
        }
    }

    fn take_revised(&mut self, revised: &Revised) {
        for key in &revised.member_keys {
            let Some(instance) = self.table.by_key(*key) else {
                continue;
            };
            if instance == self.own {
                continue;
            }
            let Some(member) = self.table.members.get_mut(&instance) else {
                continue;
            };
            if member.status.revision < revised.revision {
                member.status.revision = revised.revision;
                self.rumors.add(&instance, Change::Revision);
            }
        }
    }

    fn take_entry(&mut self, entry: &KeyedEntry) {
        let Some(instance) = self.table.by_key(entry.member_key) else {
            return;
        };
        if instance == self.own {
            return;
        }
        let Some(member) = self.table.members.get_mut(&instance) else {
            return;
        };
        if member.put_entry(entry.topic, entry.version, &entry.bytes) {
            self.rumors.add(&instance, Change::Entry(entry.topic));
        }
    }

    /// Takes in that the sender itself is there.
    pub(super) fn hear_from(&mut self, from: &InstanceId, packet: &Packet, now: Millis) {
        let merged = self
            .table
            .merge_status(from, packet.incarnation, &packet.status, now);
        self.after_merge(from, merged, true, now);
        let Some(member) = self.table.members.get_mut(from) else {
            return;
        };
        if member.identity.incarnation != packet.incarnation {
            return;
        }
        member.heard_at = Some(now);
        let region = member.identity.region.clone();
        let is_doubted = member.status.health != Health::Alive;
        self.regions.hear(&region, now);
        if is_doubted && !matches!(packet.body, Body::Ping { .. }) {
            self.send_untracked_ping(from, now);
        }
    }

    /// Acts on the purpose of a packet.
    pub(super) fn handle_body(&mut self, from: &InstanceId, salt: u16, body: Body, now: Millis) {
        match body {
            Body::Ping { probe } => self.send(from, Body::Ack { probe }, now),
            Body::Ack { probe } => self.on_ack(from, probe, now),
            Body::Relay { probe, target } => {
                if target != self.own && self.table.get(&target).is_some() {
                    self.start_probe(&target, Some((from.clone(), probe)), now);
                }
            }
            Body::RelayedAck { probe, target } => self.on_relayed_ack(probe, &target),
            Body::Digest { buckets } => self.on_digest(from, salt, &buckets, now),
            Body::Records {
                differing,
                records,
                wants_reply,
            } => self.on_records(from, differing, &records, wants_reply, now),
        }
    }

    /// Packets collected so far.
    pub(super) fn take_out(&mut self) -> Vec<Outgoing> {
        mem::take(&mut self.out)
    }
}

fn status_update(member: &Member) -> Update {
    Update::Status {
        instance: member.identity.instance.clone(),
        incarnation: member.identity.incarnation,
        status: member.status,
    }
}
