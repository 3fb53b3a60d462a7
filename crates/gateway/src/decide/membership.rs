//! Membership of the fleet and the live list.

use super::{event::LiveListRead, slots::peer_of, state::State};
use crate::{
    intake::{EntryPoint, EntryPointList, ENTRY_POINTS_LIFETIME_S},
    peers::Inbound,
    platform::Command,
    settings::{Peers, Settings},
};
use carobwheel_core::{
    id::InstanceId,
    member::{self, Identity, Incarnation, LiveListEntry, MemberEvent, MemberState},
    slot::Peer,
    time::Millis,
};
use carobwheel_wire::{
    peer::Message,
    platform::{InstanceState, LiveInstance},
};
use std::net::{Ipv4Addr, SocketAddr};

/// Number of instances per region that watch the document in the store.
const WATCHERS_PER_REGION: usize = 2;

/// Returns the identity that this instance announces to its peers.
pub(super) fn own_identity(settings: &Settings, incarnation: u64) -> Identity {
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    Identity {
        instance: settings.instance.id.clone(),
        incarnation: Incarnation(incarnation),
        region: settings.instance.region.clone(),
        data_centre: settings.instance.data_centre.clone(),
        peer_addr: settings
            .peers
            .as_ref()
            .map_or(unspecified, Peers::dialled_address),
        caller_addr: settings.callers.address,
    }
}

impl State {
    pub(super) fn tick_members(&mut self, now: Millis) {
        let packets = self.members.tick(now);
        self.outputs.send_packets(packets);
        self.fetch_document(now);
        self.log_member_events(now);
    }

    /// Handles a message or document from a peer.
    pub(super) fn on_inbound(&mut self, inbound: Inbound, now: Millis) {
        match inbound {
            Inbound::Message { from, message } => self.on_message(&from, message, now),
            Inbound::DocumentFailed { from } => {
                log::debug!(from = from.as_str(); "fetching the document from a peer failed");
            }
            // Documents are parsed before they reach this thread.
            Inbound::Document { .. } => {}
        }
    }

    fn on_message(&mut self, from: &InstanceId, message: Message, now: Millis) {
        match message {
            Message::Member(packet) => self.on_packet(from, packet, now),
            Message::Opaque(opaque) => self.on_opaque(from, opaque.channel, &opaque.bytes, now),
            // The link thread answers echoes itself.
            Message::Echo(_) | Message::EchoReply(_) => {}
        }
    }

    fn on_packet(&mut self, from: &InstanceId, packet: member::Packet, now: Millis) {
        let peer = Peer {
            instance: from.clone(),
            incarnation: packet.incarnation.0,
        };
        self.slots.liveness_tracker.note_heartbeat(&peer, now);
        let answers = self.members.on_packet(from, packet, now);
        self.outputs.send_packets(answers);
        self.fetch_document(now);
    }

    /// Applies a live list read from the platform.
    pub(super) fn on_live_list(&mut self, read: &LiveListRead, now: Millis) {
        let entries: Vec<LiveListEntry> = read
            .list
            .instances
            .iter()
            .map(|instance| self.live_list_entry(instance))
            .collect();
        // The platform may keep an instance that it stops on the list for any length of time.
        let staying = entries.iter().filter(|entry| !entry.is_leaving);
        let listed: Vec<Peer> = staying
            .map(|entry| peer_of_identity(&entry.identity))
            .collect();
        let names = listed.iter().map(|peer| peer.instance.clone());
        self.slots.listed = Some(names.collect());
        self.slots
            .liveness_tracker
            .note_live_list(&listed, read.began, now);
        let packets = self.members.on_live_list(&entries, now);
        self.outputs.send_packets(packets);
        let instances = u32::try_from(self.members.snapshot().len()).unwrap_or(u32::MAX);
        self.outputs
            .command(Command::SetInstances(instances.max(1)));
    }

