//! Lease in the store that allows one instance at a time to act.
//!
//! [`Lease`] decides when to acquire and renew the lease and how long it may be relied on. Its times are
//! a parameter, so that orders and duties use one implementation.

use crate::id::InstanceId;
use crate::once::WriterId;
use crate::time::Millis;
use serde::{Deserialize, Serialize};

/// Maximum clock drift, in parts per million.
const MAX_CLOCK_DRIFT_PPM: u64 = 1_000;

/// Times of a lease, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time to live of the lease in the store.
    pub ttl_ms: u64,
    /// Time from one renewal to the next.
    pub renewal_interval_ms: u64,
    /// Maximum time between a permitted send and its arrival.
    pub max_latency_ms: u64,
    /// Time between two attempts to acquire the lease for rank 0; rank `n` waits `n + 1` times as long.
    pub retry_ms: u64,
}

/// Fencing number of a call; a receiver that checks it refuses a number lower than the highest it
/// has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// Value stored under the key of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Instance that holds the lease.
    pub holder: InstanceId,
    /// Random identifier of this attempt to acquire the lease.
    pub writer: WriterId,
}

/// Result of a store call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The create or the renewal took effect.
    Written {
        /// Store revision at which the key was created.
        revision: u64,
    },
    /// The key exists; a create had no effect.
    Found {
        /// Record stored under the key.
        record: LeaseRecord,
        /// Store revision at which the key was created.
        revision: u64,
    },
    /// The key does not exist, or the lease has expired in the store.
    Absent,
    /// Unknown whether the call took effect.
    Lost,
    /// The call had no effect.
    NotSent,
}

/// Store call that the user of [`Lease`] has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Grant a lease of [`LeaseTimes::ttl_ms`] and create the key under it if it does not exist; otherwise
    /// return the existing record.
    Create {
        /// Number of the call.
        call: u32,
        /// Value to write.
        record: LeaseRecord,
        /// Earliest time of the call.
        not_before: Millis,
    },
    /// Read the key on a fresh connection.
    Read {
        /// Number of the call.
        call: u32,
        /// Earliest time of the call.
        not_before: Millis,
    },
    /// Renew the lease of the key without writing the key again.
    Renew {
        /// Number of the call.
        call: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    NotHeld,
    /// Waiting for the result of a create that was requested at `requested_at`, or of a read after it.
    Acquiring {
        requested_at: Millis,
    },
    Held {
        number: FencingNumber,
        acquired_at: Millis,
        valid_until: Millis,
    },
}

/// State machine of one instance that competes for a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    times: LeaseTimes,
    holder: InstanceId,
    state: State,
    /// Number of the latest call.
    call: u32,
    /// Time at which the latest call was requested.
    called_at: Millis,
    is_call_pending: bool,
    /// Earliest time of the next attempt to acquire the lease.
    retry_at: Millis,
    rank: u64,
    /// Highest fencing number of any holder that is known here.
    highest_seen: FencingNumber,
    /// Identifier of the latest attempt to acquire the lease.
    writer: WriterId,
}

impl Lease {
    /// Creates the state machine of instance `holder`. `rank` is its rank among the candidates; a
    /// higher rank waits longer between attempts.
    pub fn new(holder: InstanceId, rank: u64, times: LeaseTimes) -> Self {
        Self {
            times,
            holder,
            state: State::NotHeld,
            call: 0,
            called_at: Millis(0),
            is_call_pending: false,
            retry_at: Millis(0),
            rank,
            highest_seen: FencingNumber(0),
            writer: WriterId([0; 16]),
        }
    }

    /// Acquires, renews or expires the lease according to the time. `writer` has to be a new random
    /// identifier for each call.
    pub fn tick(&mut self, writer: WriterId, now: Millis) -> Vec<LeaseEffect> {
        match self.state {
            State::NotHeld if now >= self.retry_at => {
                self.writer = writer;
                self.state = State::Acquiring { requested_at: now };
                self.create(now)
            }
            State::Held { valid_until, .. } if now >= valid_until => {
                self.back_off(now);
                Vec::new()
            }
            State::Held { .. }
                if !self.is_call_pending
                    && now.since(self.called_at) >= self.times.renewal_interval_ms =>
            {
                vec![LeaseEffect::Renew {
                    call: self.next_call(now),
                }]
            }
            State::NotHeld | State::Acquiring { .. } | State::Held { .. } => Vec::new(),
        }
    }

    /// Handles the result of call `call`.
    pub fn step(&mut self, call: u32, answer: LeaseAnswer, now: Millis) -> Vec<LeaseEffect> {
        if call != self.call || !self.is_call_pending {
            return Vec::new();
        }
        self.is_call_pending = false;
        match self.state {
            State::Acquiring { requested_at } => self.on_acquire_answer(answer, requested_at, now),
            State::Held {
                number,
                acquired_at,
                valid_until,
            } => {
                self.on_renew_answer(answer, number, acquired_at, valid_until, now);
                Vec::new()
            }
            State::NotHeld => Vec::new(),
        }
    }

