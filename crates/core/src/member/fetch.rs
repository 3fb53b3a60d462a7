//! Choice of the peer from which to fetch a newer document revision.

use super::table::Member;
use super::Members;
use crate::id::InstanceId;
use crate::time::Millis;
use rand::Rng;
use std::net::SocketAddr;

/// Time after which a fetch of the same revision is advised again, in milliseconds.
const FETCH_RETRY_MS: u64 = 700;

/// Time without progress after which a fetch from peers counts as stuck, in milliseconds.
const STUCK_MS: u64 = 2_000;

/// Progress of fetching from peers.
#[derive(Clone, Debug, Default)]
pub(super) struct LastFetch {
    /// Time and revision of the last fetch that was advised.
    last: Option<(Millis, u64)>,
    /// Time since which a peer has had a higher revision, and the own revision at that time.
    behind: Option<(Millis, u64)>,
}

impl Members {
    /// Chooses a random peer, with its address, that has the highest revision in force if that is
    /// higher than this instance's; peers of the own region are preferred. The same revision is
    /// advised again, perhaps from another peer, only after a retry delay. The caller may
    /// therefore ask after every packet and tick, and fetches whenever a peer is returned.
    pub fn choose_fetch_peer(&mut self, now: Millis) -> Option<(InstanceId, SocketAddr)> {
        let own_revision = self.own_member().status.revision;
        let newer = |m: &&Member| m.status.revision > own_revision;
        let highest = self
            .table
            .present()
            .filter(newer)
            .map(|m| m.status.revision);
        let Some(highest) = highest.max() else {
            self.fetch.behind = None;
            return None;
        };
        let is_known = |(_, revision): &(Millis, u64)| *revision == own_revision;
        if !self.fetch.behind.as_ref().is_some_and(is_known) {
            self.fetch.behind = Some((now, own_revision));
        }
        if let Some((at, revision)) = self.fetch.last {
            if highest <= revision && now.since(at) < FETCH_RETRY_MS {
                return None;
            }
        }
        let mut candidates: Vec<&Member> = self
            .table
            .present()
            .filter(|m| m.status.revision == highest)
            .collect();
        let is_local = |m: &&Member| m.identity.region == self.own_region;
        if candidates.iter().any(is_local) {
            candidates.retain(is_local);
        }
        let chosen = candidates[self.rng.random_range(0..candidates.len())];
        self.fetch.last = Some((now, highest));
        Some((chosen.identity.instance.clone(), chosen.identity.peer_addr))
    }

    /// Whether a peer has had a newer revision for a while and fetches have brought nothing, so that the
    /// document has to be read from the store.
    pub fn is_fetch_stuck(&self, now: Millis) -> bool {
        let behind = self.fetch.behind;
        behind.is_some_and(|(since, _)| now.since(since) >= STUCK_MS)
    }
}
