//! Bounded rings between threads.
