//! A plain ledger service whose actions can be counted.
