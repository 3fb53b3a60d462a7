//! Decision thread's part of the status page.

use super::{slots::peer_of, state::State};
use crate::report::{DecisionStatus, MemberStatus, UpstreamStatus};
use carobwheel_core::{document::Upstream, member::MemberView, time::Millis};
use std::{collections::BTreeMap, sync::Arc};

impl State {
    /// Publishes the decision state on the status page.
    pub(super) fn publish_status(&self, now: Millis) {
        let totals = self.charging.limiter.totals();
        let configured = self.configured.as_ref();
        self.outputs.board.decisions.store(Arc::new(DecisionStatus {
            revision: self.revision(),
            members: self.member_status(),
            upstreams: self.upstream_status(now),
            waiting: self.queues.len(),
            placed: self.active.len(),
            charges: totals.charges,
            loans_taken: totals.loans_taken,
            loans_given: totals.loans_given,
            crashes: self.crashes.status(),
            retries: configured.map_or(0, |configured| configured.retrier.retries()),
            rollouts: self.rollouts.status(self.unix_now()),
        }));
    }

    fn member_status(&self) -> Vec<MemberStatus> {
        let mut slots: BTreeMap<_, usize> = BTreeMap::new();
        for owner in self.slots.owners.values() {
            *slots.entry(owner).or_default() += 1;
        }
        let status = |member: MemberView| {
            let peer = peer_of(&member);
            MemberStatus {
                slots: slots.get(&peer).copied().unwrap_or(0),
                instance: peer.instance,
                incarnation: peer.incarnation,
                region: member.identity.region,
                data_centre: member.identity.data_centre,
                state: format!("{:?}", member.state),
                is_reachable: member.is_reachable,
                revision: member.revision,
            }
        };
        self.members.snapshot().into_iter().map(status).collect()
    }

    fn upstream_status(&self, now: Millis) -> Vec<UpstreamStatus> {
        let Some(configured) = &self.configured else {
            return Vec::new();
        };
        let status = |upstream: &Upstream| {
            let load = configured.router.load(&upstream.id, now);
            UpstreamStatus {
                upstream: upstream.id.to_string(),
                requests: load.map_or(0, |load| load.requests),
                is_leaving: configured.router.is_leaving(&upstream.id),
                is_ejected: configured.outliers.is_ejected(&upstream.id),
            }
        };
        let document = &configured.in_force.document;
        document.upstreams.iter().map(status).collect()
    }
}
