//! Placement of a request on an upstream.
