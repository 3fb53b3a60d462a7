//! Failure detection inside a region: probes, relayed probes and suspicion.

use super::rumor::Change;
use super::table::{hash_pair, join, Member};
use super::{Health, Members, PacketBody, PROBE_PERIOD_MS, PROBE_RETRY_MS, SUSPICION_TIMEOUT_MS};
use crate::id::{InstanceId, RegionId};
use crate::time::Millis;
use rand::{seq::SliceRandom, Rng};
use std::collections::BTreeMap;

/// Number of members that are asked to probe a target that did not acknowledge.
const RELAYS_PER_PROBE: usize = 2;
/// Maximum number of outstanding probes; further relay requests are ignored.
const MAX_OUTSTANDING_PROBES: usize = 64;
/// Maximum number of members of the own region that an instance probes in rotation. It bounds the
/// number of links per instance in a large region.
const MAX_PROBE_TARGETS: usize = 24;
/// Number of probe targets taken from the successors of the instance in the ring of hashed names.
/// They guarantee that a minimum number of instances probe each member.
const RING_TARGETS: usize = 8;
/// Mean time between two probes of one absent member by the whole region, in milliseconds.
const ABSENT_PROBE_PERIOD_MS: f64 = 5_000.0;
/// Maximum probability that an instance probes an absent member in one period.
const MAX_ABSENT_PROBABILITY: f64 = 0.2;
/// Mean number of instances per region that notify a newly suspected member directly.
const MEAN_SUSPECT_NOTIFIERS: f64 = 3.0;

/// A probe whose acknowledgement has not arrived yet.
#[derive(Clone, Debug)]
struct Probe {
    target: InstanceId,
    started_at: Millis,
    is_retried: bool,
    /// Instance that requested the probe, with its number for the request; none for an own probe.
    requester: Option<(InstanceId, u32)>,
}

/// Outstanding probes and the shuffled order in which members are probed next.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    outstanding: BTreeMap<u32, Probe>,
    last_number: u32,
    queue: Vec<InstanceId>,
}

impl Probes {
    pub(super) fn clear(&mut self) {
        self.outstanding.clear();
    }

    pub(super) fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }
}

impl Members {
    /// Probes the next member of the own region; reshuffles the targets after each full round.
    pub(super) fn probe_next(&mut self, now: Millis) {
        if self.probes.queue.is_empty() {
            self.probes.queue = self.probe_targets();
            self.probes.queue.shuffle(&mut self.rng);
        }
        while let Some(target) = self.probes.queue.pop() {
            let is_present = self.table.get(&target).is_some_and(Member::is_present);
            if is_present {
                self.start_probe(&target, None, now);
                return;
            }
        }
    }

    /// Returns the members of the own region that this instance probes.
    fn probe_targets(&self) -> Vec<InstanceId> {
        let own = self.own.as_str();
        let mut others: Vec<&str> = self
            .table
            .present_in(&self.own_region)
            .map(|m| m.identity.instance.as_str())
            .filter(|name| *name != own)
            .collect();
        if others.len() > MAX_PROBE_TARGETS {
            let own_position = hash_pair("ring", own);
            others.sort_by_key(|name| hash_pair("ring", name).wrapping_sub(own_position));
            others[RING_TARGETS..].sort_by_key(|name| hash_pair(own, name));
            others.truncate(MAX_PROBE_TARGETS);
        }
        let is_target = |name: &&InstanceId| others.contains(&name.as_str());
        self.table
            .members
            .keys()
            .filter(is_target)
            .cloned()
            .collect()
    }

    /// Sends a ping to `target` and tracks its acknowledgement.
    pub(super) fn start_probe(
        &mut self,
        target: &InstanceId,
        requester: Option<(InstanceId, u32)>,
        now: Millis,
    ) {
        if self.probes.outstanding.len() >= MAX_OUTSTANDING_PROBES {
            return;
        }
        let number = self.probes.next_number();
        let probe = Probe {
            target: target.clone(),
            started_at: now,
            is_retried: false,
            requester,
        };
        self.probes.outstanding.insert(number, probe);
        self.send(target, PacketBody::Ping { probe: number }, now);
    }

    /// Sends a ping without tracking its acknowledgement.
    pub(super) fn send_untracked_ping(&mut self, target: &InstanceId, now: Millis) {
        let probe = self.probes.next_number();
        self.send(target, PacketBody::Ping { probe }, now);
    }

    /// Retries probes without an acknowledgement, and fails them after one period.
    pub(super) fn check_probes(&mut self, now: Millis) {
        let age_ms = |probe: &Probe| now.since(probe.started_at);
        let is_due = |probe: &Probe| age_ms(probe) >= PROBE_RETRY_MS && !probe.is_retried;
        let due: Vec<u32> = self.matching_probes(is_due);
        for number in due {
            self.retry_probe(number, now);
        }
        let failed: Vec<u32> = self.matching_probes(|probe| age_ms(probe) >= PROBE_PERIOD_MS);
        for number in failed {
            let probe = self.probes.outstanding.remove(&number);
            if let Some(probe) = probe {
                self.on_probe_failed(&probe, now);
            }
        }
    }

    fn matching_probes(&self, is_wanted: impl Fn(&Probe) -> bool) -> Vec<u32> {
        self.probes
            .outstanding
            .iter()
            .filter(|(_, probe)| is_wanted(probe))
            .map(|(number, _)| *number)
            .collect()
    }

    fn retry_probe(&mut self, number: u32, now: Millis) {
        let Some(probe) = self.probes.outstanding.get_mut(&number) else {
            return;
        };
        probe.is_retried = true;
        let target = probe.target.clone();
        let is_own = probe.requester.is_none();
        self.send(&target, PacketBody::Ping { probe: number }, now);
        if !is_own || !self.is_in_own_region(&target) {
            return;
        }
        for relay in self.relays(&target) {
            let target = target.clone();
            let body = PacketBody::Relay {
                probe: number,
                target,
            };
            self.send(&relay, body, now);
        }
    }

