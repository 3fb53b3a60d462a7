//! The state machine of one action at one instance.

use super::{
    ActionRecord, Answer, Effect, Input, MayHaveRun, NotRun, OnceKey, Outcome, StoreAnswer,
    UpstreamEvent, WriterId,
};
use crate::time::Millis;

/// Longest pause of a process that a claim outlives, in milliseconds.
pub const MAX_PROCESS_PAUSE_MS: u64 = 60_000;
/// Calls of the store after which an instance gives up claiming.
pub const MAX_CLAIM_CALLS: u32 = 4;
/// Dispatches of one action; all but the last ended before a byte could leave.
pub const MAX_CONNECT_ATTEMPTS: u32 = 3;
const OUTCOME_RETRY_FIRST_MS: u64 = 250;
const OUTCOME_RETRY_LONGEST_MS: u64 = 30_000;

/// What an action has to know of its request.
#[derive(Clone, Debug)]
pub struct ActionSpec {
    /// Key of the record; absent if the caller sent no idempotency key.
    pub key: Option<OnceKey>,
    /// Hash of the request, by [`super::request_hash`].
    pub request_sha256: [u8; 32],
    /// Time after which nothing is sent.
    pub deadline: Millis,
    /// Time for which the outcome is kept, in milliseconds.
    pub outcome_kept_ms: u64,
    /// All copies of the service drop a second action with the same idempotency key together.
    pub deduplicates: bool,
}

#[derive(Clone, Debug)]
enum State {
    Idle,
    // Waiting for the answer to a create or, if `reading`, to a read.
    Claiming { reading: bool },
    // Waiting for a dispatch of which no byte has left.
    Connecting,
    // Bytes may have left; `answered` once the caller has been told so.
    Sent { answered: bool },
    Recording { outcome: Outcome, attempts: u32 },
    Ended,
}

/// One non-idempotent request at one instance.
///
/// Promises, asserted here: bytes leave only under a claim of this action that still holds by the
/// instance's own clock, at most one dispatch lets bytes leave, and `not-run` is answered only
/// when none did.
#[derive(Clone, Debug)]
pub struct Action {
    spec: ActionSpec,
    writer: WriterId,
    state: State,
    call: u32,
    claim_calls: u32,
    dispatches: u32,
    // Time at which the first create was requested: the claim is at least as young.
    requested_at: Millis,
    life_ms: u64,
    may_be_claimed: bool,
    claim_revision: Option<u64>,
    has_sent: bool,
    has_answered: bool,
    has_relayed: bool,
}

impl Action {
    /// An action with a `writer` mark that no other action has.
    pub fn new(spec: ActionSpec, writer: WriterId) -> Self {
        Self {
            spec,
            writer,
            state: State::Idle,
            call: 0,
            claim_calls: 0,
            dispatches: 0,
            requested_at: Millis(0),
            life_ms: 0,
            may_be_claimed: false,
            claim_revision: None,
            has_sent: false,
            has_answered: false,
            has_relayed: false,
        }
    }

    /// The first effects.
    pub fn start(&mut self, now: Millis) -> Vec<Effect> {
        assert!(matches!(self.state, State::Idle), "an action starts once");
        if now >= self.spec.deadline {
            return self.refuse(NotRun::DeadlinePassed);
        }
        if self.spec.key.is_none() {
            return self.dispatch(now);
        }
        self.requested_at = now;
        self.life_ms =
            self.spec.outcome_kept_ms + self.spec.deadline.since(now) + MAX_PROCESS_PAUSE_MS;
        self.create(now)
    }

    /// Takes one event and returns what has to be done.
    pub fn step(&mut self, input: Input, now: Millis) -> Vec<Effect> {
        match input {
            Input::Store { call, answer } if call == self.call => self.store(answer, now),
            Input::Upstream { call, event } if call == self.call => self.upstream(event, now),
            Input::Store { .. } | Input::Upstream { .. } => Vec::new(),
            Input::DeadlinePassed => self.deadline_passed(),
            Input::CallerGone => self.caller_gone(),
        }
    }

