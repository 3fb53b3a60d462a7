//! State machine of one action at one instance.

use super::{
    ActionRecord, Answer, Effect, Input, MayHaveRun, NotRun, OnceKey, Outcome, StoreAnswer,
    UpstreamEvent, WriterId,
};
use crate::time::Millis;

/// Maximum pause of a process that a claim is guaranteed to outlive, in milliseconds.
pub const MAX_PROCESS_PAUSE_MS: u64 = 60_000;
/// Maximum number of store calls to claim one action.
pub const MAX_CLAIM_CALLS: u32 = 4;
/// Maximum number of dispatches of one action; only the last one may have sent any byte.
pub const MAX_CONNECT_ATTEMPTS: u32 = 3;
const OUTCOME_RETRY_MIN_MS: u64 = 250;
const OUTCOME_RETRY_MAX_MS: u64 = 30_000;

/// Parameters of an action, taken from its request and the configuration.
#[derive(Clone, Debug)]
pub struct ActionSpec {
    /// Store key of the record; none if the caller sent no idempotency key.
    pub key: Option<OnceKey>,
    /// Hash of the request, by [`super::request_hash`].
    pub request_sha256: [u8; 32],
    /// Time at and after which nothing is sent to an upstream.
    pub deadline: Millis,
    /// Time for which the outcome is stored, in milliseconds.
    pub outcome_kept_ms: u64,
    /// Whether the service itself deduplicates actions with the same idempotency key, across all of
    /// its replicas.
    pub deduplicates: bool,
}

#[derive(Clone, Debug)]
enum State {
    Idle,
    // Waiting for the result of a create or, if `reading`, of a read.
    Claiming { reading: bool },
    // Waiting for a dispatch that has not sent any byte.
    Connecting,
    // Bytes may have been sent. `answered`: the caller needs no further answer, because it was
    // answered, the relay has begun, or it has disconnected.
    Sent { answered: bool },
    Recording { outcome: Outcome, attempts: u32 },
    Ended,
}

/// One non-idempotent request at one instance.
///
/// Invariants, enforced by assertions: bytes are sent only under a claim of this action that is
/// still valid by the instance's own clock, at most one dispatch sends bytes, and `not-run` is
/// reported only if none did. If the service deduplicates or the request has no key, no claim is
/// needed.
#[derive(Clone, Debug)]
pub struct Action {
    spec: ActionSpec,
    writer: WriterId,
    state: State,
    call: u32,
    claim_calls: u32,
    dispatches: u32,
    // Time of the first create request. The claim is not older than that.
    requested_at: Millis,
    lifetime_ms: u64,
    may_be_claimed: bool,
    claim_revision: Option<u64>,
    has_sent: bool,
    has_answered: bool,
    has_relayed: bool,
}

impl Action {
    /// Creates an action; `writer` has to be unique to it.
    pub fn new(spec: ActionSpec, writer: WriterId) -> Self {
        Self {
            spec,
            writer,
            state: State::Idle,
            call: 0,
            claim_calls: 0,
            dispatches: 0,
            requested_at: Millis(0),
            lifetime_ms: 0,
            may_be_claimed: false,
            claim_revision: None,
            has_sent: false,
            has_answered: false,
            has_relayed: false,
        }
    }

    /// Starts the action and returns the first effects.
    pub fn start(&mut self, now: Millis) -> Vec<Effect> {
        assert!(
            matches!(self.state, State::Idle),
            "an action starts only once"
        );
        if now >= self.spec.deadline {
            return self.refuse(NotRun::DeadlinePassed);
        }
        if self.spec.key.is_none() {
            return self.dispatch(now);
        }
        self.requested_at = now;
        self.lifetime_ms =
            self.spec.outcome_kept_ms + self.spec.deadline.since(now) + MAX_PROCESS_PAUSE_MS;
        self.create(now)
    }