    /// Picks members to probe `target` on this instance's behalf, those of the own region first.
    fn relays(&mut self, target: &InstanceId) -> Vec<InstanceId> {
        let mut relays = self.random_present(RELAYS_PER_PROBE, |m, own_region| {
            m.identity.region == *own_region && m.identity.instance != *target
        });
        if relays.len() < RELAYS_PER_PROBE {
            let missing = RELAYS_PER_PROBE - relays.len();
            relays.extend(
                self.random_present(missing, |m, own_region| m.identity.region != *own_region),
            );
        }
        relays
    }

    /// Picks random members that are known to run, other than this instance.
    pub(super) fn random_present(
        &mut self,
        count: usize,
        is_wanted: impl Fn(&Member, &RegionId) -> bool,
    ) -> Vec<InstanceId> {
        let mut found: Vec<InstanceId> = self
            .table
            .present()
            .filter(|m| m.identity.instance != self.own)
            .filter(|m| is_wanted(m, &self.own_region))
            .map(|m| m.identity.instance.clone())
            .collect();
        let (chosen, _) = found.partial_shuffle(&mut self.rng, count);
        chosen.to_vec()
    }

    fn is_in_own_region(&self, instance: &InstanceId) -> bool {
        self.table
            .get(instance)
            .is_some_and(|m| m.identity.region == self.own_region)
    }

    fn on_probe_failed(&mut self, probe: &Probe, now: Millis) {
        if probe.requester.is_some() {
            return;
        }
        if !self.is_in_own_region(&probe.target) {
            self.regions.note_failure(&probe.target, now);
            return;
        }
        let is_alive = self
            .table
            .get(&probe.target)
            .is_some_and(|m| m.is_present() && m.status.health == Health::Alive);
        if is_alive {
            self.set_health(&probe.target, Health::Suspect, now);
            self.send_untracked_ping(&probe.target, now);
        }
    }

    /// Sets the health of a member at its current sequence and gossips the change.
    pub(super) fn set_health(&mut self, instance: &InstanceId, health: Health, now: Millis) {
        let Some(member) = self.table.members.get_mut(instance) else {
            return;
        };
        let mut status = member.status;
        status.health = health;
        let merged = join(member, &status, now);
        self.rumors.add(instance, Change::Status);
        self.note_merge(instance, merged, now);
    }

    /// Declares suspected members gone that did not refute within [`SUSPICION_TIMEOUT_MS`].
    pub(super) fn expire_suspicions(&mut self, now: Millis) {
        let expired: Vec<InstanceId> = self
            .table
            .present()
            .filter(|m| m.status.health == Health::Suspect)
            .filter(|m| now.since(m.changed_at) >= SUSPICION_TIMEOUT_MS)
            .map(|m| m.identity.instance.clone())
            .collect();
        for instance in expired {
            self.set_health(&instance, Health::Gone, now);
        }
    }

    /// Handles an acknowledgement; forwards it to the requester of a relayed probe.
    pub(super) fn on_ack(&mut self, from: &InstanceId, number: u32, now: Millis) {
        let is_match = self
            .probes
            .outstanding
            .get(&number)
            .is_some_and(|probe| probe.target == *from);
        if !is_match {
            return;
        }
        let Some(probe) = self.probes.outstanding.remove(&number) else {
            return;
        };
        if let Some((requester, requester_probe)) = probe.requester {
            let body = PacketBody::RelayedAck {
                probe: requester_probe,
                target: probe.target,
            };
            self.send(&requester, body, now);
        }
    }

    /// Handles a relay's report that `target` acknowledged its probe.
    pub(super) fn on_relayed_ack(&mut self, number: u32, target: &InstanceId) {
        let is_match = self
            .probes
            .outstanding
            .get(&number)
            .is_some_and(|probe| probe.target == *target);
        if is_match {
            self.probes.outstanding.remove(&number);
        }
    }

    /// Pings a newly suspected member so that it can refute. Each instance of the region does so with
    /// a probability that yields [`MEAN_SUSPECT_NOTIFIERS`] pings on average.
    pub(super) fn notify_suspect(&mut self, instance: &InstanceId, now: Millis) {
        if !self.is_in_own_region(instance) {
            return;
        }
        let present = self.table.present_in(&self.own_region).count() as f64;
        if self
            .rng
            .random_bool((MEAN_SUSPECT_NOTIFIERS / present).min(1.0))
        {
            self.send_untracked_ping(instance, now);
        }
    }

    /// Probes, with a certain probability, a member of the own region that is gone or known from the
    /// live list only. All instances together probe each such member about once in
    /// [`ABSENT_PROBE_PERIOD_MS`].
    pub(super) fn probe_absent(&mut self, now: Millis) {
        let absent: Vec<InstanceId> = self
            .table
            .members
            .values()
            .filter(|m| !m.is_present() && m.identity.region == self.own_region)
            .map(|m| m.identity.instance.clone())
            .collect();
        if absent.is_empty() {
            return;
        }
        let present = self.table.present_in(&self.own_region).count() as f64;
        let wanted =
            absent.len() as f64 * PROBE_PERIOD_MS as f64 / ABSENT_PROBE_PERIOD_MS / present;
        let is_alone = present < 2.0 || self.is_starting(now);
        let probability = if is_alone {
            1.0
        } else {
            wanted.min(MAX_ABSENT_PROBABILITY)
        };
        if self.rng.random_bool(probability) {
            let target = &absent[self.rng.random_range(0..absent.len())];
            self.send_untracked_ping(target, now);
        }
    }
}
