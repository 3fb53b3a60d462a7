//! What facts from another instance leave out.

use serde::{Deserialize, Serialize};

/// What facts that were asked for after a position leave out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Coverage {
    /// The sender does not tell: removals may be missing.
    #[default]
    Unknown,
    /// Nothing: they are all changes after that position.
    Changes,
    /// Removals: an item that is neither among the facts nor named here was removed.
    Listing {
        /// Keys of the items that have not changed after that position.
        unchanged: Vec<String>,
    },
}

impl Coverage {
    /// Word for the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Changes => "changes",
            Self::Listing { .. } => "listing",
        }
    }
}