    /// Returns the fencing number for a call that is sent now, or none if it must not be sent.
    ///
    /// Has to be called immediately before sending, because a process pause may have outlasted the
    /// lease. A call sent now arrives before the lease ends. A new holder sends nothing for
    /// `initial_wait_ms` after it has acquired the lease.
    #[must_use]
    pub fn permit_send(&self, initial_wait_ms: u64, now: Millis) -> Option<FencingNumber> {
        let State::Held {
            number,
            acquired_at,
            valid_until,
        } = self.state
        else {
            return None;
        };
        if now.plus(self.times.max_latency_ms) > valid_until {
            return None;
        }
        if now.since(acquired_at) < initial_wait_ms {
            return None;
        }
        assert!(
            number >= self.highest_seen,
            "the fencing number held is the highest one seen"
        );
        Some(number)
    }

    /// Returns the fencing number while the lease is held according to this instance's clock.
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

    /// Time at which the present term was acquired, also if it has lapsed since the last tick.
    pub fn acquired_at(&self) -> Option<Millis> {
        match self.state {
            State::Held { acquired_at, .. } => Some(acquired_at),
            State::NotHeld | State::Acquiring { .. } => None,
        }
    }

    /// Whether the result of an attempt to acquire the lease is not known yet.
    pub fn is_acquiring(&self) -> bool {
        matches!(self.state, State::Acquiring { .. })
    }

    /// Ends the term or the attempt to acquire the lease. The store's lease stays until it is revoked
    /// or expires.
    pub fn end_term(&mut self, now: Millis) {
        self.back_off(now);
    }

    /// Changes the rank among the candidates.
    pub fn set_rank(&mut self, rank: u64) {
        self.rank = rank;
    }

    fn on_acquire_answer(
        &mut self,
        answer: LeaseAnswer,
        requested_at: Millis,
        now: Millis,
    ) -> Vec<LeaseEffect> {
        let number = match answer {
            LeaseAnswer::Written { revision } => FencingNumber(revision),
            LeaseAnswer::Found { record, revision } if record.writer == self.writer => {
                FencingNumber(revision)
            }
            LeaseAnswer::Found { revision, .. } => {
                self.note_seen(FencingNumber(revision));
                self.back_off(now);
                return Vec::new();
            }
            LeaseAnswer::Lost => {
                let not_before = now.plus(self.times.retry_ms / 4);
                let call = self.next_call(now);
                return vec![LeaseEffect::Read { call, not_before }];
            }
            LeaseAnswer::Absent | LeaseAnswer::NotSent => {
                self.back_off(now);
                return Vec::new();
            }
        };
        self.note_seen(number);
        assert!(
            number == self.highest_seen,
            "a new holder has the highest fencing number"
        );
        self.state = State::Held {
            number,
            acquired_at: now,
            valid_until: self.valid_until(requested_at),
        };
        Vec::new()
    }

    fn on_renew_answer(
        &mut self,
        answer: LeaseAnswer,
        number: FencingNumber,
        acquired_at: Millis,
        previous_until: Millis,
        now: Millis,
    ) {
        match answer {
            LeaseAnswer::Written { .. } => {
                // The time to live counts from the request, so that the lease is never assumed to last
                // longer than it does.
                let valid_until = self.valid_until(self.called_at).max(previous_until);
                self.state = State::Held {
                    number,
                    acquired_at,
                    valid_until,
                };
            }
            LeaseAnswer::Found { record, .. } if record.writer == self.writer => {}
            LeaseAnswer::Found { revision, .. } => {
                self.note_seen(FencingNumber(revision));
                self.back_off(now);
            }
            LeaseAnswer::Absent => self.back_off(now),
            // The lease is still valid; another renewal follows.
            LeaseAnswer::Lost | LeaseAnswer::NotSent => {}
        }
    }

    fn note_seen(&mut self, number: FencingNumber) {
        self.highest_seen = self.highest_seen.max(number);
    }

    fn back_off(&mut self, now: Millis) {
        self.state = State::NotHeld;
        self.is_call_pending = false;
        self.retry_at = now.plus(self.times.retry_ms * (1 + self.rank));
    }

    fn create(&mut self, not_before: Millis) -> Vec<LeaseEffect> {
        let record = LeaseRecord {
            holder: self.holder.clone(),
            writer: self.writer,
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
        self.is_call_pending = true;
        self.call
    }

    /// Returns the end of a lease requested at `requested_at`, reduced by the maximum clock drift in
    /// case the store's clock is fast.
    fn valid_until(&self, requested_at: Millis) -> Millis {
        let drift_ms = (self.times.ttl_ms * MAX_CLOCK_DRIFT_PPM).div_ceil(1_000_000);
        requested_at.plus(self.times.ttl_ms - drift_ms)
    }
}
