//! A fault in a document or in settings.

use std::fmt;

/// One fault: where it stands and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the faulty value, such as `accounts[3].burst_tokens`; empty for the whole.
    pub path: String,
    /// What is wrong, with the unit and the allowed range.
    pub message: String,
}

impl Fault {
    /// A fault at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.path, self.message)
    }
}
