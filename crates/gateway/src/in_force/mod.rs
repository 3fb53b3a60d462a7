//! Configuration document in force on this instance.
//!
//! The decision thread replaces it; other threads read the newest one without blocking.

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use carobwheel_core::{
    document::{Document, Fault},
    identity::KeyTable,
};
use std::sync::Arc;

/// Document with its revision and derived data.
#[derive(Debug)]
pub struct ActiveDocument {
    /// Revision in the store.
    pub revision: u64,
    /// Parsed document.
    pub document: Document,
    /// Table of the callers' keys.
    pub keys: KeyTable,
    /// Document as published, served to peers that fetch it.
    pub bytes: Bytes,
}

impl ActiveDocument {
    /// Parses and validates the document that was published at `revision`.
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

/// Document in force, shared between threads; empty until the first one arrives.
#[derive(Clone, Debug, Default)]
pub struct SharedDocument {
    cell: Arc<ArcSwapOption<ActiveDocument>>,
}

impl SharedDocument {
    /// Returns the document in force.
    pub fn load(&self) -> Option<Arc<ActiveDocument>> {
        self.cell.load_full()
    }

    /// Puts `next` in force.
    ///
    /// # Panics
    ///
    /// If `next` does not have a higher revision: a document is never replaced by an older one.
    pub(crate) fn replace(&self, next: Arc<ActiveDocument>) {
        let former = self.cell.load();
        let is_newer = former
            .as_ref()
            .is_none_or(|former| former.revision < next.revision);
        assert!(is_newer, "the revision in force only increases");
        self.cell.store(Some(next));
    }
}
