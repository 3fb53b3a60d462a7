//! The configuration document in force on this instance.
//!
//! The deciding thread replaces it; every other thread reads the newest one without waiting.

use arc_swap::ArcSwapOption;
use carobwheel_core::{document::Document, identity::KeyTable};
use std::sync::Arc;

/// A document with its revision and what is derived from it.
#[derive(Debug)]
pub struct InForce {
    /// Revision in the store.
    pub revision: u64,
    /// The document.
    pub document: Document,
    /// Callers' keys of the document.
    pub keys: KeyTable,
}

impl InForce {
    /// The document with everything derived from it.
    pub fn new(revision: u64, document: Document) -> Self {
        let keys = KeyTable::new(&document);
        Self {
            revision,
            document,
            keys,
        }
    }
}

/// The shared place of the document in force; empty until the first one arrives.
#[derive(Clone, Debug, Default)]
pub struct Current {
    slot: Arc<ArcSwapOption<InForce>>,
}

impl Current {
    /// The document in force.
    pub fn load(&self) -> Option<Arc<InForce>> {
        self.slot.load_full()
    }

    /// Puts `next` in force.
    ///
    /// # Panics
    ///
    /// If the revision would not rise: a document never reverts.
    pub(crate) fn replace(&self, next: Arc<InForce>) {
        let former = self.slot.load();
        let is_newer = former
            .as_ref()
            .is_none_or(|former| former.revision < next.revision);
        assert!(is_newer, "the revision in force only rises");
        self.slot.store(Some(next));
    }
}
