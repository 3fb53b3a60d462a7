//! What this instance tells its peers besides heartbeats, and what it hears from them.

use super::{slots::peer_of, state::State};
use carobwheel_core::{
    limit::LoanMessage,
    route::{LoadDigest, DIGEST_LIFETIME_MS},
    slot::Peer,
    time::Millis,
};

/// Channel of messages about loans.
pub(super) const LOAN_CHANNEL: u8 = 1;
/// Topic of the settled revision; travels to the whole fleet.
const SETTLED_TOPIC: u8 = 1;
/// Topic of the work in flight; stays inside the region.
const LOAD_TOPIC: u8 = 200;
const _: () = assert!(LOAD_TOPIC > carobwheel_core::member::MAX_FLEET_TOPIC);
const _: () = assert!(DIGEST_LIFETIME_MS > 1_000);

impl State {
    /// Tells the peers what has changed here, and takes in what has changed there.
    pub(super) fn gossip(&mut self, now: Millis) {
        self.tell_settled_revision();
        self.tell_load();
        self.hear_loads(now);
    }

    fn tell_settled_revision(&mut self) {
        let revision = self.charging.limiter.settled_revision();
        self.set_entry(SETTLED_TOPIC, &revision);
    }

    fn tell_load(&mut self) {
        let Some(configured) = &self.configured else {
            return;
        };
        self.digest_sequence += 1;
        let digest = configured.router.digest(self.digest_sequence);
        self.set_entry(LOAD_TOPIC, &digest);
    }

    fn set_entry<T: serde::Serialize>(&mut self, topic: u8, value: &T) {
        let encoded = postcard::to_stdvec(value);
        let Ok(bytes) = encoded else {
            return;
        };
        if let Err(err) = self.members.set_entry(topic, &bytes) {
            log::warn!(topic = topic; "gossip entry left out: {err}");
        }
    }

    fn hear_loads(&mut self, now: Millis) {
        let Some(configured) = &mut self.configured else {
            return;
        };
        for entry in self.members.entries(LOAD_TOPIC) {
            if *entry.origin == self.identity.id {
                continue;
            }
            if let Ok(digest) = postcard::from_bytes::<LoadDigest>(entry.bytes) {
                configured.router.apply_digest(entry.origin, &digest, now);
            }
        }
    }

    /// The lowest settled revision of all `present` members; none as long as one has said nothing.
    pub(super) fn fleet_settled_revision(&self, present: &[Peer]) -> Option<u64> {
        let mut lowest = self.charging.limiter.settled_revision();
        let told: std::collections::HashMap<_, u64> = self
            .members
            .entries(SETTLED_TOPIC)
            .filter_map(|entry| Some((entry.origin, postcard::from_bytes(entry.bytes).ok()?)))
            .collect();
        for peer in present {
            if *peer != self.me {
                lowest = lowest.min(*told.get(&peer.instance)?);
            }
        }
        Some(lowest)
    }

    /// Takes a message that another module of a peer has sent.
    pub(super) fn on_opaque(
        &mut self,
        from: &carobwheel_core::id::InstanceId,
        channel: u8,
        bytes: &[u8],
        now: Millis,
    ) {
        if channel != LOAN_CHANNEL {
            log::debug!(channel = channel; "message of an unknown channel skipped");
            return;
        }
        let Ok((incarnation, message)) = postcard::from_bytes::<(u64, LoanMessage)>(bytes) else {
            log::warn!(from = from.as_str(); "malformed message about loans skipped");
            return;
        };
        let is_current = self
            .members
            .member(from)
            .is_some_and(|member| peer_of(&member).incarnation == incarnation);
        if is_current {
            let from = Peer {
                instance: from.clone(),
                incarnation,
            };
            self.on_loans(&from, &message, now);
        }
    }
}