    /// Whether the first byte of dispatch `call` may be sent now.
    ///
    /// Has to be asked right before sending, because a pause since the claim may have outlasted
    /// it. After a refusal nothing may be sent, and the dispatch is reported as failed without
    /// bytes.
    #[must_use]
    pub fn permit_send(&mut self, call: u32, now: Millis) -> bool {
        let is_current = call == self.call && matches!(self.state, State::Connecting);
        if !is_current || now >= self.spec.deadline {
            return false;
        }
        assert!(!self.has_sent, "one dispatch of an action lets bytes leave");
        self.assert_claim_holds(now);
        self.has_sent = true;
        self.state = State::Sent {
            answered: self.has_answered,
        };
        true
    }

    /// Whether the action needs nothing more.
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended)
    }

    fn assert_claim_holds(&self, now: Millis) {
        if self.spec.key.is_none() || self.spec.deduplicates {
            return;
        }
        assert!(self.claim_revision.is_some(), "bytes leave under a claim");
        let age_ms = now.since(self.requested_at);
        assert!(
            age_ms + self.spec.outcome_kept_ms + MAX_PROCESS_PAUSE_MS <= self.life_ms,
            "a claim outlives the dispatch by the longest pause and the time of keeping"
        );
    }

    fn key(&self) -> OnceKey {
        let key = self.spec.key.as_ref();
        key.expect("the store is called for actions with a key only")
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
        // A repeated create keeps the end of the first one's life.
        let life_ms = self.life_ms.saturating_sub(now.since(self.requested_at));
        vec![Effect::Create {
            call: self.next_call(),
            key: self.key(),
            record: self.record(None),
            life_ms,
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

    fn store(&mut self, answer: StoreAnswer, now: Millis) -> Vec<Effect> {
        match &self.state {
            State::Claiming { reading } => {
                let reading = *reading;
                self.claim_answer(answer, reading, now)
            }
            State::Recording { .. } => self.outcome_answer(answer, now),
            State::Idle | State::Connecting | State::Sent { .. } | State::Ended => Vec::new(),
        }
    }

    fn claim_answer(&mut self, answer: StoreAnswer, reading: bool, now: Millis) -> Vec<Effect> {
        if !reading && answer == StoreAnswer::Lost {
            self.may_be_claimed = true;
        }
        if now >= self.spec.deadline {
            self.note_claim(&answer);
            return self.refuse(NotRun::DeadlinePassed);
        }
        match answer {
            StoreAnswer::Written { .. } => {
                self.note_claim(&answer);
                self.dispatch(now)
            }
            StoreAnswer::Found { ref record, .. } if record.writer == self.writer => {
                self.note_claim(&answer);
                self.dispatch(now)
            }
            StoreAnswer::Found { record, .. } => self.found(record, now),
            StoreAnswer::Unreadable => self.answer(Answer::MayHaveRun(MayHaveRun::Unreadable)),
            StoreAnswer::NotSent => self.unclaimed(now),
            StoreAnswer::Absent | StoreAnswer::Lost if self.claim_calls >= MAX_CLAIM_CALLS => {
                self.unclaimed(now)
            }
            // The same mark makes a repeated create harmless if the lost one still arrives.
            StoreAnswer::Absent => self.create(now),
            StoreAnswer::Lost => self.read_back(),
        }
    }

    fn note_claim(&mut self, answer: &StoreAnswer) {
        let revision = match answer {
            StoreAnswer::Written { revision } => *revision,
            StoreAnswer::Found { record, revision } if record.writer == self.writer => *revision,
            _ => return,
        };
        self.may_be_claimed = true;
        self.claim_revision = Some(revision);
    }

    fn found(&mut self, record: ActionRecord, now: Millis) -> Vec<Effect> {
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

    fn unclaimed(&mut self, now: Millis) -> Vec<Effect> {
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

    fn upstream(&mut self, event: UpstreamEvent, now: Millis) -> Vec<Effect> {
        match self.state {
            State::Connecting => match event {
                UpstreamEvent::Failed {
                    may_have_sent_bytes: false,
                } => self.not_connected(now),
                _ => panic!("an upstream answers only after bytes were permitted to leave"),
            },
            State::Sent { answered } => self.sent(event, answered, now),
            State::Idle | State::Claiming { .. } | State::Recording { .. } | State::Ended => {
                Vec::new()
            }
        }
    }

    fn not_connected(&mut self, now: Millis) -> Vec<Effect> {
        if now >= self.spec.deadline {
            return self.refuse(NotRun::DeadlinePassed);
        }
        if self.dispatches >= MAX_CONNECT_ATTEMPTS {
            return self.refuse(NotRun::UpstreamUnavailable);
        }
        self.dispatch(now)
    }

    fn sent(&mut self, event: UpstreamEvent, answered: bool, now: Millis) -> Vec<Effect> {
        match event {
            // An answer that has begun proves that the action ran, whatever follows.
            UpstreamEvent::Refused | UpstreamEvent::Failed { .. } if self.has_relayed => self.end(),
            // A caller that was told `may-have-run` hears nothing more.
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
                self.not_connected(now)
            }
            UpstreamEvent::Failed {
                may_have_sent_bytes: true,
            } if answered => self.end(),
            UpstreamEvent::Failed {
                may_have_sent_bytes: true,
            } => self.answer(Answer::MayHaveRun(MayHaveRun::UpstreamLost)),
            UpstreamEvent::Head if answered => Vec::new(),
            UpstreamEvent::Head => self.relay(),
            UpstreamEvent::Done(outcome) => {
                let mut effects = if answered { Vec::new() } else { self.relay() };
                effects.extend(self.record_outcome(outcome, now));
                effects
            }
        }
    }

    fn relay(&mut self) -> Vec<Effect> {
        self.note_answered();
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
            panic!("an outcome is written while recording");
        };
        *attempts += 1;
        let outcome = outcome.clone();
        let revision = self
            .claim_revision
            .expect("an outcome is written under a claim");
        vec![Effect::WriteOutcome {
            call: self.next_call(),
            key: self.key(),
            record: self.record(Some(outcome)),
            revision,
            not_before,
        }]
    }

    fn outcome_answer(&mut self, answer: StoreAnswer, now: Millis) -> Vec<Effect> {
        let State::Recording { attempts, .. } = &self.state else {
            return Vec::new();
        };
        let is_written = !matches!(answer, StoreAnswer::Lost | StoreAnswer::NotSent);
        if is_written || now.since(self.requested_at) >= self.life_ms {
            return self.end();
        }
        let doublings = (*attempts - 1).min(16);
        let longest_ms = (OUTCOME_RETRY_FIRST_MS << doublings).min(OUTCOME_RETRY_LONGEST_MS);
        self.write_outcome(now.plus(self.jittered(longest_ms)))
    }

    // Between half of `longest_ms` and all of it, by the random mark, so that instances do not
    // come back to a store in step.
    fn jittered(&self, longest_ms: u64) -> u64 {
        let half_ms = longest_ms / 2;
        let fraction = u64::from(u16::from_le_bytes([self.writer.0[0], self.writer.0[1]]));
        half_ms + half_ms * fraction / u64::from(u16::MAX)
    }

    fn deadline_passed(&mut self) -> Vec<Effect> {
        match self.state {
            State::Idle | State::Claiming { .. } | State::Connecting => {
                self.may_be_claimed |= matches!(self.state, State::Claiming { reading: false });
                self.refuse(NotRun::DeadlinePassed)
            }
            // The outcome is still awaited, for a repeat of the request.
            State::Sent { answered: false } => {
                self.note_answered();
                self.state = State::Sent { answered: true };
                vec![Effect::Answer(Answer::MayHaveRun(
                    MayHaveRun::DeadlinePassed,
                ))]
            }
            State::Sent { answered: true } | State::Recording { .. } | State::Ended => Vec::new(),
        }
    }

    fn caller_gone(&mut self) -> Vec<Effect> {
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

    fn note_answered(&mut self) {
        assert!(!self.has_answered, "a caller is answered once");
        self.has_answered = true;
    }

    fn refuse(&mut self, reason: NotRun) -> Vec<Effect> {
        assert!(
            !self.has_sent,
            "`not-run` is answered only when no byte left"
        );
        let mut effects = vec![Effect::Answer(Answer::NotRun(reason))];
        self.note_answered();
        effects.extend(self.release());
        effects
    }

    fn answer(&mut self, answer: Answer) -> Vec<Effect> {
        self.note_answered();
        self.state = State::Ended;
        vec![Effect::Answer(answer), Effect::End]
    }

    // Ends an action that sent nothing, and frees its key for a repeat.
    fn release(&mut self) -> Vec<Effect> {
        assert!(!self.has_sent, "a claim is released only when no byte left");
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
