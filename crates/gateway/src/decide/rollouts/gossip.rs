//! Exchange of rollout evidence, suspicions and verdicts between instances.

use super::{
    super::{gossip::EVIDENCE_CHANNEL, state::State},
    COUNTERS_PER_DIGEST, OTHER_REGION_PERIOD_MS,
};
use carobwheel_core::{
    evidence::{EvidenceDigest, Suspicion},
    id::{InstanceId, RegionId},
    member::{MemberState, MemberView},
    time::Millis,
};
use carobwheel_wire::peer::Message;
use rand::seq::IndexedRandom as _;
use std::collections::BTreeSet;

impl State {
    /// Sends a suspicion against a new version to all members at once. Gossip repeats it later.
    pub(super) fn raise_suspicion(&mut self, suspicion: Suspicion, now: Millis) {
        log::warn!("new version suspect: {suspicion:?}");
        self.rollouts.evidence.suspect(suspicion);
        let digest = EvidenceDigest {
            suspicions: vec![suspicion],
            ..EvidenceDigest::default()
        };
        for member in self.running_members() {
            self.send_digest(&member, &digest);
        }
        self.propose_verdicts(now);
    }

    /// Sends evidence to one peer of the own region and, less often, to one of each other region.
    pub(in crate::decide) fn send_evidence(&mut self, now: Millis) {
        if self.rollouts.running.is_empty() {
            return;
        }
        let members = self.running_members();
        let own_region = self.identity.region.clone();
        let (local, remote): (Vec<_>, Vec<_>) = members
            .into_iter()
            .partition(|member| member.identity.region == own_region);
        if let Some(peer) = local.choose(&mut self.rng) {
            let digest = self
                .rollouts
                .evidence
                .digest_for_region(COUNTERS_PER_DIGEST);
            self.send_digest(peer, &digest);
        }
        if now.since(self.rollouts.other_regions_sent_at) < OTHER_REGION_PERIOD_MS {
            return;
        }
        self.rollouts.other_regions_sent_at = now;
        let digest = self.rollouts.evidence.digest_for_other_region();
        let regions: BTreeSet<&RegionId> = remote.iter().map(|it| &it.identity.region).collect();
        for region in regions {
            let of_region: Vec<_> = remote
                .iter()
                .filter(|member| member.identity.region == *region)
                .collect();
            if let Some(peer) = of_region.choose(&mut self.rng) {
                self.send_digest(peer, &digest);
            }
        }
    }

    pub(in crate::decide) fn running_members(&self) -> Vec<MemberView> {
        let is_other = |member: &MemberView| {
            member.identity.instance != self.identity.id && member.state == MemberState::Alive
        };
        let members = self.members.snapshot();
        members.into_iter().filter(is_other).collect()
    }

    fn send_digest(&self, member: &MemberView, digest: &EvidenceDigest) {
        let Ok(bytes) = postcard::to_stdvec(digest) else {
            return;
        };
        let identity = &member.identity;
        let message = Message::opaque(EVIDENCE_CHANNEL, bytes);
        let addr = Some(identity.peer_addr);
        self.outputs.send(identity.instance.clone(), addr, message);
    }

    /// Merges an evidence digest from a peer.
    pub(in crate::decide) fn on_digest(
        &mut self,
        from: &InstanceId,
        digest: &EvidenceDigest,
        now: Millis,
    ) {
        log::trace!(from = from.as_str(); "evidence received");
        let changes = self.rollouts.evidence.merge(digest);
        let mut adopted = Vec::new();
        for (id, running) in &mut self.rollouts.running {
            let tag = running.state.tag();
            if let Some(suspicion) = self.rollouts.evidence.suspicion(tag) {
                running.state.suspect(*suspicion);
            }
            if let Some(verdict) = self.rollouts.evidence.verdict(tag) {
                adopted.push((id.clone(), running.writer.settle(verdict)));
            }
        }
        for (id, effects) in adopted {
            self.apply_verdict_effects(&id, effects);
        }
        for change in &changes {
            self.assess(change, now);
        }
    }
}
