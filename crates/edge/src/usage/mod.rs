//! Requests of each account that upstreams began to run, as this instance counts and hears them.

use crate::{hash::short_hash, model::Config};
use carobwheel_core::{
    time::Millis,
    usage::{Recipient, ReportTimes, UsageLink, UsageMessage, UsageTable},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// Number of names of accounts that are kept although the configuration no longer has them. Their last
/// windows may still have to be reported.
const MAX_FORMER_NAMES: usize = 2_000;

/// Number of lists of accounts that are kept: of the configuration in force and the one before.
const KEPT_LISTS: usize = 2;

/// Hashes of all accounts of a configuration, in their order. Equal on instances with the same configuration,
/// so that an index into it, of one or two bytes, can stand for a hash of five.
#[derive(Clone, Debug)]
struct AccountList {
    checksum: u32,
    hashes: Vec<u32>,
}

impl AccountList {
    fn new(config: &Config) -> Self {
        let mut hashes: Vec<u32> = config
            .accounts
            .keys()
            .map(|name| short_hash(name))
            .collect();
        hashes.sort_unstable();
        let text: Vec<String> = hashes.iter().map(u32::to_string).collect();
        Self {
            checksum: short_hash(&text.join(",")).max(1),
            hashes,
        }
    }

    fn index_of(&self, hash: u32) -> Option<u32> {
        let index = self.hashes.binary_search(&hash).ok()?;
        u32::try_from(index).ok()
    }

    fn hash_at(&self, index: u32) -> Option<u32> {
        self.hashes.get(usize::try_from(index).ok()?).copied()
    }
}

/// Identity of the instance that counts.
#[derive(Clone, Copy, Debug)]
pub struct UsageOwner {
    /// Key of the process; see [`MemberEntry::key`](crate::member::MemberEntry::key).
    pub process: u32,
    /// Hash of the region's name.
    pub region: u32,
    /// Civil time at the start of the process, in milliseconds since the start of 1970.
    pub start_unix_ms: u64,
}

/// Process that gets a message.
#[derive(Clone, Copy, Debug)]
pub struct UsageTarget {
    /// Key of the process.
    pub process: u32,
    /// What it is told.
    pub recipient: Recipient,
    /// Version of the configuration that it has in force, if it is known.
    pub config_version: Option<u64>,
}

/// Counters of an instance and its exchange of them with others.
///
/// Times are true time: civil time at the start of the process and the time since then on the boot clock. A
/// step of the wall clock moves no request to another window.
#[derive(Debug)]
pub struct Usage {
    /// Counters.
    pub table: UsageTable,
    times: ReportTimes,
    start_unix_ms: u64,
    /// Exchange with other processes, by their keys.
    links: HashMap<u32, UsageLink>,
    /// Names of accounts by their hashes.
    names: HashMap<u32, Arc<str>>,
    /// Version of the configuration from which names and lists were last taken.
    names_of_version: Option<u64>,
    /// Lists of accounts, the latest first.
    lists: Vec<AccountList>,
    /// Time since which the instance collects the counters of its region, if it does.
    collects_since_ms: Option<u64>,
    /// First window that no holder of the duty has committed, as far as is known.
    committed_before: u64,
}

impl Usage {
    /// Counters of an instance that has just started.
    pub fn new(owner: UsageOwner, times: ReportTimes) -> Self {
        let mut table = UsageTable::new(owner.process, owner.region, times);
        table.advance(owner.start_unix_ms);
        Self {
            table,
            times,
            start_unix_ms: owner.start_unix_ms,
            links: HashMap::new(),
            names: HashMap::new(),
            names_of_version: None,
            lists: Vec::new(),
            collects_since_ms: None,
            committed_before: 0,
        }
    }

    /// Times of the reports.
    pub const fn times(&self) -> ReportTimes {
        self.times
    }

    /// True time at `boot_now` on the boot clock, in milliseconds since the start of 1970.
    pub const fn true_ms(&self, boot_now: Millis) -> u64 {
        self.start_unix_ms.saturating_add(boot_now.0)
    }

    /// Counts a request that has begun to run.
    pub fn record(&mut self, account: &str, boot_now: Millis) {
        let true_ms = self.true_ms(boot_now);
        self.table.record(short_hash(account), true_ms);
    }

    /// Follows the time, the names of accounts and the role of the instance.
    pub fn tick(&mut self, config: Option<&Config>, is_collector: bool, boot_now: Millis) {
        let true_ms = self.true_ms(boot_now);
        self.table.advance(true_ms);
        if is_collector {
            self.collects_since_ms.get_or_insert(true_ms);
        } else {
            self.collects_since_ms = None;
        }
        let Some(config) = config.filter(|config| self.names_of_version != Some(config.version))
        else {
            return;
        };
        self.names_of_version = Some(config.version);
        self.lists.insert(0, AccountList::new(config));
        self.lists.truncate(KEPT_LISTS);
        if self.names.len() > config.accounts.len() + MAX_FORMER_NAMES {
            self.names.clear();
        }
        let names = config.accounts.keys();
        self.names
            .extend(names.map(|name| (short_hash(name), Arc::clone(name))));
    }

    /// Whether the instance collects the counters of its region.
    pub const fn is_collector(&self) -> bool {
        self.collects_since_ms.is_some()
    }

    /// Time since which the instance collects, in milliseconds since the start of 1970; `u64::MAX` if it does
    /// not.
    pub fn collects_since_ms(&self) -> u64 {
        self.collects_since_ms.unwrap_or(u64::MAX)
    }

    /// First window that no holder of the duty has committed, as far as is known.
    pub const fn committed_before(&self) -> u64 {
        self.committed_before
    }

    /// Records what is known of the commits.
    pub fn note_committed_before(&mut self, window: u64) {
        // A window in the future can be no more than a fault of another instance.
        if window <= self.table.current() {
            self.committed_before = self.committed_before.max(window);
        }
    }

    /// Next message to a process, if there is anything to tell.
    pub fn message(
        &mut self,
        target: UsageTarget,
        is_leaving: bool,
        (boot_now, now): (Millis, Millis),
    ) -> Option<UsageMessage> {
        let times = (self.true_ms(boot_now), now);
        let role = (self.is_collector(), is_leaving);
        let link = self.links.entry(target.process).or_default();
        let mut message = link.message(&self.table, target.recipient, role, times)?;
        if target.config_version == self.names_of_version {
            self.replace_hashes(&mut message);
        }
        message.committed_before = self.committed_before;
        Some(message)
    }

    /// Replaces hashes by indexes into the latest list, if it has them all.
    fn replace_hashes(&self, message: &mut UsageMessage) {
        let Some(list) = self.lists.first() else {
            return;
        };
        let counts = message.counters.iter().flat_map(|counter| &counter.counts);
        if counts
            .clone()
            .any(|(hash, _)| list.index_of(*hash).is_none())
        {
            return;
        }
        let counters = message.counters.iter_mut();
        for (account, _) in counters.flat_map(|counter| &mut counter.counts) {
            *account = list.index_of(*account).unwrap_or_default();
        }
        message.accounts = list.checksum;
    }

    /// Replaces indexes by hashes. Without the list the counters cannot be read; they are left out and not
    /// acknowledged, so that they come again.
    fn replace_indexes(&self, message: &mut UsageMessage) {
        if message.accounts == 0 {
            return;
        }
        let known = self
            .lists
            .iter()
            .find(|list| list.checksum == message.accounts);
        let accounts = message.counters.iter().flat_map(|counter| &counter.counts);
        let can_read = |list: &&AccountList| {
            accounts
                .clone()
                .all(|(index, _)| list.hash_at(*index).is_some())
        };
        let Some(list) = known.filter(can_read) else {
            message.number = 0;
            message.counters.clear();
            return;
        };
        let counters = message.counters.iter_mut();
        for (account, _) in counters.flat_map(|counter| &mut counter.counts) {
            *account = list.hash_at(*account).unwrap_or_default();
        }
    }

    /// Applies a message of a process, whose region is given by its hash.
    pub fn receive(&mut self, process: u32, region: u32, mut message: UsageMessage) {
        self.replace_indexes(&mut message);
        let link = self.links.entry(process).or_default();
        link.receive(&mut self.table, (process, region), &message);
        self.note_committed_before(message.committed_before);
    }

    /// Forgets the exchange with processes that `is_known` rejects.
    pub fn retain_links(&mut self, is_known: impl Fn(u32) -> bool) {
        self.links.retain(|key, _| is_known(*key));
    }

    /// Counts of a window by the name of the account, and the sum of those whose account is not known.
    pub fn totals(&self, window: u64) -> (BTreeMap<Arc<str>, u64>, u64) {
        let mut named = BTreeMap::new();
        let mut unknown = 0;
        for (account, count) in self.table.totals(window) {
            match self.names.get(&account) {
                Some(name) => {
                    named.insert(Arc::clone(name), count);
                }
                None => unknown += count,
            }
        }
        (named, unknown)
    }
}
