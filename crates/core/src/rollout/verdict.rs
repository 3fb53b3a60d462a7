//! The verdict on a rollout, written once to the store.

use crate::id::{InstanceId, RolloutId};
use crate::time::Millis;
use serde::{Deserialize, Serialize};

const RETRY_FIRST_MS: u64 = 500;
const RETRY_LONGEST_MS: u64 = 30_000;

/// How a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All traffic goes to the new version.
    Done,
    /// All traffic goes to the old version.
    RolledBack,
}

/// Value of the store under [`verdict_key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// The verdict.
    pub verdict: Verdict,
    /// Instance that wrote it.
    pub written_by: InstanceId,
}

/// Key of the store that holds the verdict on `rollout`.
pub fn verdict_key(rollout: &RolloutId) -> String {
    format!("rollout/{rollout}/verdict")
}

/// Answer of the store to a create or a read of the verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictAnswer {
    /// The create took effect.
    Written,
    /// This verdict is present; the create, if it was one, had no effect.
    Found(Verdict),
    /// No verdict is present.
    Absent,
    /// The call may or may not have taken effect.
    Lost,
    /// The call surely had no effect.
    NotSent,
}

/// What a writer asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictEffect {
    /// Create the key unless it is present; return the present verdict if it is.
    Create {
        /// Number of the call.
        call: u32,
        /// Verdict to write.
        verdict: Verdict,
        /// Time before which the call has to wait.
        not_before: Millis,
    },
    /// Read the key on a fresh connection.
    Read {
        /// Number of the call.
        call: u32,
        /// Time before which the call has to wait.
        not_before: Millis,
    },
    /// Follow this verdict: it stands in the store.
    Adopt(Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Idle,
    Creating(Verdict),
    Reading,
    Settled(Verdict),
}

/// The state machine that brings one instance's proposal to the store, or learns that another
/// one's came first.
#[derive(Clone, Debug)]
pub struct VerdictWriter {
    state: State,
    proposal: Option<Verdict>,
    call: u32,
    failures: u32,
    jitter_permille: u64,
}

impl VerdictWriter {
    /// A writer; `jitter_permille`, 0 to 1,000, spreads the calls of different instances.
    pub fn new(jitter_permille: u64) -> Self {
        Self {
            state: State::Idle,
            proposal: None,
            call: 0,
            failures: 0,
            jitter_permille: jitter_permille.min(1_000),
        }
    }

    /// Starts to write `verdict`, or writes it instead of an earlier proposal from the next call
    /// on. `spread_ms` is the time over which instances spread their first calls.
    pub fn propose(&mut self, verdict: Verdict, spread_ms: u64, now: Millis) -> Vec<VerdictEffect> {
        if matches!(self.state, State::Settled(_)) {
            return Vec::new();
        }
        self.proposal = Some(verdict);
        if self.state != State::Idle {
            return Vec::new();
        }
        self.create(verdict, now.plus(spread_ms * self.jitter_permille / 1_000))
    }

    /// Whether call `call` is still wanted; asked right before it is sent.
    pub fn is_wanted(&self, call: u32) -> bool {
        call == self.call && matches!(self.state, State::Creating(_) | State::Reading)
    }

    /// Takes the answer to call `call`. Answers to earlier calls count only if they tell the
    /// verdict.
    pub fn step(&mut self, call: u32, answer: VerdictAnswer, now: Millis) -> Vec<VerdictEffect> {
        if let VerdictAnswer::Found(verdict) = answer {
            return self.settle(verdict);
        }
        if call != self.call {
            return Vec::new();
        }
        match (self.state, answer) {
            (State::Creating(verdict), VerdictAnswer::Written) => self.settle(verdict),
            (State::Creating(_), VerdictAnswer::Lost) => {
                self.state = State::Reading;
                self.failures += 1;
                vec![VerdictEffect::Read {
                    call: self.next_call(),
                    not_before: self.next_try(now),
                }]
            }
            (State::Reading, VerdictAnswer::Lost | VerdictAnswer::NotSent) => {
                self.failures += 1;
                vec![VerdictEffect::Read {
                    call: self.next_call(),
                    not_before: self.next_try(now),
                }]
            }
            (State::Creating(_), VerdictAnswer::NotSent) => {
                self.failures += 1;
                self.create_proposal(self.next_try(now))
            }
            (State::Creating(_) | State::Reading, _) => self.create_proposal(now),
            (State::Idle | State::Settled(_), _) => Vec::new(),
        }
    }

    /// Takes a verdict that stands in the store, heard by watch or from a peer.
    pub fn settle(&mut self, verdict: Verdict) -> Vec<VerdictEffect> {
        if let State::Settled(settled) = self.state {
            assert_eq!(settled, verdict, "a verdict is never left");
            return Vec::new();
        }
        self.state = State::Settled(verdict);
        vec![VerdictEffect::Adopt(verdict)]
    }

    fn create_proposal(&mut self, not_before: Millis) -> Vec<VerdictEffect> {
        let verdict = self.proposal.expect("a call follows a proposal");
        self.create(verdict, not_before)
    }

    fn create(&mut self, verdict: Verdict, not_before: Millis) -> Vec<VerdictEffect> {
        self.state = State::Creating(verdict);
        vec![VerdictEffect::Create {
            call: self.next_call(),
            verdict,
            not_before,
        }]
    }

    fn next_call(&mut self) -> u32 {
        self.call += 1;
        self.call
    }

    fn next_try(&self, now: Millis) -> Millis {
        let doublings = self.failures.saturating_sub(1).min(16);
        let longest_ms = (RETRY_FIRST_MS << doublings).min(RETRY_LONGEST_MS);
        let half_ms = longest_ms / 2;
        now.plus(half_ms + half_ms * self.jitter_permille / 1_000)
    }
}
