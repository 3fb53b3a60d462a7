//! Load against an entry instance.
