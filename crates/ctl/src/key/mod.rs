//! Commands on callers' keys.
