//! The configuration document in force on this instance.
//!
//! The deciding thread replaces it; every other thread reads the newest one without waiting.

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use carobwheel_core::{
    document::{Document, Fault},
    identity::KeyTable,
};
use std::sync::Arc;

/// A document with its revision and what is derived from it.
#[derive(Debug)]
pub struct ActiveDocument {
    /// Revision in the store.
    pub revision: u64,
    /// The document.
    pub document: Document,
    /// Callers' keys of the document.
    pub keys: KeyTable,
    /// The document as published, for peers that fetch it.
    pub bytes: Bytes,
}

impl ActiveDocument {
    /// Reads and validates the document that was published at `revision`.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn parse(revision: u64, bytes: Bytes) -> Result<Self, Vec<Fault>> {
        let document = Document::parse(&bytes)?;
        Ok(Self {
            revision,
            keys: KeyTable::new(&document),
            document,
            bytes,
        })
    }
}

/// The shared place of the document in force; empty until the first one arrives.
#[derive(Clone, Debug, Default)]
pub struct SharedDocument {
    slot: Arc<ArcSwapOption<ActiveDocument>>,
}

impl SharedDocument {
    /// The document in force.
    pub fn load(&self) -> Option<Arc<ActiveDocument>> {
        self.slot.load_full()
    }

    /// Puts `next` in force.
    ///
    /// # Panics
    ///
    /// If the revision would not rise: a document never reverts.
    pub(crate) fn replace(&self, next: Arc<ActiveDocument>) {
        let former = self.slot.load();
        let is_newer = former
            .as_ref()
            .is_none_or(|former| former.revision < next.revision);
        assert!(is_newer, "the revision in force only rises");
        self.slot.store(Some(next));
    }
}
