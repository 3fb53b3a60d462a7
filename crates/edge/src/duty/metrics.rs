//! Metrics of duties.

use super::DutyKind;
use std::{cell::RefCell, collections::BTreeMap, fmt::Write as _};

/// What an instance holds of one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DutyStatus {
    /// Token of the present term; 0 without one.
    pub token: u64,
    /// Time since the term began, in milliseconds.
    pub age_ms: u64,
}

/// Metrics of all duties of an instance; empty in a deployment without duties.
#[derive(Debug, Default)]
pub struct DutyMetrics {
    status: RefCell<BTreeMap<DutyKind, DutyStatus>>,
    calls: RefCell<BTreeMap<(DutyKind, &'static str), u64>>,
}

impl DutyMetrics {
    /// Sets what the instance holds of a duty.
    pub fn set_status(&self, kind: DutyKind, status: DutyStatus) {
        self.status.borrow_mut().insert(kind, status);
    }

    /// Counts a call by its outcome.
    pub fn count_call(&self, kind: DutyKind, outcome: &'static str) {
        *self.calls.borrow_mut().entry((kind, outcome)).or_default() += 1;
    }

    /// Appends the metrics as text.
    pub fn write(&self, text: &mut String) {
        for (kind, status) in self.status.borrow().iter() {
            let numbers = [
                ("holder", u64::from(status.token > 0)),
                ("token", status.token),
                ("lease_age_ms", status.age_ms),
            ];
            for (name, value) in numbers {
                let duty = kind.as_str();
                let _ = writeln!(text, "carobwheel_duty_{name}{{duty=\"{duty}\"}} {value}");
            }
        }
        for ((kind, outcome), value) in self.calls.borrow().iter() {
            let duty = kind.as_str();
            let _ = writeln!(
                text,
                "carobwheel_duty_calls_total{{duty=\"{duty}\",outcome=\"{outcome}\"}} {value}"
            );
        }
    }
}
