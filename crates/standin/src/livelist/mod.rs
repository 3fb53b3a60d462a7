//! The platform's live list and directory.
