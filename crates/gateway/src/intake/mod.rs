//! Requests from callers.
