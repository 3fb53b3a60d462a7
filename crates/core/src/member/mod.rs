//! Membership: heartbeats, suspicion, leaving.
