//! A fault-injecting proxy for TCP and UDP.
