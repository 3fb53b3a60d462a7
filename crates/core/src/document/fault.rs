//! Validation error in a configuration document or in settings.

use std::fmt;

/// Validation error with the path of the faulty value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the faulty value, such as `accounts[3].burst_tokens`; empty for the whole document.
    pub path: String,
    /// Description of the error, with the unit and the allowed range.
    pub message: String,
}

impl Fault {
    /// Creates a fault at `path`.
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
