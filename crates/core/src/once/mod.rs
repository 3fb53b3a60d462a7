//! At-most-once records of non-idempotent actions.
