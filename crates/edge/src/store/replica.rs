//! Local replica of the watched prefixes of the store, with the position of each item.
//!
//! Changes come from the store or, while it is unreachable or slow, from another instance. The
//! replica returns each change once, and never an older change of a key after a newer one.

use super::{Change, Item, Position};
use std::collections::{BTreeMap, HashSet};

/// Maximum number of tombstones below one prefix.
const MAX_TOMBSTONES: usize = 2_000;

/// Latest known state of one key: its value or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Key.
    pub key: String,
    /// Position of the change.
    pub at: Position,
    /// Value; `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

/// Facts about the keys below a prefix, up to a position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Facts in any order.
    pub facts: Vec<Fact>,
    /// Position up to which all changes are included, or were included in earlier facts.
    pub at: Position,
}

/// How the first listings of a restored store are merged, while operators and upstreams write again
/// what it has lost.
pub struct RestoreRules<'a> {
    /// Whether keys that are missing are kept.
    pub keeps_missing: bool,
    /// Decides about an item by its content; `None` if its revision decides.
    pub is_newer: &'a dyn Fn(&Item) -> Option<bool>,
}

#[derive(Clone, Debug, Default)]
struct PrefixReplica {
    at: Position,
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
        self.replicas
            .iter()
            .all(|replica| replica.at != Position::default())
    }

    /// Positions up to which the prefixes are known, in the order of the prefixes.
    pub fn positions(&self) -> Vec<Position> {
        self.replicas.iter().map(|replica| replica.at).collect()
    }

    /// Merges a complete listing as of `at`. Returns the facts that are new.
    pub fn listed(&mut self, prefix: usize, items: &[Item], at: Position) -> Vec<Fact> {
        let Some(replica) = self.current(prefix, at) else {
            return Vec::new();
        };
        let keys: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let missing = replica.missing(&keys, at);
        let facts = items.iter().map(|item| {
            let mut fact = fact_of(item, at);
            let known = replica.facts.get(&item.key);
            if known.is_some_and(|known| known.at.era < at.era) {
                // Others know this position already and are sent only what is newer.
                fact.at.revision = fact.at.revision.max(at.revision);
            }
            fact
        });
        let facts = missing.into_iter().chain(facts).collect();
        self.merge(prefix, Facts { facts, at })
    }

    /// Merges a listing of a store that was restored from a copy shortly before. An item may be one
    /// of the copy or one that was written since. Returns the facts that are new.
    pub fn listed_after_restore(
        &mut self,
        prefix: usize,
        items: &[Item],
        at: Position,
        rules: &RestoreRules<'_>,
    ) -> Vec<Fact> {
        let Some(replica) = self.current(prefix, at) else {
            return Vec::new();
        };
        let keys: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let mut facts = replica.missing(&keys, at);
        facts.retain(|fact| {
            let is_of_era = replica
                .facts
                .get(&fact.key)
                .is_some_and(|known| known.at.era == at.era);
            is_of_era || !rules.keeps_missing
        });
        for item in items {
            let fact = fact_of(item, at);
            match replica.facts.get_mut(&item.key) {
                Some(known) if known.at.era < at.era => {
                    let by_content = (rules.is_newer)(item);
                    if by_content.unwrap_or(item.revision > known.at.revision) {
                        facts.push(fact);
                    } else if known.value == fact.value {
                        known.at = fact.at;
                    }
                }
                _ => facts.push(fact),
            }
        }
        self.merge(prefix, Facts { facts, at })
    }

    /// Merges changes up to `at`. Returns the facts that are new.
    pub fn changed(&mut self, prefix: usize, changes: Vec<Change>, at: Position) -> Vec<Fact> {
        let facts = changes.into_iter().map(|change| match change {
            Change::Written(item) => fact_of(&item, at),
            Change::Removed { key, revision } => Fact {
                key,
                at: Position { revision, ..at },
                value: None,
            },
        });
        let facts = facts.collect();
        self.merge(prefix, Facts { facts, at })
    }

    /// Merges facts. Returns those that are new, in order of their positions.
    pub fn merge(&mut self, prefix: usize, update: Facts) -> Vec<Fact> {
        let Some(replica) = self.current(prefix, update.at) else {
            return Vec::new();
        };
        let mut new_facts: Vec<Fact> = Vec::new();
        for fact in update.facts {
            let known = replica.facts.get(&fact.key);
            if known.is_some_and(|known| known.at >= fact.at) {
                continue;
            }
            replica.facts.insert(fact.key.clone(), fact.clone());
            new_facts.push(fact);
        }
        replica.at = replica.at.max(update.at);
        replica.evict_tombstones();
        new_facts.sort_by_key(|fact| fact.at);
        new_facts
    }

    /// Replaces what is known of a key, whatever the positions say.
    pub fn replace(&mut self, prefix: usize, mut fact: Fact) {
        let Some(replica) = self.replicas.get_mut(prefix) else {
            return;
        };
        if let Some(known) = replica.facts.get(&fact.key) {
            fact.at = fact.at.max(known.at);
        }
        replica.facts.insert(fact.key.clone(), fact);
    }

    /// Facts with a position above `after`.
    pub fn since(&self, prefix: usize, after: Position) -> Facts {
        let Some(replica) = self.replicas.get(prefix) else {
            return Facts::default();
        };
        let newer = replica.facts.values().filter(|fact| fact.at > after);
        Facts {
            facts: newer.cloned().collect(),
            at: replica.at,
        }
    }

    /// Index of a prefix.
    pub fn prefix(&self, name: &str) -> Option<usize> {
        self.prefixes.iter().position(|prefix| prefix == name)
    }

    /// Replica of a prefix, unless it is of a later era than `at`.
    fn current(&mut self, prefix: usize, at: Position) -> Option<&mut PrefixReplica> {
        let replica = self.replicas.get_mut(prefix)?;
        (at.era >= replica.at.era).then_some(replica)
    }
}

impl PrefixReplica {
    /// Removals of the known keys that a listing as of `at` does not name.
    fn missing(&self, listed: &HashSet<&str>, at: Position) -> Vec<Fact> {
        let known = self.facts.values();
        let removed = known
            .filter(|fact| fact.value.is_some() && fact.at <= at)
            .filter(|fact| !listed.contains(fact.key.as_str()))
            .map(|fact| Fact {
                key: fact.key.clone(),
                at,
                value: None,
            });
        removed.collect()
    }

    fn evict_tombstones(&mut self) {
        let removed = self.facts.values().filter(|fact| fact.value.is_none());
        let mut positions: Vec<Position> = removed.map(|fact| fact.at).collect();
        if positions.len() <= MAX_TOMBSTONES {
            return;
        }
        positions.sort_unstable();
        let oldest_kept = positions[positions.len() - MAX_TOMBSTONES];
        self.facts
            .retain(|_, fact| fact.value.is_some() || fact.at >= oldest_kept);
    }
}

/// Fact about an item that the store named in the era of `at`.
fn fact_of(item: &Item, at: Position) -> Fact {
    Fact {
        key: item.key.clone(),
        at: Position {
            era: at.era,
            revision: item.revision,
        },
        value: Some(item.value.clone()),
    }
}
