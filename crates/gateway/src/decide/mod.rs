//! The thread that owns all decision state.
