//! Changes in the store, in the order of its eras.
//!
//! A restored store begins a new era and has lost its latest writes. Until operators and upstreams
//! have written them again, its listings are merged with care. The configuration and the verdicts on
//! rollouts never go back.

use super::{Node, State};
use crate::{
    log::Event,
    store::{
        Change, Changes, Decoder, Fact, Facts, Item, Listing, Position, RestoreRules, StoreUpdate,
        RESTORE_SETTLE_MS,
    },
};
use carobwheel_core::time::Millis;

/// Index of the prefix that holds the configuration, the first that
/// [`StoreKeys`](crate::store::StoreKeys) names.
pub(super) const CONFIG_PREFIX: usize = 0;

impl Node {
    /// Applies a listing of a prefix.
    pub(super) fn apply_listing(&self, prefix: &str, listing: &Listing) {
        self.note_era(listing.at);
        let (items, at) = (&listing.items, listing.at);
        let facts = {
            let mut state = self.state.borrow_mut();
            let Some(index) = state.replica.prefix(prefix) else {
                return;
            };
            state.note_first_content(index);
            self.prefix_read(&mut state, prefix, index);
            if state.is_settling(self.now()) {
                let in_force = state.config_version();
                let is_newer =
                    |item: &Item| is_newer_config(self.decoder, in_force, &item.key, &item.value);
                let rules = RestoreRules {
                    keeps_missing: index == CONFIG_PREFIX,
                    is_newer: &is_newer,
                };
                let replica = &mut state.replica;
                replica.listed_after_restore(index, items, at, &rules)
            } else {
                state.replica.listed(index, items, at)
            }
        };
        self.apply_facts(&facts);
    }

    /// Applies changes below a prefix.
    pub(super) fn apply_changes(&self, prefix: &str, changes: Changes) {
        self.note_era(changes.at);
        let in_force = self.state.borrow().config_version();
        // Others are told of the version in force, not of an older one that is written again.
        let (older, changed): (Vec<Change>, Vec<Change>) = changes
            .changes
            .into_iter()
            .partition(|change| is_older_config(self.decoder, in_force, change));
        if !older.is_empty() {
            self.log.event(Event::OlderConfigIgnored { in_force });
        }
        let facts = {
            let mut state = self.state.borrow_mut();
            let Some(index) = state.replica.prefix(prefix) else {
                return;
            };
            self.prefix_read(&mut state, prefix, index);
            state.replica.changed(index, changed, changes.at)
        };
        self.apply_facts(&facts);
    }

    /// Applies facts that were pulled from another instance.
    pub fn apply_pulled_facts(&self, prefix: usize, facts: Facts) {
        self.note_era(facts.at);
        let in_force = self.state.borrow().config_version();
        let is_newer = |fact: &Fact| {
            let value = fact.value.as_deref()?;
            is_newer_config(self.decoder, in_force, &fact.key, value)
        };
        let (configs, others): (Vec<Fact>, Vec<Fact>) = facts
            .facts
            .into_iter()
            .partition(|fact| is_newer(fact).is_some());
        let newer_configs: Vec<Fact> = configs
            .into_iter()
            .filter(|fact| is_newer(fact) == Some(true))
            .collect();
        let mut new_facts = {
            let mut state = self.state.borrow_mut();
            state.note_first_content(prefix);
            for config in &newer_configs {
                state.replica.replace(prefix, config.clone());
            }
            // Operators write again what a restored store has lost.
            let keeps_missing = prefix == CONFIG_PREFIX && state.is_settling(self.now());
            let era = facts.at.era;
            let is_kept = |item: &Fact| keeps_missing && item.at.era < era;
            let update = Facts {
                facts: others,
                ..facts
            };
            state.replica.merge_keeping(prefix, update, is_kept)
        };
        new_facts.extend(newer_configs);
        self.apply_facts(&new_facts);
    }

    /// Records the era of an answer of the store, or of what another instance knows of it.
    fn note_era(&self, at: Position) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(before) = state.store_era else {
            state.store_era = Some(at.era);
            return;
        };
        if at.era <= before {
            return;
        }
        state.store_era = Some(at.era);
        state.restored_at = Some(now);
        // Entries may be missing as after an outage, also if this instance noticed none.
        state.store_back_at = Some(now);
        for trial in state.trials.values_mut() {
            trial.record_again();
        }
        self.log.event(Event::StoreRestored {
            era: at.era,
            before,
            revision: at.revision,
            config: state.config_version(),
        });
    }
}

impl State {
    /// Version of the configuration in force; 0 if there is none.
    pub(super) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Whether the store was restored so recently that operators and upstreams may not have written
    /// again what it has lost.
    pub(super) fn is_settling(&self, now: Millis) -> bool {
        self.restored_at
            .is_some_and(|at| now.since(at) < RESTORE_SETTLE_MS)
    }
}

/// Whether a change writes a configuration with a lower version than the one in force.
fn is_older_config(decoder: Decoder, in_force: u64, change: &Change) -> bool {
    match change {
        Change::Written(item) => {
            is_newer_config(decoder, in_force, &item.key, &item.value) == Some(false)
        }
        Change::Removed { .. } => false,
    }
}

/// Whether an item is a configuration with a higher version than the one in force; `None` if it is
/// another item, or the same version.
fn is_newer_config(decoder: Decoder, in_force: u64, key: &str, value: &[u8]) -> Option<bool> {
    match (decoder.written)(key, value) {
        StoreUpdate::Config(parts) if parts.version != in_force => Some(parts.version > in_force),
        _ => None,
    }
}
