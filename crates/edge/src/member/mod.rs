//! An instance's view of the other instances of the fleet.
//!
//! An entry in the store, under a lease, holds the addresses of an instance and the digest of its
//! certificate. Whether it is alive and ready is known from its own messages.

use crate::{
    limit::Fleet,
    place::{JobKind, LatencyForecast},
    store::Position,
};
use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Interval of messages to an instance of the same region in a small fleet, in milliseconds.
const SAME_REGION_PERIOD_MS: u64 = 100;
/// Interval of messages to an instance of another region in a small fleet, in milliseconds.
const OTHER_REGION_PERIOD_MS: u64 = 250;
/// Number of other instances up to which the intervals are constant; in a larger fleet they grow,
/// so that an instance's message rate stays the same.
const SMALL_FLEET_PEERS: u64 = 10;
/// Instances of each region that watch the store; the others receive changes from them.
const WATCHERS_PER_REGION: usize = 2;
/// Upper bound on the interval of messages, in milliseconds.
const MAX_PERIOD_MS: u64 = 1_000;
/// Time without a message after which an instance is no longer listed for callers, in milliseconds.
const LISTED_TIMEOUT_MS: u64 = 2_200;
/// Time without a message, in addition to one interval, after which an instance's use of accounts
/// counts as unknown, in milliseconds.
const REACHABLE_TIMEOUT_MS: u64 = 450;
/// Time without a message after which an instance without an entry is removed, in milliseconds.
const REMOVE_TIMEOUT_MS: u64 = 10_000;

/// Uptime until which an instance that knows others but has heard none is not ready, in
/// milliseconds. The first message tells it which prompt parts are held.
const MAX_JOIN_MS: u64 = 2_000;

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
}

/// State of one other instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// Registration entry.
    pub entry: MemberEntry,
    /// Whether its entry exists in the store.
    pub has_entry: bool,
    /// Whether it accepts requests.
    pub is_ready: bool,
    /// Whether it can reach the store.
    pub has_store: bool,
    /// Time of its last message.
    pub last_message_at: Option<Millis>,
    /// Time of the last update of its entry.
    pub entry_at: Millis,
    /// Revisions up to which it knows the watched prefixes of the store.
    pub revisions: Vec<u64>,
    /// Eras of the store that these revisions belong to; empty if its build does not report them.
    pub eras: Vec<u64>,
    /// Version of the configuration that it has in force; 0 if unknown.
    pub config_version: u64,
    /// Latency forecasts for its region, by a hash of the service's name and the kind of job.
    pub forecasts: HashMap<(u32, JobKind), LatencyForecast>,
}

impl Member {
    /// Whether a message from it arrived within the last `silence_ms` milliseconds.
    pub fn has_message_within(&self, max_age_ms: u64, now: Millis) -> bool {
        self.last_message_at
            .is_some_and(|at| now.since(at) <= max_age_ms)
    }

    /// Position up to which it knows a prefix. A revision without an era counts as of `own_era`.
    pub fn position(&self, prefix: usize, own_era: u64) -> Option<Position> {
        let revision = *self.revisions.get(prefix)?;
        let era = self.eras.get(prefix).copied().unwrap_or(own_era);
        Some(Position { era, revision })
    }

    /// Whether it is ready and its last message is recent enough for requests to be sent to it.
    pub fn is_up(&self, now: Millis) -> bool {
        self.is_ready && self.has_message_within(LISTED_TIMEOUT_MS, now)
    }
}

/// Table of the other instances.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Other instances by name.
    pub by_name: HashMap<Arc<str>, Member>,
    /// Whether a message from any instance has arrived.
    has_heard: bool,
}

impl Members {
    /// Adds or updates an entry. Returns true for a new instance or a new lifetime of a known one.
    pub fn update_entry(&mut self, entry: MemberEntry, now: Millis) -> bool {
        if let Some(known) = self.by_name.get_mut(&entry.name) {
            known.has_entry = true;
            known.entry_at = now;
            if known.entry == entry {
                return false;
            }
        }
        let member = Member {
            has_entry: true,
            is_ready: false,
            has_store: false,
            last_message_at: None,
            entry_at: now,
            revisions: Vec::new(),
            eras: Vec::new(),
            config_version: 0,
            forecasts: HashMap::new(),
            entry,
        };
        self.by_name.insert(Arc::clone(&member.entry.name), member);
        true
    }

