//! What is known of the items below one prefix, and from where on their removals are.

use super::{Coverage, Position};
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
    /// Position up to which these are all facts, as far as `coverage` says so.
    pub at: Position,
    /// What the facts leave out.
    pub coverage: Coverage,
}

/// Replica of the items below one prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixReplica {
    /// Position up to which all changes are known.
    pub(super) at: Position,
    /// Position after which all removals are known, up to `at`.
    removals_after: Position,
    pub(super) facts: BTreeMap<String, Fact>,
}

impl PrefixReplica {
    /// What the facts after a position leave out.
    pub(super) fn coverage(&self, after: Position) -> Coverage {
        if after >= self.removals_after {
            return Coverage::Changes;
        }
        let unchanged = self.facts.values();
        let unchanged = unchanged.filter(|fact| fact.value.is_some() && fact.at <= after);
        Coverage::Listing {
            unchanged: unchanged.map(|fact| fact.key.clone()).collect(),
        }
    }

    /// Merges all changes up to `at`. Returns the facts that are new, in order of their positions.
    pub(super) fn merge_changes(&mut self, facts: Vec<Fact>, at: Position) -> Vec<Fact> {
        let new_facts = self.merge(facts);
        self.advance(at, false);
        new_facts
    }

    /// Merges the facts of a listing as of `at`, with the removals that it implies. Returns those that are
    /// new, in order of their positions.
    pub(super) fn merge_listing(&mut self, facts: Vec<Fact>, at: Position) -> Vec<Fact> {
        let new_facts = self.merge(facts);
        self.advance(at, true);
        new_facts
    }

    /// Merges facts without progress. Returns those that are new, in order of their positions.
    pub(super) fn merge(&mut self, facts: Vec<Fact>) -> Vec<Fact> {
        let mut new_facts: Vec<Fact> = Vec::new();
        for fact in facts {
            if self.is_outdated(&fact) {
                continue;
            }
            self.facts.insert(fact.key.clone(), fact.clone());
            new_facts.push(fact);
        }
        new_facts.sort_by_key(|fact| fact.at);
        new_facts
    }

    /// Whether a fact tells nothing new. All changes up to the own position are known: one up to there that
    /// is not was followed by a removal whose tombstone is not kept.
    fn is_outdated(&self, fact: &Fact) -> bool {
        let is_covered = fact.at.era == self.at.era && fact.at <= self.at;
        match self.facts.get(&fact.key) {
            Some(known) if known.at.era < self.at.era => known.at >= fact.at,
            Some(known) => known.at >= fact.at || is_covered,
            None => is_covered,
        }
    }

    /// Moves the position to `at`. After a listing, or in a new era, earlier removals are not known.
    fn advance(&mut self, at: Position, is_listing: bool) {
        if at > self.at && (is_listing || at.era > self.at.era) {
            self.removals_after = at;
        }
        self.at = self.at.max(at);
        self.evict_tombstones();
    }

    /// Removals of the known keys that a listing as of `at` does not name.
    pub(super) fn missing(&self, listed: &HashSet<&str>, at: Position) -> Vec<Fact> {
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
        let first_kept = positions.len() - MAX_TOMBSTONES;
        let oldest_kept = positions[first_kept];
        // Removals at the same position, by a listing, are kept or evicted together.
        let evicted = positions[..first_kept].iter().rev();
        let mut evicted = evicted.filter(|at| **at < oldest_kept);
        if let Some(latest_evicted) = evicted.next() {
            self.removals_after = self.removals_after.max(*latest_evicted);
        }
        self.facts
            .retain(|_, fact| fact.value.is_some() || fact.at >= oldest_kept);
    }
}
