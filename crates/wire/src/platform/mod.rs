//! Formats of the platform's live list and directory.
