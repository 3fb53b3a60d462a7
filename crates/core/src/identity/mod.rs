//! Callers' keys and the client accounts that they identify.
