//! Entry point of the binary.

fn main() {}
