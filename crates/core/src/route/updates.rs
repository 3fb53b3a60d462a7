//! News of upstreams and peers that a router takes in, and what it tells its peers.

use super::digest::{LeavingNotice, LoadDigest, LoadDigestEntry, DIGEST_LIFETIME_MS};
use super::router::{add_peer, Peer, Router};
use super::upstream::UpstreamState;
use super::{LeavingSource, Load, UpstreamReport};
use crate::id::{InstanceId, UpstreamId};
use crate::time::Millis;

impl Router {
    /// An upstream begins to leave: it gets no new work until it registers anew.
    ///
    /// `registration` is the one that leaves, if the source knows it; news of an older one than the
    /// current is ignored.
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
                state.is_leaving_by_news = true;
            }
        }
    }

    /// An upstream has registered: a higher number than the last known is a new start with a cold
    /// cache, which ends the leaving of the former one.
    pub fn register(&mut self, upstream: &UpstreamId, registration: u64, now: Millis) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if registration <= state.registration {
            return;
        }
        let is_first = state.registration == 0 && !state.is_leaving_by_news;
        state.registration = registration;
        state.is_leaving_by_news = false;
        if !is_first {
            state.restart(now);
        }
    }

    /// Takes in an upstream's own report.
    pub fn report(&mut self, upstream: &UpstreamId, report: UpstreamReport, now: Millis) {
        self.register(upstream, report.registration, now);
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if report.registration < state.registration {
            return;
        }
        state.is_leaving_by_news |= report.is_leaving;
        state.report = Some(report);
    }

    /// Takes an upstream out or back in, as outlier ejection decides. One that comes back is
    /// given its work by a ramp.
    pub fn set_ejected(&mut self, upstream: &UpstreamId, is_ejected: bool, now: Millis) {
        let Some(state) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if state.is_ejected && !is_ejected {
            state.readmitted_at = Some(now);
        }
        state.is_ejected = is_ejected;
    }

    /// The engine has evicted these prefixes from its cache.
    pub fn cache_evicted(&mut self, upstream: &UpstreamId, prefix_hashes: &[u64]) {
        if let Some(state) = self.upstreams.get_mut(upstream) {
            state.prefixes.remove(prefix_hashes);
        }
    }

    /// This instance's work for its peers. `sequence` has to grow, also over restarts of the
    /// instance; civil time in milliseconds does.
    pub fn digest(&self, sequence: u64) -> LoadDigest {
        let states = self.upstreams.values();
        let is_busy = |state: &&UpstreamState| !state.own.is_idle();
        let entry = |state: &UpstreamState| LoadDigestEntry::new(state.short_hash(), &state.own);
        let notice = |state: &UpstreamState| LeavingNotice {
            upstream: state.short_hash(),
            registration: state.registration,
        };
        let is_leaving = |state: &&UpstreamState| state.is_leaving_by_news;
        LoadDigest {
            sequence,
            entries: states.clone().filter(is_busy).map(entry).collect(),
            leaving: states.filter(is_leaving).map(notice).collect(),
        }
    }

    /// Takes in a peer's digest; an older one than the last is dropped.
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
        add_peer(&mut self.upstreams, &loads);
        let peer = Peer {
            sequence: digest.sequence,
            received_at: now,
            loads,
        };
        self.peers.insert(from.clone(), peer);
    }

    /// A peer is gone: its work no longer counts.
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

    /// Forgets the work of peers that have been silent for [`DIGEST_LIFETIME_MS`]. To be called
    /// about once a second.
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

    /// Work in flight on an upstream as this instance knows it; none if the upstream is unknown.
    pub fn load(&self, upstream: &UpstreamId, now: Millis) -> Option<Load> {
        Some(self.upstreams.get(upstream)?.load(now))
    }

    /// Whether an upstream is leaving, by any source; an unknown one is.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let state = self.upstreams.get(upstream);
        state.is_none_or(UpstreamState::is_leaving)
    }

    /// Attempts that this instance has in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.flights.len()
    }
}
