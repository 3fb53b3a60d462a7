//! Calls to upstreams.
