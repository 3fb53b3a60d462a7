//! Ownership of shards of client accounts inside a region.