    /// Records that the entry of `name` was removed.
    pub fn entry_removed(&mut self, name: &str) {
        if let Some(member) = self.by_name.get_mut(name) {
            member.has_entry = false;
        }
    }

    /// Records a message from `name`. Returns false if it is not known in this lifetime.
    pub fn record_message(&mut self, name: &str, life: u64, is_ready: bool, now: Millis) -> bool {
        let known = self
            .by_name
            .get_mut(name)
            .filter(|known| known.entry.life == life);
        let Some(member) = known else {
            return false;
        };
        member.last_message_at = Some(now);
        member.is_ready = is_ready;
        self.has_heard = true;
        true
    }

    /// Whether this instance has heard another one since its start, at the uptime `now`; also true
    /// if there is no other or none answers in time.
    pub fn has_joined(&self, now: Millis) -> bool {
        self.has_heard || self.by_name.is_empty() || now.0 >= MAX_JOIN_MS
    }

    /// Removes instances without an entry and without recent messages. Returns their names.
    pub fn sweep(&mut self, now: Millis) -> Vec<Arc<str>> {
        let is_removable = |member: &Member| {
            let last_at = member
                .last_message_at
                .map_or(member.entry_at, |at| at.max(member.entry_at));
            !member.has_entry && now.since(last_at) > REMOVE_TIMEOUT_MS
        };
        let removed: Vec<_> = self
            .by_name
            .iter()
            .filter(|(_, member)| is_removable(member))
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &removed {
            self.by_name.remove(name);
        }
        removed
    }

    /// Number of instances, and how many of them are reachable, including this one.
    pub fn fleet(&self, region: &str, now: Millis) -> Fleet {
        let max_age_ms = REACHABLE_TIMEOUT_MS + self.period_ms(region, false);
        let may_serve = |member: &&Member| {
            member.has_entry || member.has_message_within(REMOVE_TIMEOUT_MS, now)
        };
        let is_reachable = |member: &&Member| member.has_message_within(max_age_ms, now);
        Fleet {
            instances: 1 + self.by_name.values().filter(may_serve).count(),
            reachable: 1 + self.by_name.values().filter(is_reachable).count(),
        }
    }

    /// Interval of messages to an instance of the own region or of another one, in milliseconds. It
    /// grows with the fleet, so that an instance's message rate stays about the same.
    pub fn period_ms(&self, region: &str, is_same_region: bool) -> u64 {
        let same_region = self
            .by_name
            .values()
            .filter(|member| &*member.entry.region == region);
        let same_region = same_region.count() as u64;
        let (small_ms, others) = if is_same_region {
            (SAME_REGION_PERIOD_MS, same_region)
        } else {
            (
                OTHER_REGION_PERIOD_MS,
                self.by_name.len() as u64 - same_region,
            )
        };
        let period_ms = small_ms * others.max(SMALL_FLEET_PEERS) / SMALL_FLEET_PEERS;
        period_ms.min(MAX_PERIOD_MS)
    }

    /// Whether the instance `own` is one of those of its region that watch the store for the
    /// others.
    pub fn is_watcher(&self, own: &str, region: &str, now: Millis) -> bool {
        let preferred = self
            .up_in(region, now)
            .filter(|member| member.has_store && &*member.entry.name < own);
        preferred.count() < WATCHERS_PER_REGION
    }

    /// Instances of `region` to which requests may be sent.
    pub fn up_in<'a>(&'a self, region: &'a str, now: Millis) -> impl Iterator<Item = &'a Member> {
        let is_available =
            move |member: &&Member| &*member.entry.region == region && member.is_up(now);
        self.by_name.values().filter(is_available)
    }
}
