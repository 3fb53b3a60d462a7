//! A copy of the followed parts of the store, with the revision of each item.
//!
//! Changes come from the store itself or, while it is out of reach or slow to tell, from another
//! instance. The copy lets each change through once, and never an older one after a newer one.

use super::{Change, Item};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Removed keys that are remembered below one prefix.
const MAX_REMOVED: usize = 2_000;

/// One item, or the removal of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// Value; `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// Facts below a prefix up to a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// Facts in any order.
    pub facts: Vec<Fact>,
    /// All changes up to this revision are among the facts, or were before.
    pub revision: u64,
}

#[derive(Clone, Debug, Default)]
struct Part {
    revision: u64,
    facts: BTreeMap<String, Fact>,
}

/// The copy.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    prefixes: Vec<String>,
    parts: Vec<Part>,
}

impl Replica {
    /// An empty copy of the items below these prefixes.
    pub fn new(prefixes: Vec<String>) -> Self {
        let parts = vec![Part::default(); prefixes.len()];
        Self { prefixes, parts }
    }

    /// Whether all prefixes were read once.
    pub fn is_complete(&self) -> bool {
        self.parts.iter().all(|part| part.revision > 0)
    }

    /// Revisions up to which the prefixes are known, in their order.
    pub fn revisions(&self) -> Vec<u64> {
        self.parts.iter().map(|part| part.revision).collect()
    }

    /// Takes a whole listing as of `revision`. Returns what is new.
    pub fn listed(&mut self, prefix: usize, items: &[Item], revision: u64) -> Vec<Fact> {
        let Some(part) = self.parts.get(prefix) else {
            return Vec::new();
        };
        let keys: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let known = part.facts.values();
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

    /// Takes changes up to `revision`. Returns what is new.
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

    /// Takes facts. Returns those that are new, in order of their revisions.
    pub fn merge(&mut self, prefix: usize, news: Facts) -> Vec<Fact> {
        let Some(part) = self.parts.get_mut(prefix) else {
            return Vec::new();
        };
        let mut fresh: Vec<Fact> = Vec::new();
        for fact in news.facts {
            let known = part.facts.get(&fact.key);
            if known.is_some_and(|known| known.revision >= fact.revision) {
                continue;
            }
            part.facts.insert(fact.key.clone(), fact.clone());
            fresh.push(fact);
        }
        part.revision = part.revision.max(news.revision);
        part.forget_removed();
        fresh.sort_by_key(|fact| fact.revision);
        fresh
    }

    /// Facts that are newer than `after`.
    pub fn since(&self, prefix: usize, after: u64) -> Facts {
        let Some(part) = self.parts.get(prefix) else {
            return Facts::default();
        };
        let newer = part.facts.values().filter(|fact| fact.revision > after);
        Facts {
            facts: newer.cloned().collect(),
            revision: part.revision,
        }
    }

    /// Position of a prefix.
    pub fn prefix(&self, name: &str) -> Option<usize> {
        self.prefixes.iter().position(|prefix| prefix == name)
    }
}

impl Part {
    fn forget_removed(&mut self) {
        let removed = self.facts.values().filter(|fact| fact.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|fact| fact.revision).collect();
        if revisions.len() <= MAX_REMOVED {
            return;
        }
        revisions.sort_unstable();
        let oldest_kept = revisions[revisions.len() - MAX_REMOVED];
        self.facts
            .retain(|_, fact| fact.value.is_some() || fact.revision >= oldest_kept);
    }
}
