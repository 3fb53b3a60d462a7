//! Verdict on a rollout, written to the store once.

use crate::id::{InstanceId, RolloutId};
use crate::time::Millis;
use serde::{Deserialize, Serialize};

const FIRST_RETRY_MAX_DELAY_MS: u64 = 500;
const MAX_RETRY_DELAY_MS: u64 = 30_000;

/// Final result of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All traffic goes to the new version.
    Done,
    /// All traffic goes to the old version.
    RolledBack,
}

/// Value stored under [`verdict_key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// Verdict on the rollout.
    pub verdict: Verdict,
    /// Instance that wrote the verdict.
    pub written_by: InstanceId,
}

/// Returns the store key of the verdict on `rollout`.
pub fn verdict_key(rollout: &RolloutId) -> String {
    format!("rollout/{rollout}/verdict")
}

/// Result of a create or a read of the verdict in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictAnswer {
    /// The create took effect.
    Written,
    /// This verdict is present. If the call was a create, it had no effect.
    Found(Verdict),
    /// No verdict is present.
    Absent,
    /// The answer was lost; the call may or may not have taken effect.
    Lost,
    /// The call was not sent and had no effect.
    NotSent,
}

/// Action requested by a [`VerdictWriter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictEffect {
    /// Create the key if it is absent, or else return the present verdict.
    Create {
        /// Number of the call.
        call: u32,
        /// Verdict to write.
        verdict: Verdict,
        /// Earliest time of the call.
        not_before: Millis,
    },
    /// Read the key over a new connection.
    Read {
        /// Number of the call.
        call: u32,
        /// Earliest time of the call.
        not_before: Millis,
    },
    /// Apply this verdict, which is in the store.
    Adopt(Verdict),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriterState {
    Idle,
    Creating(Verdict),
    Reading,
    Settled(Verdict),
}

/// State machine that writes one instance's proposal to the store, or learns that another instance
/// has written a verdict first.
#[derive(Clone, Debug)]
pub struct VerdictWriter {
    state: WriterState,
    proposal: Option<Verdict>,
    call: u32,
    failures: u32,
    jitter_permille: u64,
}

impl VerdictWriter {
    /// Creates a writer. `jitter_permille` (0 to 1,000) spreads the calls of different instances
    /// over time.
    pub fn new(jitter_permille: u64) -> Self {
        Self {
            state: WriterState::Idle,
            proposal: None,
            call: 0,
            failures: 0,
            jitter_permille: jitter_permille.min(1_000),
        }
    }

    /// Starts to write `verdict`, or replaces an earlier proposal from the next call on.
    /// `spread_ms` is the period over which the first calls of the instances are spread.
    pub fn propose(&mut self, verdict: Verdict, spread_ms: u64, now: Millis) -> Vec<VerdictEffect> {
        if matches!(self.state, WriterState::Settled(_)) {
            return Vec::new();
        }
        self.proposal = Some(verdict);
        if self.state != WriterState::Idle {
            return Vec::new();
        }
        self.create(verdict, now.plus(spread_ms * self.jitter_permille / 1_000))
    }

    /// Whether call `call` is still needed. Has to be checked immediately before it is sent.
    pub fn is_wanted(&self, call: u32) -> bool {
        call == self.call && matches!(self.state, WriterState::Creating(_) | WriterState::Reading)
    }

    /// Handles the answer to call `call`. Answers to earlier calls are ignored unless they contain
    /// the verdict.
    pub fn step(&mut self, call: u32, answer: VerdictAnswer, now: Millis) -> Vec<VerdictEffect> {
        if let VerdictAnswer::Found(verdict) = answer {
            return self.settle(verdict);
        }
        if call != self.call {
            return Vec::new();
        }
        match (self.state, answer) {
            (WriterState::Creating(verdict), VerdictAnswer::Written) => self.settle(verdict),
            (WriterState::Creating(_), VerdictAnswer::Lost) => {
                self.state = WriterState::Reading;
                self.failures += 1;
                vec![VerdictEffect::Read {
                    call: self.next_call(),
                    not_before: self.retry_time(now),
                }]
            }
            (WriterState::Reading, VerdictAnswer::Lost | VerdictAnswer::NotSent) => {
                self.failures += 1;
                vec![VerdictEffect::Read {
                    call: self.next_call(),
                    not_before: self.retry_time(now),
                }]
            }
            (WriterState::Creating(_), VerdictAnswer::NotSent) => {
                self.failures += 1;
                self.create_proposal(self.retry_time(now))
            }
            (WriterState::Creating(_) | WriterState::Reading, _) => self.create_proposal(now),
            (WriterState::Idle | WriterState::Settled(_), _) => Vec::new(),
        }
    }

    /// Handles a verdict in the store that was learnt from a watch or from a peer.
    pub fn settle(&mut self, verdict: Verdict) -> Vec<VerdictEffect> {
        if let WriterState::Settled(settled) = self.state {
            assert_eq!(settled, verdict, "a verdict cannot change");
            return Vec::new();
        }
        self.state = WriterState::Settled(verdict);
        vec![VerdictEffect::Adopt(verdict)]
    }

    fn create_proposal(&mut self, not_before: Millis) -> Vec<VerdictEffect> {
        let verdict = self.proposal.expect("there is a proposal before any call");
        self.create(verdict, not_before)
    }

    fn create(&mut self, verdict: Verdict, not_before: Millis) -> Vec<VerdictEffect> {
        self.state = WriterState::Creating(verdict);
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

    fn retry_time(&self, now: Millis) -> Millis {
        let doublings = self.failures.saturating_sub(1).min(16);
        let max_delay_ms = (FIRST_RETRY_MAX_DELAY_MS << doublings).min(MAX_RETRY_DELAY_MS);
        let half_delay_ms = max_delay_ms / 2;
        now.plus(half_delay_ms + half_delay_ms * self.jitter_permille / 1_000)
    }
}
