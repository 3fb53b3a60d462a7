//! Settings of one instance: read, checked whole and turned into plain structs.
