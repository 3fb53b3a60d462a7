//! Handling of received packets.

use super::entry::is_fleet_topic;
use super::rumor::Change;
use super::table::{Member, MergeResult};
use super::{
    Health, Incarnation, KeyedEntry, MemberEvent, MemberRecord, Members, Packet, PacketBody,
    RevisionUpdate, Status, Update,
};
use crate::id::InstanceId;
use crate::time::Millis;

impl Members {
    /// Applies the piggybacked changes of a packet.
    pub(super) fn apply_gossip(&mut self, packet: &Packet, now: Millis) {
        for update in &packet.updates {
            match update {
                Update::Record(record) => {
                    self.apply_record(record, true, now);
                }
                Update::Status {
                    instance,
                    incarnation,
                    status,
                } => {
                    if *instance == self.own {
                        self.handle_own_status(*incarnation, status);
                        continue;
                    }
                    let merged = self.table.merge_status(instance, *incarnation, status, now);
                    self.after_merge(instance, merged, true, now);
                }
            }
        }
        for heartbeat in &packet.heartbeats {
            self.regions.merge_heartbeat(*heartbeat, now);
        }
        for update in &packet.revisions {
            self.apply_revision_update(update, now);
        }
        for entry in &packet.entries {
            self.apply_entry(entry);
        }
    }

    /// Merges a record; returns whether it changed anything. Changes are gossiped further if
    /// `is_rumor` is set.
    pub(super) fn apply_record(
        &mut self,
        record: &MemberRecord,
        is_rumor: bool,
        now: Millis,
    ) -> bool {
        let instance = &record.identity.instance;
        if *instance == self.own {
            self.handle_own_status(record.identity.incarnation, &record.status);
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
        merged: MergeResult,
        is_rumor: bool,
        now: Millis,
    ) {
        let is_transition = merged.states.is_some();
        if merged.is_new {
            // During start-up every member is new, and digests distribute the records anyway.
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
            self.notify_suspect(instance, now);
        }
    }

    /// Handles another instance's view of this one: refutes a suspicion by a higher sequence, and
    /// detects a newer incarnation and a request to leave.
    fn handle_own_status(&mut self, incarnation: Incarnation, status: &Status) {
        if incarnation > self.own_incarnation {
            self.report(MemberEvent::Superseded { incarnation });
        }
        if incarnation != self.own_incarnation {
            return;
        }
        if status.is_leaving && !self.own_member().status.is_leaving {
            self.set_leaving();
            self.report(MemberEvent::ToldToLeave);
        }
        let own = &mut self.own_member_mut().status;
        let is_refuted = status.health != Health::Alive && status.sequence >= own.sequence;
        if is_refuted {
            own.sequence = status.sequence.saturating_add(1);
            let instance = self.own.clone();
            self.rumors.add(&instance, Change::Status);
        }
    }

    fn apply_revision_update(&mut self, update: &RevisionUpdate, now: Millis) {
        for key in &update.member_keys {
            let Some(instance) = self.table.by_key(*key) else {
                continue;
            };
            if instance == self.own {
                continue;
            }
            let Some(member) = self.table.members.get_mut(&instance) else {
                continue;
            };
            if member.status.revision < update.revision {
                member.status.revision = update.revision;
                self.sync.note_change(now);
                self.rumors.add(&instance, Change::Revision);
            }
        }
    }

    fn apply_entry(&mut self, entry: &KeyedEntry) {
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

    /// Records that a packet arrived from the sender itself, and merges the sender's status. A sender
    /// that still counts as suspected or gone gets a ping so that it can refute.
    pub(super) fn record_sender_contact(
        &mut self,
        from: &InstanceId,
        packet: &Packet,
        now: Millis,
    ) {
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
        member.last_packet_at = Some(now);
        let region = member.identity.region.clone();
        let is_not_alive = member.status.health != Health::Alive;
        self.regions.record_packet(&region, now);
        if is_not_alive && !matches!(packet.body, PacketBody::Ping { .. }) {
            self.send_untracked_ping(from, now);
        }
    }

    /// Handles the body of a packet.
    pub(super) fn handle_body(
        &mut self,
        from: &InstanceId,
        salt: u16,
        body: PacketBody,
        now: Millis,
    ) {
        match body {
            PacketBody::Ping { probe } => self.send(from, PacketBody::Ack { probe }, now),
            PacketBody::Ack { probe } => self.on_ack(from, probe, now),
            PacketBody::Relay { probe, target } => {
                if target != self.own && self.table.get(&target).is_some() {
                    self.start_probe(&target, Some((from.clone(), probe)), now);
                }
            }
            PacketBody::RelayedAck { probe, target } => self.on_relayed_ack(probe, &target),
            PacketBody::Digest { buckets } => self.on_digest(from, salt, &buckets, now),
            PacketBody::Records {
                differing,
                records,
                wants_reply,
            } => self.on_records(from, differing, &records, wants_reply, now),
        }
    }
}
