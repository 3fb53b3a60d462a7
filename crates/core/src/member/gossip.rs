//! Sending packets and selecting the changes piggybacked on them.

use super::rumor::Change;
use super::size::{entry_bytes, update_bytes};
use super::table::Member;
use super::{
    entry::is_fleet_topic, EntryError, EntryView, Health, KeyedEntry, Members, Outgoing, Packet,
    PacketBody, RevisionUpdate, Update, MAX_ENTRIES, MAX_ENTRY_BYTES,
};
use crate::id::InstanceId;
use crate::time::Millis;
use rand::Rng;
use std::{collections::BTreeMap, mem};

/// Maximum bytes of member updates in one packet.
const UPDATE_BUDGET_BYTES: usize = 360;
/// Maximum bytes of revision updates in one packet.
const REVISION_BUDGET_BYTES: usize = 200;
/// Maximum bytes of entries of other modules in one packet. The first entry is sent even if it is
/// larger.
const ENTRY_BUDGET_BYTES: usize = 300;
/// Encoded size of one member key in a revision update, in bytes.
const MEMBER_KEY_BYTES: usize = 4;

impl Members {
    /// Sets an entry of this instance and gossips it; it replaces the previous one of the topic.
    ///
    /// # Errors
    ///
    /// Returns an error if the content exceeds [`MAX_ENTRY_BYTES`], or if the topic is new and the
    /// instance has [`MAX_ENTRIES`] entries already.
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

    /// Returns the newest entry of a topic from each member that is known to run.
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

    /// Queues a packet with as many recent changes as fit; digests and records carry none.
    pub(super) fn send(&mut self, to: &InstanceId, body: PacketBody, now: Millis) {
        let receiver = self.table.get(to);
        let addr = receiver.map(|m| m.identity.peer_addr);
        let receiver_region = receiver.map(|m| m.identity.region.clone());
        let is_region_local = receiver_region.as_ref() == Some(&self.own_region);
        let is_bulk = matches!(body, PacketBody::Records { .. } | PacketBody::Digest { .. });
        let salt = self.rng.random();
        let mut packet = Packet {
            incarnation: self.own_incarnation,
            status: self.own_member().status,
            salt,
            table_hash: self.table.hash(salt),
            body,
            heartbeats: self.pick_heartbeats(receiver_region.as_ref()),
            updates: self.updates_for(to, now),
            revisions: Vec::new(),
            entries: Vec::new(),
        };
        if !is_bulk {
            self.fill_updates(&mut packet, to);
            packet.revisions = self.pick_revisions();
            packet.entries = self.pick_entries(is_region_local);
        }
        self.out.push(Outgoing {
            to: to.clone(),
            addr,
            packet,
        });
    }

    /// Returns the updates that the receiver must get: this instance's record if the receiver may
    /// not know it, and the receiver's own status if it is not alive, so that it can refute.
    fn updates_for(&self, to: &InstanceId, now: Millis) -> Vec<Update> {
        let mut updates = Vec::new();
        let receiver = self.table.get(to);
        let is_stranger = receiver.is_none_or(|m| m.last_packet_at.is_none() || !m.is_present());
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

    fn pick_revisions(&mut self) -> Vec<RevisionUpdate> {
        let is_revision = |change: &Change| *change == Change::Revision;
        let max_sent = self.max_sent(1);
        let room = REVISION_BUDGET_BYTES / MEMBER_KEY_BYTES;
        let mut by_revision: BTreeMap<u64, Vec<[u8; 4]>> = BTreeMap::new();
        for (instance, change) in self.rumors.least_sent(is_revision).into_iter().take(room) {
            if let Some(member) = self.table.get(&instance) {
                let keys = by_revision.entry(member.status.revision).or_default();
                keys.push(member.key);
            }
            self.rumors.mark_sent(&instance, change, max_sent);
        }
        let to_update = |(revision, member_keys)| RevisionUpdate {
            revision,
            member_keys,
        };
        by_revision.into_iter().map(to_update).collect()
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

    /// Returns the number of transmissions after which a change is no longer gossiped: a multiple of
    /// the logarithm of the fleet size.
    fn max_sent(&self, factor: u32) -> u32 {
        let members = self.table.members.len() as u64 + 1;
        factor * (u64::BITS - members.leading_zeros()) + 1
    }

    /// Removes and returns the queued packets.
    pub(super) fn take_outgoing(&mut self) -> Vec<Outgoing> {
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
