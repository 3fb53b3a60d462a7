//! Local replica of the watched prefixes of the store, with the revision of each item.
//!
//! Changes come from the store or, while it is unreachable or slow, from another instance. The
//! replica returns each change once, and never an older change of a key after a newer one.

use super::{Change, Item};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Maximum number of tombstones below one prefix.
const MAX_TOMBSTONES: usize = 2_000;

/// Latest known state of one key: its value or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// Value; `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// Facts about the keys below a prefix, up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Facts in any order.
    pub facts: Vec<Fact>,
    /// Revision up to which all changes are included, or were included in earlier facts.
    pub revision: u64,
}

#[derive(Clone, Debug, Default)]
struct PrefixReplica {
    revision: u64,
    facts: BTreeMap<String, Fact>,
}

/// Replica of the items below a list of prefixes.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    prefixes: Vec<String>,
    replicas: Vec<PrefixReplica>,
}

impl Replica {
    /// Creates an empty replica of the items below these prefixes.
    pub fn new(prefixes: Vec<String>) -> Self {
        let replicas = vec![PrefixReplica::default(); prefixes.len()];
        Self { prefixes, replicas }
    }

    /// Whether each prefix was read at least once.
    pub fn is_complete(&self) -> bool {
        self.replicas.iter().all(|replica| replica.revision > 0)
    }

    /// Revisions up to which the prefixes are known, in the order of the prefixes.
    pub fn revisions(&self) -> Vec<u64> {
        self.replicas
            .iter()
            .map(|replica| replica.revision)
            .collect()
    }

    /// Merges a complete listing as of `revision`. Returns the facts that are new.
    pub fn listed(&mut self, prefix: usize, items: &[Item], revision: u64) -> Vec<Fact> {
        let Some(replica) = self.replicas.get(prefix) else {
            return Vec::new();
        };
        let keys: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let known = replica.facts.values();
        let removed = known
            .filter(|fact| fact.value.is_some() && fact.revision <= revision)
            .filter(|fact| !keys.contains(fact.key.as_str()))
            .map(|fact| Fact {
                key: fact.key.clone(),
                revision,
                value: None,
            });
        let written = items.iter().map(|item| Fact {
            key: item.key.clone(),
            revision: item.revision,
            value: Some(item.value.clone()),
        });
        let facts = removed.chain(written).collect();
        self.merge(prefix, Facts { facts, revision })
    }

    /// Merges changes up to `revision`. Returns the facts that are new.
    pub fn changed(&mut self, prefix: usize, changes: Vec<Change>, revision: u64) -> Vec<Fact> {
        let facts = changes.into_iter().map(|change| match change {
            Change::Written(item) => Fact {
                key: item.key,
                revision: item.revision,
                value: Some(item.value),
            },
            Change::Removed { key, revision } => Fact {
                key,
                revision,
                value: None,
            },
        });
        let facts = facts.collect();
        self.merge(prefix, Facts { facts, revision })
    }

    /// Merges facts. Returns those that are new, in order of their revisions.
    pub fn merge(&mut self, prefix: usize, update: Facts) -> Vec<Fact> {
        let Some(replica) = self.replicas.get_mut(prefix) else {
            return Vec::new();
        };
        let mut new_facts: Vec<Fact> = Vec::new();
        for fact in update.facts {
            let known = replica.facts.get(&fact.key);
            if known.is_some_and(|known| known.revision >= fact.revision) {
                continue;
            }
            replica.facts.insert(fact.key.clone(), fact.clone());
            new_facts.push(fact);
        }
        replica.revision = replica.revision.max(update.revision);
        replica.evict_tombstones();
        new_facts.sort_by_key(|fact| fact.revision);
        new_facts
    }

    /// Facts with a revision above `after`.
    pub fn since(&self, prefix: usize, after: u64) -> Facts {
        let Some(replica) = self.replicas.get(prefix) else {
            return Facts::default();
        };
        let newer = replica.facts.values().filter(|fact| fact.revision > after);
        Facts {
            facts: newer.cloned().collect(),
            revision: replica.revision,
        }
    }

    /// Index of a prefix.
    pub fn prefix(&self, name: &str) -> Option<usize> {
        self.prefixes.iter().position(|prefix| prefix == name)
    }
}

impl PrefixReplica {
    fn evict_tombstones(&mut self) {
        let removed = self.facts.values().filter(|fact| fact.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|fact| fact.revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() - MAX_TOMBSTONES];
        self.facts
            .retain(|_, fact| fact.value.is_some() || fact.revision >= oldest_kept);
    }
}
