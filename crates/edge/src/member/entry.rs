//! What is known of one other instance.

use crate::{
    hash::short_hash,
    limit::{DEMAND_TIMEOUT_MS, MIN_REPORTED_MS},
    place::{JobKind, LatencyForecast},
    store::Position,
};
use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

/// Interval of a process's heartbeat numbers, in milliseconds.
const BEAT_INTERVAL_MS: u64 = 50;

/// Registration entry of an instance in the store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start of the process as Unix time in milliseconds, which identifies its lifetime.
    pub life: u64,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for links from other instances.
    pub peers: SocketAddr,
    /// SHA-256 digest of its certificate.
    #[serde_as(as = "Hex")]
    pub certificate_digest: [u8; 32],
    /// Processor time that it may use, in thousandths of a core; 0 if its build does not tell.
    #[serde(default)]
    pub processor_millicores: u32,
}

impl MemberEntry {
    /// Hash that identifies the process in heartbeats.
    pub fn key(&self) -> u32 {
        short_hash(&format!("{}/{}", self.name, self.life))
    }
}

/// Heartbeat of an instance, as delegates pass it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies the process; see [`MemberEntry::key`].
    pub key: u32,
    /// Grows with the uptime of the process.
    pub beat: u32,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it follows the store.
    pub has_store: bool,
}

impl Heartbeat {
    /// Number of the heartbeat at an uptime.
    pub fn number(uptime: Millis) -> u32 {
        u32::try_from(uptime.0 / BEAT_INTERVAL_MS).unwrap_or(u32::MAX)
    }
}

/// What a message says about its sender and the link that it came on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkReport {
    /// Number of the sender's heartbeat; 0 if its build sends none.
    pub beat: u32,
    /// Whether it follows the store.
    pub has_store: bool,
    /// Whether it wants sums in return.
    pub subscribes: bool,
    /// Whether it has sent sums of what it has heard.
    pub has_sums: bool,
}

/// Instance that was removed from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemovedMember {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Time since it was last heard or registered, in milliseconds.
    pub unheard_ms: u64,
}

/// State of one other instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Registration entry.
    pub entry: MemberEntry,
    /// Hash that identifies its process in heartbeats.
    pub key: u32,
    /// Number of its latest heartbeat; 0 if its build sends none.
    pub beat: u32,
    /// Number of the latest heartbeat in a message that it sent to this instance itself.
    pub direct_beat: u32,
    /// Time of the last message that it sent to this instance itself.
    pub last_direct_at: Option<Millis>,
    /// Start of such messages without a gap.
    pub direct_since: Option<Millis>,
    /// Whether it sends messages without heartbeats, as builds do that keep links to all instances.
    pub is_full_mesh: bool,
    /// Whether it wants the sums of what this instance hears.
    pub is_subscriber: bool,
    /// Time since which this instance wants a gossip link to it; `None` if it doesn't.
    pub contact_since: Option<Millis>,
    /// Whether its entry exists in the store.
    pub has_entry: bool,
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Whether it can reach the store.
    pub has_store: bool,
    /// Time of its last message or new heartbeat.
    pub last_message_at: Option<Millis>,
    /// Time of the last update of its entry.
    pub entry_at: Millis,
    /// Revisions up to which it knows the watched prefixes of the store.
    pub revisions: Vec<u64>,
    /// Eras of the store that these revisions belong to; empty if its build does not report them.
    pub eras: Vec<u64>,
    /// Version of the configuration that it has in force; 0 if unknown.
    pub config_version: u64,
    /// Whether its build does not say what its answers to pulls leave out.
    pub hides_coverage: bool,
    /// Hashes of the names of the services of whose upstreams in its region it reaches none.
    pub cut_off: BTreeSet<u32>,
    /// Latency forecasts for its region, by a hash of the service's name and the kind of job.
    pub forecasts: HashMap<(u32, JobKind), LatencyForecast>,
}

impl Member {
    /// Whether a message or heartbeat from it arrived within the last `max_age_ms` milliseconds.
    pub fn has_message_within(&self, max_age_ms: u64, now: Millis) -> bool {
        self.last_message_at
            .is_some_and(|at| now.since(at) <= max_age_ms)
    }

    /// Whether a message that it sent to this instance itself is at most `max_age_ms` old.
    pub fn has_direct_within(&self, max_age_ms: u64, now: Millis) -> bool {
        self.last_direct_at
            .is_some_and(|at| now.since(at) <= max_age_ms)
    }

    /// Time since it was last heard or registered, in milliseconds.
    pub fn unheard_ms(&self, now: Millis) -> u64 {
        let heard_at = self.last_message_at.unwrap_or(self.entry_at);
        now.since(heard_at.max(self.entry_at))
    }

    /// Whether its messages have covered enough time to tell the demand at it.
    pub fn has_known_demand(&self, now: Millis) -> bool {
        let is_established = self
            .direct_since
            .is_some_and(|since| now.since(since) >= MIN_REPORTED_MS);
        is_established && self.has_direct_within(DEMAND_TIMEOUT_MS, now)
    }

    /// Position up to which it knows a prefix. A revision without an era counts as of `own_era`.
    pub fn position(&self, prefix: usize, own_era: u64) -> Option<Position> {
        let revision = *self.revisions.get(prefix)?;
        let era = self.eras.get(prefix).copied().unwrap_or(own_era);
        Some(Position { era, revision })
    }

    /// Its latest heartbeat; `None` if its build sends none.
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        (self.beat > 0).then_some(Heartbeat {
            key: self.key,
            beat: self.beat,
            is_ready: self.is_ready,
            has_store: self.has_store,
        })
    }
}
