//! Performance of one duty on the event loop.

use super::{
    control::{self, CallReport},
    pace::Pace,
    shared::SharedLease,
    state::StateKey,
    DutyCall, DutyHost, DutyInterface, DutyKind, DutyOutcome, DutySource, DutyStatus, DutyStep,
    StoredState,
};
use crate::{log::Event, store::StoreError};
use carobwheel_core::{
    duty::{CallEnd, Candidacy, DutyEvent, DutyToken, TermEnd},
    time::Millis,
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::sleep;

/// Interval of the decisions.
const POLL: Duration = Duration::from_millis(100);
/// Time for which an instance remains a candidate after another one is preferred to it, in milliseconds.
/// The order changes for a moment when an instance starts or the store is out of reach of one.
const CANDIDACY_LOSS_MS: u64 = 3_000;
/// Pause after a failed read of the value in the store.
const STATE_RETRY: Duration = Duration::from_millis(500);

/// One duty as this instance performs it.
pub(super) struct Runner {
    pub(super) kind: DutyKind,
    pub(super) host: Rc<DutyHost>,
    pub(super) address: String,
    pub(super) interface: DutyInterface,
    pub(super) shared: SharedLease,
    pub(super) state: Option<StateKey>,
    pub(super) pace: Pace,
    pub(super) source: RefCell<DutySource>,
}

/// Progress of one term.
struct Term {
    token: DutyToken,
    stored: StoredState,
}

impl Runner {
    /// Performs the duty until the lease is released at the end.
    pub(super) async fn run(mut self) {
        let mut term: Option<Term> = None;
        let mut candidate_at = Millis(0);
        loop {
            sleep(POLL).await;
            let now = self.host.clock.boot_now();
            self.update_candidacy(&mut candidate_at, now);
            self.report(now);
            if self.shared.with(|duty| duty.is_stopped()) {
                return;
            }
            let token = self.shared.with(|duty| {
                duty.note_alive(now);
                duty.token(now)
            });
            term = term.filter(|term| Some(term.token) == token);
            let Some(token) = token else {
                continue;
            };
            let current = match &mut term {
                Some(current) => current,
                None => {
                    let Some(stored) = self.begin().await else {
                        continue;
                    };
                    self.pace.begin(self.host.clock.boot_now());
                    term.insert(Term { token, stored })
                }
            };
            self.advance(current).await;
        }
    }

    /// Makes the next step if it is due.
    async fn advance(&mut self, term: &mut Term) {
        let now = self.host.clock.boot_now();
        let permitted = self.shared.with(|duty| duty.permit_send(now));
        if permitted != Some(term.token) || !self.pace.is_due(now) {
            return;
        }
        let step = (self.source.borrow_mut().next_step)(now);
        match step {
            DutyStep::Wait => {}
            DutyStep::Commit(value) => self.commit(term, value).await,
            DutyStep::Call(call) => self.call(term.token, &call, now).await,
        }
    }

    /// Passes on whether this instance is a candidate. `candidate_at` is the time at which it last was one.
    fn update_candidacy(&self, candidate_at: &mut Millis, now: Millis) {
        let mut candidacy = (self.host.candidacy)(self.kind);
        if candidacy.is_candidate {
            *candidate_at = now;
        } else if now.since(*candidate_at) < CANDIDACY_LOSS_MS && candidate_at.0 > 0 {
            candidacy = Candidacy {
                is_candidate: true,
                ..candidacy
            };
        }
        self.shared.with(|duty| duty.set_candidacy(candidacy));
    }

    /// Logs the terms that have begun or ended, and sets the metrics.
    fn report(&self, now: Millis) {
        let (events, token, age_ms) = self.shared.with(|duty| {
            let events = duty.take_events();
            (events, duty.token(now), duty.age_ms(now))
        });
        let duty = self.kind.as_str();
        for event in events {
            (self.host.log)(match event {
                DutyEvent::Acquired(token) => Event::DutyAcquired {
                    duty,
                    token: token.0,
                },
                DutyEvent::Ended(token, TermEnd::HigherToken) => Event::DutyRejected {
                    duty,
                    token: token.0,
                },
                DutyEvent::Ended(token, end @ (TermEnd::Resigned | TermEnd::Unreachable)) => {
                    Event::DutyReleased {
                        duty,
                        token: token.0,
                        reason: end.as_str(),
                    }
                }
                DutyEvent::Ended(token, end) => Event::DutyLost {
                    duty,
                    token: token.0,
                    reason: end.as_str(),
                },
            });
        }
        let status = DutyStatus {
            token: token.map_or(0, |token| token.0),
            age_ms: token.map_or(0, |_| age_ms),
        };
        self.host.metrics.set_status(self.kind, status);
    }

    /// Reads the value in the store and tells the source.
    async fn begin(&self) -> Option<StoredState> {
        let stored = match &self.state {
            None => StoredState::default(),
            Some(state) => match state.read().await {
                Ok(stored) => stored,
                Err(err) => {
                    self.log_state(&err);
                    sleep(STATE_RETRY).await;
                    return None;
                }
            },
        };
        (self.source.borrow_mut().began)(stored.clone());
        Some(stored)
    }

    /// Commits a value of the source. Without success the source begins again from the value in the store.
    async fn commit(&self, term: &mut Term, value: Vec<u8>) {
        let Some(state) = &self.state else {
            return;
        };
        match state.commit(value, term.stored.at, term.token).await {
            Ok(at) => {
                term.stored.at = at;
                (self.source.borrow_mut().committed)();
            }
            Err(err) => {
                // It is unknown whether it was applied, or another value is in force.
                self.log_state(&err);
                sleep(STATE_RETRY).await;
                if let Some(stored) = self.begin().await {
                    term.stored = stored;
                }
            }
        }
    }

    /// Makes a call in the term of `expected`. It is not sent if that has ended meanwhile, also if another
    /// one has begun: its holder has not read the value in the store yet.
    async fn call(&mut self, expected: DutyToken, call: &DutyCall, started_at: Millis) {
        self.pace.called(started_at);
        let (shared, clock) = (self.shared.clone(), self.host.clock);
        let permit = || {
            shared.with(|duty| {
                let now = clock.boot_now();
                let token = duty.permit_send(now).filter(|token| *token == expected)?;
                duty.call_started(token, now);
                Some(token)
            })
        };
        let limit = Duration::from_millis(self.shared.rules().call_timeout_ms);
        let request = (self.interface.encode)(call);
        let holder = self.host.name.as_str();
        let report = control::call(
            &self.address,
            holder,
            &self.interface,
            request,
            limit,
            permit,
        )
        .await;
        self.end_call(call, &report, started_at);
    }

    /// Passes the end of a call on to the lease, the metrics, the log and the source.
    fn end_call(&mut self, call: &DutyCall, report: &CallReport, started_at: Millis) {
        let now = self.host.clock.boot_now();
        let CallReport {
            token,
            is_denied,
            outcome,
        } = report;
        match token {
            Some(token) => {
                let end = call_end(outcome);
                self.shared.with(|duty| duty.call_ended(*token, end, now));
            }
            None if *is_denied => {}
            None => self.shared.with(|duty| duty.note_unreachable(now)),
        }
        self.host.metrics.count_call(self.kind, outcome.label());
        if *outcome == DutyOutcome::Confirmed {
            self.pace.succeeded();
        } else {
            self.pace.failed(rand::random(), now);
            (self.host.log)(Event::DutyCallFailed {
                duty: self.kind.as_str(),
                token: token.map_or(0, |token| token.0),
                subject: &call.subject(),
                outcome: outcome.label(),
                reason: &outcome.reason(),
                after_ms: now.since(started_at),
            });
        }
        (self.source.borrow_mut().answered)(call, outcome);
    }

    fn log_state(&self, err: &StoreError) {
        (self.host.log)(Event::DutyStateFailed {
            duty: self.kind.as_str(),
            reason: &err.to_string(),
        });
    }
}

/// What an outcome says about the control address.
fn call_end(outcome: &DutyOutcome) -> CallEnd {
    /// Statuses from here on are failures of the receiver.
    const FIRST_SERVER_ERROR: u16 = 500;
    match outcome {
        DutyOutcome::Fenced => CallEnd::Fenced,
        DutyOutcome::NoResponse(_) => CallEnd::NoResponse,
        DutyOutcome::Refused(status) if *status >= FIRST_SERVER_ERROR => CallEnd::NoResponse,
        DutyOutcome::Confirmed
        | DutyOutcome::Throttled
        | DutyOutcome::Refused(_)
        | DutyOutcome::NotSent(_) => CallEnd::Answered,
    }
}
