//! The lease under which one instance of a region issues orders.

use crate::id::{InstanceId, RegionId};
use crate::once::WriterId;
use crate::time::Millis;
use serde::{Deserialize, Serialize};

/// Time to live of the lease, in milliseconds.
pub const LEASE_TTL_MS: u64 = 30_000;
/// Longest time for which an order travels before it has arrived or never will, in milliseconds.
/// The call that carries it has this deadline.
pub const MAX_ORDER_LATENCY_MS: u64 = 5_000;
/// Pause between the last look at the clock and the sending of an order that a new holder allows
/// for, in milliseconds.
pub const PAUSE_ALLOWANCE_MS: u64 = 20_000;
// Clocks drift by at most this many parts per million.
const DRIFT_PPM: u64 = 1_000;
const RENEW_AFTER_MS: u64 = LEASE_TTL_MS / 3;
const RETRY_MS: u64 = 2_000;

/// Number that orders carry; an engine that checks it refuses a lower one than it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// Key of the store that the issuer of `region` holds.
pub fn order_lease_key(region: &RegionId) -> String {
    format!("orders/{region}")
}

/// Value of the store under [`order_lease_key`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Instance that issues orders.
    pub holder: InstanceId,
    /// Mark of this attempt to become the holder.
    pub writer: WriterId,
}

/// Answer of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The create or the renewal took effect. `revision` is that of the key.
    Written {
        /// Revision at which the key was created.
        revision: u64,
    },
    /// The key is present; a create had no effect.
    Found {
        /// Record under the key.
        record: LeaseRecord,
        /// Revision at which the key was created.
        revision: u64,
    },
    /// The key is absent, or the store does not know the lease any more.
    Absent,
    /// The call may or may not have taken effect.
    Lost,
    /// The call surely had no effect.
    NotSent,
}

