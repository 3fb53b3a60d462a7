//! Calls of duties, their outcomes, and the interface of a duty's decisions.

use crate::store::Position;
use carobwheel_core::time::Millis;
use std::{collections::BTreeMap, sync::Arc};

/// Call to the platform's control address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the requests of each account in one window.
    Usage {
        /// Number of the window.
        window: u64,
        /// Requests by account.
        counts: BTreeMap<Arc<str>, u64>,
    },
    /// Sets the number of engines of a service in a data centre.
    Scale {
        /// Service.
        service: Arc<str>,
        /// Data centre.
        data_centre: Arc<str>,
        /// Number of engines.
        desired: u32,
    },
}

impl DutyCall {
    /// What the call is about, for log lines.
    pub fn subject(&self) -> String {
        match self {
            Self::Usage { window, .. } => format!("window {window}"),
            Self::Scale {
                service,
                data_centre,
                desired,
            } => format!("{service} in {data_centre}: {desired}"),
        }
    }
}

/// What is known of a call after its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The platform has executed it.
    Confirmed,
    /// The platform has seen a higher token and did not execute it. The term has ended.
    Fenced,
    /// Too many calls in this second; it was not executed.
    Throttled,
    /// The platform refused it with this status.
    Refused(u16),
    /// There was no response, for this reason. It may have been executed, or may still be executed
    /// seconds later, also after newer calls.
    NoResponse(String),
    /// It was not sent, for this reason.
    NotSent(String),
}

impl DutyOutcome {
    /// Name in log lines and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Fenced => "fenced",
            Self::Throttled => "throttled",
            Self::Refused(_) => "refused",
            Self::NoResponse(_) => "no_response",
            Self::NotSent(_) => "not_sent",
        }
    }

    /// Reason for operators; empty if the label says all.
    pub fn reason(&self) -> String {
        match self {
            Self::Refused(status) => format!("status {status}"),
            Self::NoResponse(reason) | Self::NotSent(reason) => reason.clone(),
            Self::Confirmed | Self::Fenced | Self::Throttled => String::new(),
        }
    }
}

/// Value that the holders of a duty hand on to each other in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Value of the duty's key; `None` if it does not exist.
    pub value: Option<Vec<u8>>,
    /// Era of the store and revision of the key, 0 if it does not exist. A later era than the one in
    /// which a value was written means that writes after it may be lost.
    pub at: Position,
}

/// What a duty does next in its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyStep {
    /// Nothing for now; it is asked again a moment later.
    Wait,
    /// Commit this value to the duty's key, on condition that nobody else has written it. The next
    /// step follows after `committed`, or after `began` if another value was found.
    Commit(Vec<u8>),
    /// Make this call. `answered` follows before the next step.
    Call(DutyCall),
}

/// Function that is told the end of a call.
pub type Answered = Box<dyn FnMut(&DutyCall, &DutyOutcome)>;

/// A duty's decisions. They are asked for only while this instance holds the duty's lease, one step
/// at a time.
pub struct DutySource {
    /// Key of the value that the holders hand on; `None` if the duty has none.
    pub state_key: Option<String>,
    /// A term has begun, or the value in the store is not the one that was committed last: the value
    /// that is in force.
    pub began: Box<dyn FnMut(StoredState)>,
    /// Next step. The time is the one of [`Clock::boot_now`](carobwheel_core::time::Clock::boot_now).
    pub next_step: Box<dyn FnMut(Millis) -> DutyStep>,
    /// The value of the last step is committed.
    pub committed: Box<dyn FnMut()>,
    /// End of a call. After an outcome that may have been executed, or was not, the source decides
    /// whether the next step repeats it.
    pub answered: Answered,
}

impl DutySource {
    /// Source that never calls.
    pub fn idle() -> Self {
        Self {
            state_key: None,
            began: Box::new(|_| {}),
            next_step: Box::new(|_| DutyStep::Wait),
            committed: Box::new(|| {}),
            answered: Box::new(|_, _| {}),
        }
    }
}

impl std::fmt::Debug for DutySource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DutySource")
    }
}
