//! The store, the live list and the directory as seen by one instance.
