//! Local replica of the watched prefixes of the store, with the position of each item.
//!
//! Changes come from the store or, while it is unreachable or slow, from another instance. The
//! replica returns each change once, and never an older change of a key after a newer one.
//!
//! A listing names what is there, not what was removed before. So a replica knows all removals only
//! after the position of its last listing, and hands on changes one by one only from there. To a
//! replica that is further behind it names the items that are left.

use super::{
    prefix_replica::{Fact, Facts, PrefixReplica},
    Change, Coverage, Item, Position,
};
use std::collections::HashSet;

/// How the first listings of a restored store are merged, while operators and upstreams write again
/// what it has lost.
pub struct RestoreRules<'a> {
    /// Whether keys that are missing are kept.
    pub keeps_missing: bool,
    /// Decides about an item by its content; `None` if its revision decides.
    pub is_newer: &'a dyn Fn(&Item) -> Option<bool>,
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
        replica.merge_listing(facts, at)
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
        replica.merge_listing(facts, at)
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
        let replica = self.current(prefix, at);
        replica.map_or_else(Vec::new, |replica| replica.merge_changes(facts, at))
    }

    /// Merges facts. Returns those that are new, in order of their positions.
    ///
    /// Facts of unknown coverage do not move the position: changes before theirs may be missing.
    pub fn merge(&mut self, prefix: usize, update: Facts) -> Vec<Fact> {
        self.merge_keeping(prefix, update, |_| false)
    }

    /// As [`Self::merge`]; `is_kept` says which of the items stay that the update has no longer.
    pub fn merge_keeping(
        &mut self,
        prefix: usize,
        update: Facts,
        is_kept: impl Fn(&Fact) -> bool,
    ) -> Vec<Fact> {
        let Some(replica) = self.current(prefix, update.at) else {
            return Vec::new();
        };
        let mut facts = update.facts;
        match update.coverage {
            Coverage::Unknown => replica.merge(facts),
            Coverage::Changes => replica.merge_changes(facts, update.at),
            Coverage::Listing { unchanged } => {
                if update.at > replica.at {
                    let changed = facts.iter().map(|fact| fact.key.as_str());
                    let left = unchanged.iter().map(String::as_str).chain(changed);
                    let mut missing = replica.missing(&left.collect(), update.at);
                    missing
                        .retain(|removal| !replica.facts.get(&removal.key).is_some_and(&is_kept));
                    facts.extend(missing);
                }
                replica.merge_listing(facts, update.at)
            }
        }
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

    /// What a replica lacks that knows all changes up to `after`.
    pub fn since(&self, prefix: usize, after: Position) -> Facts {
        let Some(replica) = self.replicas.get(prefix) else {
            return Facts::default();
        };
        let newer = replica.facts.values().filter(|fact| fact.at > after);
        Facts {
            facts: newer.cloned().collect(),
            at: replica.at,
            coverage: replica.coverage(after),
        }
    }

    /// Whether items below a prefix are kept that the store had before it was restored.
    pub fn keeps_earlier_items(&self, prefix: usize) -> bool {
        self.replicas.get(prefix).is_some_and(|replica| {
            let mut facts = replica.facts.values();
            facts.any(|fact| fact.value.is_some() && fact.at.era < replica.at.era)
        })
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
