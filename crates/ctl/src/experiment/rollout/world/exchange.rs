//! Evidence, suspicions and verdicts that the instances tell each other.

use super::{schedule::Event, World, INSTANCES, OUTAGE_END_MS, REGIONS, REGION_GOSSIP_INTERVAL_MS};
use carobwheel_core::{
    evidence::{EvidenceChange, EvidenceDigest, Suspicion},
    time::Millis,
};
use rand::Rng as _;

const CROSS_REGION_GOSSIP_INTERVAL_MS: u64 = 500;
const CROSS_REGION_DELAY_MS: u64 = 80;
const MAX_DIGEST_ENTRIES: usize = 32;

impl World<'_> {
    pub(super) fn assess_own_evidence(&mut self, index: usize) {
        let changes = self.instances[index].evidence.count(Millis(self.now_ms));
        for change in &changes {
            self.assess_evidence(index, change);
        }
    }

    fn assess_evidence(&mut self, index: usize, change: &EvidenceChange) {
        let now = Millis(self.now_ms);
        let raised = self.instances[index].state.add_evidence(change, now);
        if let Some(suspicion) = raised {
            self.raise_suspicion(index, suspicion);
        }
    }

    // Sends a suspicion to all instances immediately. Gossip repeats it, so a lost message only
    // delays it.
    fn raise_suspicion(&mut self, index: usize, suspicion: Suspicion) {
        if self.result.suspicion_ms.is_none() {
            let first_fault_at_ms = self.first_fault_at_ms.unwrap_or(self.now_ms);
            self.result.suspicion_ms = Some(self.now_ms - first_fault_at_ms);
        }
        self.instances[index].evidence.suspect(suspicion);
        for other in 0..INSTANCES {
            let digest = EvidenceDigest {
                suspicions: vec![suspicion],
                ..EvidenceDigest::default()
            };
            self.send(index, other, digest);
        }
        self.propose(index);
    }

    pub(super) fn is_region_partitioned(&self, region: usize) -> bool {
        let is_outage = self.now_ms < OUTAGE_END_MS;
        self.case.disturbances.is_partitioned && is_outage && region == REGIONS.len() - 1
    }

    fn send(&mut self, from: usize, to: usize, digest: EvidenceDigest) {
        let (from_region, to_region) = (self.instances[from].region, self.instances[to].region);
        let is_cross_region = from_region != to_region;
        let is_blocked = is_cross_region
            && (self.is_region_partitioned(from_region) || self.is_region_partitioned(to_region));
        if from == to || is_blocked || self.rng.random_bool(0.01) {
            return;
        }
        let delay_ms = if is_cross_region {
            CROSS_REGION_DELAY_MS
        } else {
            1
        };
        let jitter_ms = self.rng.random_range(0..=delay_ms / 4);
        self.schedule_after(
            delay_ms + jitter_ms,
            Event::DeliverDigest(to, Box::new(digest)),
        );
    }

    pub(super) fn region_gossip(&mut self, index: usize) {
        self.schedule_after(REGION_GOSSIP_INTERVAL_MS, Event::RegionGossip(index));
        self.assess_own_evidence(index);
        let peer = (index + REGIONS.len()) % INSTANCES;
        let digest = self.instances[index]
            .evidence
            .digest_for_region(MAX_DIGEST_ENTRIES);
        self.send(index, peer, digest);
    }

    pub(super) fn cross_region_gossip(&mut self, index: usize) {
        self.schedule_after(
            CROSS_REGION_GOSSIP_INTERVAL_MS,
            Event::CrossRegionGossip(index),
        );
        let region = self.instances[index].region;
        for other_region in (0..REGIONS.len()).filter(|other| *other != region) {
            let peers = INSTANCES / REGIONS.len();
            let peer = other_region + REGIONS.len() * self.rng.random_range(0..peers);
            let digest = self.instances[index].evidence.digest_for_other_region();
            self.send(index, peer, digest);
        }
    }

    pub(super) fn deliver_digest(&mut self, index: usize, digest: &EvidenceDigest) {
        let instance = &mut self.instances[index];
        let changes = instance.evidence.merge(digest);
        let tag = instance.state.tag();
        if let Some(suspicion) = instance.evidence.suspicion(tag) {
            instance.state.suspect(*suspicion);
        }
        if let Some(verdict) = instance.evidence.verdict(tag) {
            let effects = instance.writer.settle(verdict);
            self.apply_verdict_effects(index, &effects);
        }
        for change in &changes {
            self.assess_evidence(index, change);
        }
    }
}
