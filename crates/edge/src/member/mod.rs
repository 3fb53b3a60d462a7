//! The instances of the fleet as one of them sees them.
//!
//! An entry in the store, kept under a lease, says where an instance is and which certificate it
//! shows. Whether it is alive and ready is heard from the instance itself.

use crate::{
    limit::Fleet,
    place::{JobKind, LatencyForecast},
};
use carobwheel_core::time::Millis;
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use std::{collections::HashMap, net::SocketAddr, sync::Arc};

/// Time between two messages to an instance of the same region in a small fleet, in milliseconds.
const NEAR_PERIOD_MS: u64 = 100;
/// Time between two messages to an instance of another region in a small fleet, in milliseconds.
const FAR_PERIOD_MS: u64 = 250;
/// Other instances up to which a fleet is small; in a larger one the periods grow, so that the
/// messages of one instance stay as many.
const SMALL_FLEET: u64 = 10;
/// Instances of each region that watch the store; the others hear from them.
const WATCHERS: usize = 2;
/// Longest time between two messages, in milliseconds.
const LONGEST_PERIOD_MS: u64 = 1_000;
/// Silence after which an instance is no longer named to callers, in milliseconds.
const NAMED_SILENCE_MS: u64 = 2_200;
/// Silence besides one period after which an instance's use of accounts counts as unknown, in
/// milliseconds.
const USE_SILENCE_MS: u64 = 450;
/// Silence after which an instance without an entry is forgotten, in milliseconds.
const FORGET_MS: u64 = 10_000;

/// What an instance says of itself in the store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Start of the process in civil time, in milliseconds; tells its lifetimes apart.
    pub life: u64,
    /// Region.
    pub region: Arc<str>,
    /// Data centre.
    pub data_centre: Arc<str>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where links of other instances connect.
    pub peers: SocketAddr,
    /// SHA-256 of the certificate that it shows.
    #[serde_as(as = "Hex")]
    pub certificate_digest: [u8; 32],
}

/// One other instance.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it says of itself.
    pub entry: MemberEntry,
    /// Its entry stands in the store.
    pub has_entry: bool,
    /// It takes requests.
    pub is_ready: bool,
    /// The store answers it.
    pub has_store: bool,
    /// When it was heard last.
    pub last_message_at: Option<Millis>,
    /// When its entry was seen last.
    pub entry_at: Millis,
    /// Revisions up to which it knows the followed parts of the store.
    pub revisions: Vec<u64>,
    /// What jobs have to expect in its region, by a hash of the service's name and their kind.
    pub forecasts: HashMap<(u32, JobKind), LatencyForecast>,
}

impl Member {
    /// Whether it was heard within `silence_ms` milliseconds.
    pub fn has_message_within(&self, silence_ms: u64, now: Millis) -> bool {
        self.last_message_at
            .is_some_and(|at| now.since(at) <= silence_ms)
    }

    /// Whether requests may be sent to it.
    pub fn is_up(&self, now: Millis) -> bool {
        self.is_ready && self.has_message_within(NAMED_SILENCE_MS, now)
    }
}

/// All other instances.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Other instances by name.
    pub by_name: HashMap<Arc<str>, Member>,
}

impl Members {
    /// Takes note of an entry. Returns true if it is a new instance or a new lifetime of one.
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
            forecasts: HashMap::new(),
            entry,
        };
        self.by_name.insert(Arc::clone(&member.entry.name), member);
        true
    }

    /// Takes note that the entry of `name` is gone.
    pub fn entry_removed(&mut self, name: &str) {
        if let Some(member) = self.by_name.get_mut(name) {
            member.has_entry = false;
        }
    }

    /// Takes note that `name` was heard. Returns false if it is not known in this lifetime.
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
        true
    }

    /// Forgets instances that have neither an entry nor a voice. Returns their names.
    pub fn sweep(&mut self, now: Millis) -> Vec<Arc<str>> {
        let is_over = |member: &Member| {
            let last_at = member
                .last_message_at
                .map_or(member.entry_at, |at| at.max(member.entry_at));
            !member.has_entry && now.since(last_at) > FORGET_MS
        };
        let over: Vec<_> = self
            .by_name
            .iter()
            .filter(|(_, member)| is_over(member))
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in &over {
            self.by_name.remove(name);
        }
        over
    }

    /// How many instances there are and how many are heard, this one included.
    pub fn fleet(&self, region: &str, now: Millis) -> Fleet {
        let silence_ms = USE_SILENCE_MS + self.period_ms(region, false);
        let may_serve =
            |member: &&Member| member.has_entry || member.has_message_within(FORGET_MS, now);
        let heard = |member: &&Member| member.has_message_within(silence_ms, now);
        Fleet {
            instances: 1 + self.by_name.values().filter(may_serve).count(),
            reachable: 1 + self.by_name.values().filter(heard).count(),
        }
    }

    /// Time between two messages to an instance of the own region or of another one, in
    /// milliseconds. It grows with the fleet, so that an instance's messages stay about as many.
    pub fn period_ms(&self, region: &str, is_near: bool) -> u64 {
        let near = self
            .by_name
            .values()
            .filter(|member| &*member.entry.region == region);
        let near = near.count() as u64;
        let (small_ms, others) = if is_near {
            (NEAR_PERIOD_MS, near)
        } else {
            (FAR_PERIOD_MS, self.by_name.len() as u64 - near)
        };
        let period_ms = small_ms * others.max(SMALL_FLEET) / SMALL_FLEET;
        period_ms.min(LONGEST_PERIOD_MS)
    }

    /// Whether `own` is one of the instances of its region that watch the store for the others.
    pub fn is_watcher(&self, own: &str, region: &str, now: Millis) -> bool {
        let ahead = self
            .up_in(region, now)
            .filter(|member| member.has_store && &*member.entry.name < own);
        ahead.count() < WATCHERS
    }

    /// Instances of `region` that take requests.
    pub fn up_in<'a>(&'a self, region: &'a str, now: Millis) -> impl Iterator<Item = &'a Member> {
        let is_there = move |member: &&Member| &*member.entry.region == region && member.is_up(now);
        self.by_name.values().filter(is_there)
    }
}