/// What the lease asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Grant a lease of [`LEASE_TTL_MS`] and create the key under it, unless it is present; return
    /// the present record if it is.
    Create {
        /// Number of the call.
        call: u32,
        /// Value to write.
        record: LeaseRecord,
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
    /// Keep the lease of the key alive. The key is not written again.
    Renew {
        /// Number of the call.
        call: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Out,
    // The create was requested at the first time given.
    Acquiring {
        requested_at: Millis,
    },
    Held {
        number: FencingNumber,
        acquired_at: Millis,
        valid_until: Millis,
    },
}

/// One instance's part in the lease of its region.
#[derive(Clone, Debug)]
pub struct OrderLease {
    holder: InstanceId,
    state: State,
    call: u32,
    called_at: Millis,
    is_waiting: bool,
    retry_at: Millis,
    rank: u64,
    highest_seen: FencingNumber,
    mark: WriterId,
}

impl OrderLease {
    /// The lease as seen by `holder`, the candidate number `rank` of its region; later ones try
    /// later.
    pub fn new(holder: InstanceId, rank: u64) -> Self {
        Self {
            holder,
            state: State::Out,
            call: 0,
            called_at: Millis(0),
            is_waiting: false,
            retry_at: Millis(0),
            rank,
            highest_seen: FencingNumber(0),
            mark: WriterId([0; 16]),
        }
    }

    /// Acquires, renews or gives up the lease as time goes by. `mark` is random and new for each
    /// call.
    pub fn tick(&mut self, mark: WriterId, now: Millis) -> Vec<LeaseEffect> {
        match self.state {
            State::Out if now >= self.retry_at => {
                self.mark = mark;
                self.state = State::Acquiring { requested_at: now };
                self.create(now)
            }
            State::Held { valid_until, .. } if now >= valid_until => {
                self.give_up(now);
                Vec::new()
            }
            State::Held { .. }
                if !self.is_waiting && now.since(self.called_at) >= RENEW_AFTER_MS =>
            {
                vec![LeaseEffect::Renew {
                    call: self.next_call(now),
                }]
            }
            State::Out | State::Acquiring { .. } | State::Held { .. } => Vec::new(),
        }
    }

    /// Takes the answer to call `call`.
    pub fn step(&mut self, call: u32, answer: LeaseAnswer, now: Millis) -> Vec<LeaseEffect> {
        if call != self.call || !self.is_waiting {
            return Vec::new();
        }
        self.is_waiting = false;
        match self.state {
            State::Acquiring { requested_at } => self.acquired(answer, requested_at, now),
            State::Held {
                number,
                acquired_at,
                valid_until,
            } => {
                self.renewed(answer, number, acquired_at, valid_until, now);
                Vec::new()
            }
            State::Out => Vec::new(),
        }
    }

    /// The number with which an order may be sent at this moment, if it may.
    ///
    /// Has to be asked right before sending, because a pause may have outlasted the lease. An
    /// order sent now arrives before the lease ends. An engine that does not check numbers gets
    /// its first order only when orders of the former holder can no longer arrive.
    #[must_use]
    pub fn permit_send(&self, checks_fencing: bool, now: Millis) -> Option<FencingNumber> {
        let State::Held {
            number,
            acquired_at,
            valid_until,
        } = self.state
        else {
            return None;
        };
        if now.plus(MAX_ORDER_LATENCY_MS) > valid_until {
            return None;
        }
        let waited_ms = now.since(acquired_at);
        if !checks_fencing && waited_ms < MAX_ORDER_LATENCY_MS + PAUSE_ALLOWANCE_MS {
            return None;
        }
        assert!(
            number >= self.highest_seen,
            "a fencing number is never older than one seen"
        );
        Some(number)
    }

    /// The fencing number, while the lease is held by this instance's own clock.
    pub fn number(&self, now: Millis) -> Option<FencingNumber> {
        match self.state {
            State::Held {
                number,
                valid_until,
                ..
            } if now < valid_until => Some(number),
            _ => None,
        }
    }

    fn acquired(
        &mut self,
        answer: LeaseAnswer,
        requested_at: Millis,
        now: Millis,
    ) -> Vec<LeaseEffect> {
        let number = match answer {
            LeaseAnswer::Written { revision } => FencingNumber(revision),
            LeaseAnswer::Found { record, revision } if record.writer == self.mark => {
                FencingNumber(revision)
            }
            LeaseAnswer::Found { revision, .. } => {
                self.see(FencingNumber(revision));
                self.give_up(now);
                return Vec::new();
            }
            LeaseAnswer::Lost => {
                let not_before = now.plus(RETRY_MS / 4);
                let call = self.next_call(now);
                return vec![LeaseEffect::Read { call, not_before }];
            }
            LeaseAnswer::Absent | LeaseAnswer::NotSent => {
                self.give_up(now);
                return Vec::new();
            }
        };
        self.see(number);
        assert!(
            number == self.highest_seen,
            "a new holder has the highest fencing number"
        );
        self.state = State::Held {
            number,
            acquired_at: now,
            valid_until: valid_until(requested_at),
        };
        Vec::new()
    }

    fn renewed(
        &mut self,
        answer: LeaseAnswer,
        number: FencingNumber,
        acquired_at: Millis,
        until: Millis,
        now: Millis,
    ) {
        match answer {
            LeaseAnswer::Written { .. } => {
                // Life counts from the request, so that it never seems longer than it is.
                let valid_until = valid_until(self.called_at).max(until);
                self.state = State::Held {
                    number,
                    acquired_at,
                    valid_until,
                };
            }
            LeaseAnswer::Found { record, .. } if record.writer == self.mark => {}
            LeaseAnswer::Found { revision, .. } => {
                self.see(FencingNumber(revision));
                self.give_up(now);
            }
            LeaseAnswer::Absent => self.give_up(now),
            // The lease runs on; another renewal follows.
            LeaseAnswer::Lost | LeaseAnswer::NotSent => {}
        }
    }

    fn see(&mut self, number: FencingNumber) {
        self.highest_seen = self.highest_seen.max(number);
    }

    fn give_up(&mut self, now: Millis) {
        self.state = State::Out;
        self.is_waiting = false;
        self.retry_at = now.plus(RETRY_MS * (1 + self.rank));
    }

    fn create(&mut self, not_before: Millis) -> Vec<LeaseEffect> {
        let record = LeaseRecord {
            holder: self.holder.clone(),
            writer: self.mark,
        };
        vec![LeaseEffect::Create {
            call: self.next_call(not_before),
            record,
            not_before,
        }]
    }

    fn next_call(&mut self, now: Millis) -> u32 {
        self.call += 1;
        self.called_at = now;
        self.is_waiting = true;
        self.call
    }
}

// The end of a lease requested at `requested_at`, early enough for a fast clock of the store.
fn valid_until(requested_at: Millis) -> Millis {
    let drift_ms = (LEASE_TTL_MS * DRIFT_PPM).div_ceil(1_000_000);
    requested_at.plus(LEASE_TTL_MS - drift_ms)
}