    /// Decides whether this instance watches the document in the store, as the first
    /// [`WATCHERS_PER_REGION`] instances of each region by name do, and those that get no newer one from
    /// their peers.
    pub(super) fn assign_document_watch(&self, now: Millis) {
        let mut names: Vec<&InstanceId> = self
            .members
            .alive_in(&self.identity.region)
            .into_iter()
            .map(|identity| &identity.instance)
            .collect();
        names.sort();
        let is_watcher = names
            .iter()
            .take(WATCHERS_PER_REGION)
            .any(|name| **name == self.identity.id)
            || self.members.is_fetch_stuck(now);
        self.outputs.command(Command::WatchDocument(is_watcher));
    }

    // A platform that reports no incarnation means the current one.
    fn live_list_entry(&self, instance: &LiveInstance) -> LiveListEntry {
        let known = self.members.member(&instance.id);
        let incarnation = instance
            .incarnation
            .or_else(|| known.map(|member| member.identity.incarnation.0))
            .unwrap_or(0);
        LiveListEntry {
            identity: Identity {
                instance: instance.id.clone(),
                incarnation: Incarnation(incarnation),
                region: instance.region.clone(),
                data_centre: instance.data_centre.clone(),
                peer_addr: instance.peer_address,
                caller_addr: instance.caller_address,
            },
            is_leaving: instance.state == InstanceState::Leaving,
        }
    }

    /// Fetches a document newer than the one in force from a peer that has one.
    fn fetch_document(&mut self, now: Millis) {
        let Some((from, addr)) = self.members.choose_fetch_peer(now) else {
            return;
        };
        let above_revision = self.revision().unwrap_or(0);
        if let Some(peers) = &self.outputs.peers {
            // After a full queue the membership table proposes the fetch again later.
            let _ = peers.fetch_document(from, addr, above_revision);
        }
    }

    /// Announces that this instance is leaving and hands over its slots.
    pub(super) fn leave(&mut self, now: Millis) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        let packets = self.members.leave(now);
        self.outputs.send_packets(packets);
        self.hand_over_slots(now);
        self.outputs.command(Command::Leave);
        self.publish_entries();
    }

    fn log_member_events(&mut self, now: Millis) {
        for event in self.members.take_events() {
            log::info!("membership: {event:?}");
            match event {
                MemberEvent::ToldToLeave => self.leave(now),
                MemberEvent::Superseded { .. } => {
                    log::error!("another process has this instance's name; leaving");
                    self.leave(now);
                }
                _ => {}
            }
        }
    }

    /// Publishes the instances that callers may use, those of the own region first.
    pub(super) fn publish_entries(&self) {
        let own_region = &self.identity.region;
        let mut members: Vec<_> = self
            .members
            .snapshot()
            .into_iter()
            .filter(|member| member.state == MemberState::Alive && member.is_reachable)
            .filter(|member| self.has_announced_document(&member.identity.instance))
            .collect();
        members.sort_by_key(|member| {
            let identity = &member.identity;
            let is_away = identity.region != *own_region;
            (is_away, identity.region.clone(), identity.instance.clone())
        });
        let owned_shards = |owner: &Peer| {
            let slots = self.slots.owners.iter();
            let owned = slots.filter(|(_, peer)| *peer == owner);
            owned.map(|(slot, _)| (slot.shard, slot.role)).collect()
        };
        let entries = members
            .into_iter()
            .map(|member| EntryPoint {
                url: format!("http://{}", member.identity.caller_addr),
                owned_shards: owned_shards(&peer_of(&member)),
                instance: member.identity.instance,
                region: member.identity.region,
            })
            .collect();
        self.outputs.entries.store(EntryPointList {
            entries,
            lifetime_s: ENTRY_POINTS_LIFETIME_S,
        });
    }
}

fn peer_of_identity(identity: &Identity) -> Peer {
    Peer {
        instance: identity.instance.clone(),
        incarnation: identity.incarnation.0,
    }
}
