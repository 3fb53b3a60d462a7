//! Updates of a router from upstreams and peers, and its load digests for peers.

use super::digest::{LeavingNotice, LoadDigest, LoadDigestEntry, DIGEST_LIFETIME_MS};
use super::router::{add_peer_loads, Peer, Router};
use super::upstream::UpstreamState;
use super::{LeavingSource, Load, UpstreamReport};
use crate::id::{InstanceId, UpstreamId};
use crate::time::Millis;

impl Router {
    /// Marks an upstream as leaving: it gets no new requests until it registers again.
    ///
    /// `registration` is the registration that is leaving, if the source knows it. Notices about a
    /// registration older than the current one are ignored.
    pub fn mark_leaving(
        &mut self,
        upstream: &UpstreamId,
        source: LeavingSource,
        registration: Option<u64>,
    ) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let registration = registration.unwrap_or(state.registration);
        if registration < state.registration {
            return;
        }
        state.registration = registration;
        match source {
            LeavingSource::Document => state.is_leaving_by_document = true,
            LeavingSource::Upstream | LeavingSource::LiveList | LeavingSource::Gossip => {
                state.is_leaving_by_notice = true;
            }
        }
    }

    /// Records the registration of an upstream.
    ///
    /// A number higher than the last known one means that the upstream has restarted with a cold
    /// cache, and clears the leaving state of the previous registration.
    pub fn register(&mut self, upstream: &UpstreamId, registration: u64, now: Millis) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if registration <= state.registration {
            return;
        }
        let is_first = state.registration == 0 && !state.is_leaving_by_notice;
        state.registration = registration;
        state.is_leaving_by_notice = false;
        if !is_first {
            state.restart(now);
        }
    }

    /// Applies a load report from an upstream.
    pub fn report(&mut self, upstream: &UpstreamId, report: UpstreamReport, now: Millis) {
        self.register(upstream, report.registration, now);
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if report.registration < state.registration {
            return;
        }
        state.is_leaving_by_notice |= report.is_leaving;
        state.report = Some(report);
    }

    /// Ejects or readmits an upstream, as decided by outlier detection. The load of a readmitted
    /// upstream is increased gradually (slow start).
    pub fn set_ejected(&mut self, upstream: &UpstreamId, is_ejected: bool, now: Millis) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if state.is_ejected && !is_ejected {
            state.readmitted_at = Some(now);
        }
        state.is_ejected = is_ejected;
    }

    /// Records that the engine has evicted these prefixes from its cache.
    pub fn cache_evicted(&mut self, upstream: &UpstreamId, prefix_hashes: &[u64]) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.prefixes.remove(prefix_hashes);
        }
    }

    /// Returns the digest of this instance's load, to be sent to its peers.
    ///
    /// `sequence` has to increase, including across restarts of the instance; Unix time in
    /// milliseconds satisfies this.
    pub fn digest(&self, sequence: u64) -> LoadDigest {
        let states = self.upstreams.values();
        let is_busy = |state: &&UpstreamState| !state.own.is_idle();
        let entry = |state: &UpstreamState| LoadDigestEntry::new(state.short_hash(), &state.own);
        let notice = |state: &UpstreamState| LeavingNotice {
            upstream: state.short_hash(),
            registration: state.registration,
        };
        let is_leaving = |state: &&UpstreamState| state.is_leaving_by_notice;
        LoadDigest {
            sequence,
            entries: states.clone().filter(is_busy).map(entry).collect(),
            leaving: states.filter(is_leaving).map(notice).collect(),
        }
    }

    /// Applies a peer's digest. The loads of a digest that is not newer than the last one are
    /// dropped; its leaving notices always apply.
    pub fn apply_digest(&mut self, from: &InstanceId, digest: &LoadDigest, now: Millis) {
        for notice in &digest.leaving {
            if let Some(id) = self.by_hash.get(&notice.upstream).cloned() {
                self.mark_leaving(&id, LeavingSource::Gossip, Some(notice.registration));
            }
        }
        let last = self.peers.get(from).map(|peer| peer.sequence);
        if last.is_some_and(|last| digest.sequence <= last) {
            return;
        }
        self.drop_peer(from);
        let id = |entry: &LoadDigestEntry| self.by_hash.get(&entry.upstream).cloned();
        let loads: Vec<_> = digest
            .entries
            .iter()
            .filter_map(|entry| Some((id(entry)?, entry.load())))
            .collect();
        add_peer_loads(&mut self.upstreams, &loads);
        let peer = Peer {
            sequence: digest.sequence,
            received_at: now,
            loads,
        };
        self.peers.insert(from.clone(), peer);
    }

    /// Removes the load of a peer that is gone.
    pub fn drop_peer(&mut self, peer: &InstanceId) {
        let Some(peer) = self.peers.remove(peer) else {
            return;
        };
        for (id, load) in &peer.loads {
            if let Some(state) = self.upstreams.get_mut(id) {
                state.peers -= *load;
                state.busy_peers -= 1;
            }
        }
    }

    /// Removes the load of peers that have been silent for [`DIGEST_LIFETIME_MS`]. Has to be called
    /// about once per second.
    pub fn expire(&mut self, now: Millis) {
        let is_silent = |peer: &Peer| now.since(peer.received_at) >= DIGEST_LIFETIME_MS;
        let silent: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| is_silent(peer))
            .map(|(id, _)| id.clone())
            .collect();
        silent.iter().for_each(|id| self.drop_peer(id));
    }

    /// Returns this instance's estimate of the in-flight load on an upstream, or `None` if the
    /// upstream is unknown.
    pub fn load(&self, upstream: &UpstreamId, now: Millis) -> Option<Load> {
        Some(self.upstreams.get(upstream)?.load(now))
    }

    /// Whether an upstream is leaving according to any source. Unknown upstreams count as leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let state = self.upstreams.get(upstream);
        state.is_none_or(UpstreamState::is_leaving)
    }

    /// Returns the number of attempts that this instance has in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }
}