    /// Handles one event and returns the resulting effects.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Effect> {
        match input {
            Input::Store { call, answer } if call == self.call => self.on_store_answer(answer, now),
            Input::Upstream { call, event } if call == self.call => {
                self.on_upstream_event(event, now)
            }
            Input::Store { .. } | Input::Upstream { .. } => Vec::new(),
            Input::DeadlinePassed => self.on_deadline_passed(),
            Input::CallerGone => self.on_caller_gone(),
        }
    }

    /// Returns whether the first byte of dispatch `call` may be sent now.
    ///
    /// Has to be called immediately before sending, because the process may have been paused since
    /// the claim for longer than the claim is valid. If it returns false, nothing may be sent, and
    /// the dispatch has to be reported as failed without sent bytes.
    #[must_use]
    pub fn permit_send(&mut self, call: u32, now: Millis) -> bool {
        let is_current = call == self.call && matches!(self.state, State::Connecting);
        if !is_current || now >= self.spec.deadline {
            return false;
        }
        assert!(
            !self.has_sent,
            "at most one dispatch of an action sends bytes"
        );
        self.assert_claim_holds(now);
        self.has_sent = true;
        self.state = State::Sent {
            answered: self.has_answered,
        };
        true
    }

    /// Returns whether the action is complete.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    fn assert_claim_holds(&self, now: Millis) {
        if self.spec.key.is_none() || self.spec.deduplicates {
            return;
        }
        assert!(
            self.claim_revision.is_some(),
            "bytes are sent only under a claim"
        );
        let age_ms = now.since(self.requested_at);
        assert!(
            age_ms + self.spec.outcome_kept_ms + MAX_PROCESS_PAUSE_MS <= self.lifetime_ms,
            "a claim outlasts the dispatch by the maximum process pause and the outcome retention"
        );
    }

    fn key(&self) -> OnceKey {
        let key = self.spec.key.as_ref();
        key.expect("the store is called only for actions with a key")
            .clone()
    }

    fn record(&self, outcome: Option<Outcome>) -> ActionRecord {
        ActionRecord {
            writer: self.writer,
            request_sha256: self.spec.request_sha256,
            outcome,
        }
    }

    fn next_call(&mut self) -> u32 {
        self.call += 1;
        self.call
    }

    fn create(&mut self, now: Millis) -> Vec<Effect> {
        self.state = State::Claiming { reading: false };
        self.claim_calls += 1;
        // A repeated create keeps the expiry time of the first one.
        let lifetime_ms = self
            .lifetime_ms
            .saturating_sub(now.since(self.requested_at));
        vec![Effect::Create {
            call: self.next_call(),
            key: self.key(),
            record: self.record(None),
            lifetime_ms,
        }]
    }

    fn read_back(&mut self) -> Vec<Effect> {
        self.state = State::Claiming { reading: true };
        self.claim_calls += 1;
        vec![Effect::ReadBack {
            call: self.next_call(),
            key: self.key(),
        }]
    }

    fn on_store_answer(&mut self, answer: StoreAnswer, now: Millis) -> Vec<Effect> {
        match &self.state {
            State::Claiming { reading } => {
                let reading = *reading;
                self.on_claim_answer(answer, reading, now)
            }
            State::Recording { .. } => self.on_outcome_answer(answer, now),
            State::Idle | State::Connecting | State::Sent { .. } | State::Ended => Vec::new(),
        }
    }

    fn on_claim_answer(&mut self, answer: StoreAnswer, reading: bool, now: Millis) -> Vec<Effect> {
        if !reading && answer == StoreAnswer::Lost {
            self.may_be_claimed = true;
        }
        if now >= self.spec.deadline {
            self.record_claim(&answer);
            return self.refuse(NotRun::DeadlinePassed);
        }
        match answer {
            StoreAnswer::Written { .. } => {
                self.record_claim(&answer);
                self.dispatch(now)
            }
            StoreAnswer::Found { ref record, .. } if record.writer == self.writer => {
                self.record_claim(&answer);
                self.dispatch(now)
            }
            StoreAnswer::Found { record, .. } => self.on_record_found(record, now),
            StoreAnswer::Unreadable => self.answer(Answer::MayHaveRun(MayHaveRun::Unreadable)),
            StoreAnswer::NotSent => self.on_claim_failed(now),
            StoreAnswer::Absent | StoreAnswer::Lost if self.claim_calls >= MAX_CLAIM_CALLS => {
                self.on_claim_failed(now)
            }
            // A repeated create has the same writer identifier, so the lost one does no harm if it still
            // arrives.
            StoreAnswer::Absent => self.create(now),
            StoreAnswer::Lost => self.read_back(),
        }
    }

    fn record_claim(&mut self, answer: &StoreAnswer) {
        let revision = match answer {
            StoreAnswer::Written { revision } => *revision,
            StoreAnswer::Found { record, revision } if record.writer == self.writer => *revision,
            _ => return,
        };
        self.may_be_claimed = true;
        self.claim_revision = Some(revision);
    }

    fn on_record_found(&mut self, record: ActionRecord, now: Millis) -> Vec<Effect> {
        if record.request_sha256 != self.spec.request_sha256 {
            return self.answer(Answer::NotRun(NotRun::KeyReused));
        }
        match record.outcome {
            Some(outcome) if outcome.body.bytes().is_some() => self.answer(Answer::Replay(outcome)),
            Some(outcome) => self.answer(Answer::ReplayUnavailable {
                status: outcome.status,
            }),
            None if self.spec.deduplicates => self.dispatch(now),
            None => self.answer(Answer::MayHaveRun(MayHaveRun::Unfinished)),
        }
    }

    fn on_claim_failed(&mut self, now: Millis) -> Vec<Effect> {
        if self.spec.deduplicates {
            return self.dispatch(now);
        }
        self.refuse(NotRun::StoreUnavailable)
    }

    fn dispatch(&mut self, now: Millis) -> Vec<Effect> {
        if now >= self.spec.deadline {
            return self.refuse(NotRun::DeadlinePassed);
        }
        self.state = State::Connecting;
        self.dispatches += 1;
        vec![Effect::Dispatch {
            call: self.next_call(),
            send_before: self.spec.deadline,
        }]
    }

    fn on_upstream_event(&mut self, event: UpstreamEvent, now: Millis) -> Vec<Effect> {
        match self.state {
            State::Connecting => match event {
                UpstreamEvent::Failed {
                    may_have_sent_bytes: false,
                } => self.on_not_connected(now),
                _ => panic!("an upstream responds only after sending was permitted"),
            },
            State::Sent { answered } => self.on_event_after_send(event, answered, now),
            State::Idle | State::Claiming { .. } | State::Recording { .. } | State::Ended => {
                Vec::new()
            }
        }
    }

    fn on_not_connected(&mut self, now: Millis) -> Vec<Effect> {
        if now >= self.spec.deadline {
            return self.refuse(NotRun::DeadlinePassed);
        }
        if self.dispatches >= MAX_CONNECT_ATTEMPTS {
            return self.refuse(NotRun::UpstreamUnavailable);
        }
        self.dispatch(now)
    }

    fn on_event_after_send(
        &mut self,
        event: UpstreamEvent,
        answered: bool,
        now: Millis,
    ) -> Vec<Effect> {
        match event {
            // A response that has begun proves that the action ran, whatever follows.
            UpstreamEvent::Refused | UpstreamEvent::Failed { .. } if self.has_relayed => self.end(),
            // The caller gets no second answer.
            UpstreamEvent::Refused if answered => {
                self.has_sent = false;
                self.release()
            }
            UpstreamEvent::Refused => {
                self.has_sent = false;
                self.refuse(NotRun::UpstreamUnavailable)
            }
            UpstreamEvent::Failed {
                may_have_sent_bytes: false,
            } => {
                self.has_sent = false;
                if answered {
                    return self.release();
                }
                self.on_not_connected(now)
            }
            UpstreamEvent::Failed {
                may_have_sent_bytes: true,
            } if answered => self.end(),
            UpstreamEvent::Failed {
                may_have_sent_bytes: true,
            } => self.answer(Answer::MayHaveRun(MayHaveRun::UpstreamLost)),
            UpstreamEvent::Head if answered => Vec::new(),
            UpstreamEvent::Head => self.begin_relay(),
            UpstreamEvent::Done(outcome) => {
                let mut effects = if answered {
                    Vec::new()
                } else {
                    self.begin_relay()
                };
                effects.extend(self.record_outcome(outcome, now));
                effects
            }
        }
    }

    fn begin_relay(&mut self) -> Vec<Effect> {
        self.mark_answered();
        self.has_relayed = true;
        self.state = State::Sent { answered: true };
        vec![Effect::Relay]
    }

    fn record_outcome(&mut self, outcome: Outcome, now: Millis) -> Vec<Effect> {
        if self.claim_revision.is_none() {
            return self.end();
        }
        self.state = State::Recording {
            outcome,
            attempts: 0,
        };
        self.write_outcome(now)
    }

    fn write_outcome(&mut self, not_before: Millis) -> Vec<Effect> {
        let State::Recording { outcome, attempts } = &mut self.state else {
            panic!("an outcome is written only in the recording state");
        };
        *attempts += 1;
        let outcome = outcome.clone();
        let revision = self
            .claim_revision
            .expect("an outcome is written only under a claim");
        vec![Effect::WriteOutcome {
            call: self.next_call(),
            key: self.key(),
            record: self.record(Some(outcome)),
            revision,
            not_before,
        }]
    }

    fn on_outcome_answer(&mut self, answer: StoreAnswer, now: Millis) -> Vec<Effect> {
        let State::Recording { attempts, .. } = &self.state else {
            return Vec::new();
        };
        let is_written = !matches!(answer, StoreAnswer::Lost | StoreAnswer::NotSent);
        if is_written || now.since(self.requested_at) >= self.lifetime_ms {
            return self.end();
        }
        let doublings = (*attempts - 1).min(16);
        let max_ms = (OUTCOME_RETRY_MIN_MS << doublings).min(OUTCOME_RETRY_MAX_MS);
        self.write_outcome(now.plus(self.jittered(max_ms)))
    }

    // Returns a delay between `max_ms / 2` and `max_ms`, derived from the random writer identifier,
    // so that instances do not retry simultaneously when the store recovers.
    fn jittered(&self, max_ms: u64) -> u64 {
        let half_ms = max_ms / 2;
        let fraction = u64::from(u16::from_le_bytes([self.writer.0[0], self.writer.0[1]]));
        half_ms + half_ms * fraction / u64::from(u16::MAX)
    }

    fn on_deadline_passed(&mut self) -> Vec<Effect> {
        match self.state {
            State::Idle | State::Claiming { .. } | State::Connecting => {
                self.may_be_claimed |= matches!(self.state, State::Claiming { reading: false });
                self.refuse(NotRun::DeadlinePassed)
            }
            // The outcome is still awaited, so that it can be replayed if the request is repeated.
            State::Sent { answered: false } => {
                self.mark_answered();
                self.state = State::Sent { answered: true };
                vec![Effect::Answer(Answer::MayHaveRun(
                    MayHaveRun::DeadlinePassed,
                ))]
            }
            State::Sent { answered: true } | State::Recording { .. } | State::Ended => Vec::new(),
        }
    }

    fn on_caller_gone(&mut self) -> Vec<Effect> {
        match self.state {
            State::Idle | State::Claiming { .. } | State::Connecting => {
                self.may_be_claimed |= matches!(self.state, State::Claiming { reading: false });
                self.release()
            }
            State::Sent { .. } => {
                self.state = State::Sent { answered: true };
                Vec::new()
            }
            State::Recording { .. } | State::Ended => Vec::new(),
        }
    }

    fn mark_answered(&mut self) {
        assert!(!self.has_answered, "a caller is answered only once");
        self.has_answered = true;
    }

    fn refuse(&mut self, reason: NotRun) -> Vec<Effect> {
        assert!(
            !self.has_sent,
            "`not-run` is reported only if no byte was sent"
        );
        let mut effects = vec![Effect::Answer(Answer::NotRun(reason))];
        self.mark_answered();
        effects.extend(self.release());
        effects
    }

    fn answer(&mut self, answer: Answer) -> Vec<Effect> {
        self.mark_answered();
        self.state = State::Ended;
        vec![Effect::Answer(answer), Effect::End]
    }

    // Ends an action that sent nothing, and releases its claim so that the request can be repeated.
    fn release(&mut self) -> Vec<Effect> {
        assert!(
            !self.has_sent,
            "a claim is released only if no byte was sent"
        );
        self.state = State::Ended;
        if !self.may_be_claimed {
            return vec![Effect::End];
        }
        let release = Effect::Release {
            key: self.key(),
            record: self.record(None),
        };
        vec![release, Effect::End]
    }

    fn end(&mut self) -> Vec<Effect> {
        self.state = State::Ended;
        vec![Effect::End]
    }
}
