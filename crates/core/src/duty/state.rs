//! State machine of one instance that competes for one duty.

use super::{DutyRules, DutyToken};
use crate::id::InstanceId;
use crate::lease::{Lease, LeaseAnswer, LeaseEffect};
use crate::once::WriterId;
use crate::time::Millis;

/// Consecutive calls without a response after which a holder gives the duty to another candidate.
pub const UNREACHABLE_CALLS: u32 = 3;
/// Time for which an instance does not compete after [`UNREACHABLE_CALLS`] calls without a response, in
/// milliseconds. Another candidate has time to acquire the lease and to make as many calls.
const YIELD_MS: u64 = 10_000;

/// What is known of the duty's key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyState {
    /// It has not been read since the last attempt.
    #[default]
    Unknown,
    /// It does not exist.
    Free,
    /// Another instance, or an earlier attempt of this one, has written it.
    Taken,
}

/// Whether this instance may hold the duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Candidacy {
    /// Whether it is a candidate.
    pub is_candidate: bool,
    /// Number of candidates that are preferred to it.
    pub rank: u64,
    /// Whether there are other candidates.
    pub has_others: bool,
}

/// Why a term ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermEnd {
    /// No renewal succeeded within the lease, or the instance was suspended for longer.
    Lapsed,
    /// The store does not know the lease any more.
    Expired,
    /// The store was restored to an older copy.
    StoreRestored,
    /// The receiver has seen a higher token.
    HigherToken,
    /// The receiver was out of reach for some calls.
    Unreachable,
    /// Another instance is preferred, or this one is stopping.
    Resigned,
    /// The process was suspended, or got no processor time.
    Suspended,
}

impl TermEnd {
    /// Text for operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lapsed => "not renewed in time",
            Self::Expired => "expired in the store",
            Self::StoreRestored => "the store was restored",
            Self::HigherToken => "a higher token was seen",
            Self::Unreachable => "the control address is out of reach",
            Self::Resigned => "no longer a candidate",
            Self::Suspended => "the process was suspended",
        }
    }
}

/// Change of what this instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyEvent {
    /// A term has begun.
    Acquired(DutyToken),
    /// A term has ended.
    Ended(DutyToken, TermEnd),
}

/// Store call that the user of [`DutyLease`] has to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyEffect {
    /// Call for the lease, whose result goes to [`DutyLease::step`].
    Lease(LeaseEffect),
    /// Revoke the lease that was granted last; [`DutyLease::released`] follows, whatever the result.
    Release,
}

/// What the end of a call says about the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It responded.
    Answered,
    /// It refused the token, since it has seen a higher one.
    Fenced,
    /// It did not respond.
    NoResponse,
    /// Nothing was sent.
    NotSent,
}

/// Progress of giving the store's lease back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// There is no lease to revoke.
    NotNeeded,
    /// The lease has to be revoked once the open calls have ended.
    Wanted,
    /// The user has been told to revoke the lease.
    InProgress,
}

/// State machine of one instance that competes for one duty. All times are of a clock that includes time
/// in suspension.
#[derive(Clone, Debug)]
pub struct DutyLease {
    rules: DutyRules,
    lease: Lease,
    candidacy: Candidacy,
    is_stopping: bool,
    key: KeyState,
    /// Era of the store and the time at which it was first seen.
    era: Option<(u64, Millis)>,
    /// Token of the present term.
    term: Option<DutyToken>,
    /// Era in which the present term, or the latest attempt, was begun.
    attempt_era: u64,
    /// Whether a write of the latest attempt got no response, so that it may still be applied.
    is_write_unknown: bool,
    /// Last time at which the process is known to have run.
    alive_at: Millis,
    /// Highest token of a term of any instance, as far as it is known here.
    highest: DutyToken,
    /// Token and end of the last call.
    last_call: Option<(DutyToken, Millis)>,
    /// Calls that were sent and have not ended.
    open_calls: u32,
    /// Consecutive calls without a response.
    unanswered: u32,
    /// Earliest time at which this instance competes.
    compete_from: Millis,
    release: Release,
    events: Vec<DutyEvent>,
}

impl DutyLease {
    /// State machine of instance `holder`.
    pub fn new(holder: InstanceId, rules: DutyRules) -> Self {
        Self {
            rules,
            lease: Lease::new(holder, 0, rules.lease_times()),
            candidacy: Candidacy::default(),
            is_stopping: false,
            key: KeyState::Unknown,
            era: None,
            term: None,
            attempt_era: 0,
            is_write_unknown: false,
            alive_at: Millis(0),
            highest: DutyToken::default(),
            last_call: None,
            open_calls: 0,
            unanswered: 0,
            compete_from: Millis(0),
            release: Release::NotNeeded,
            events: Vec::new(),
        }
    }

    /// Notes the latest era that the store has named. A term of an earlier era ends.
    pub fn observe_era(&mut self, era: u64, now: Millis) {
        if self.era.is_some_and(|(known, _)| known >= era) {
            return;
        }
        self.era = Some((era, now));
        self.key = KeyState::Unknown;
        // The number of the lease may belong to another instance in the new era.
        self.release = Release::NotNeeded;
        if self.term.is_some() {
            self.end_term(TermEnd::StoreRestored, now);
        } else {
            self.lease.end_term(now);
        }
    }

    /// Sets whether this instance may hold the duty. A holder that is no candidate any more gives the
    /// duty back once its calls have ended.
    pub fn set_candidacy(&mut self, candidacy: Candidacy) {
        self.candidacy = candidacy;
        self.lease.set_rank(candidacy.rank);
    }

    /// Number of candidates that are preferred to this instance.
    pub fn rank(&self) -> u64 {
        self.candidacy.rank
    }

    /// Ends the term once its calls have ended, and competes no more.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Whether nothing is left to do after [`Self::stop`].
    pub fn is_stopped(&self) -> bool {
        self.is_stopping
            && self.term.is_none()
            && self.release == Release::NotNeeded
            && !self.lease.is_acquiring()
    }

    /// Notes whether the key exists.
    pub fn key_seen(&mut self, key: KeyState) {
        self.key = key;
    }

    /// Whether this instance has to know when the key is free.
    pub fn wants_key(&self, now: Millis) -> bool {
        self.may_compete(now) && self.key != KeyState::Free && !self.lease.is_acquiring()
    }

    /// Acquires, renews, ends or releases the lease according to the time. `writer` has to be a new
    /// random identifier for each call.
    pub fn tick(&mut self, writer: WriterId, now: Millis) -> Vec<DutyEffect> {
        self.note_alive(now);
        if self.term.is_some() {
            return self.tick_in_term(writer, now);
        }
        match self.release {
            Release::InProgress => return Vec::new(),
            Release::Wanted if self.open_calls > 0 => return Vec::new(),
            Release::Wanted if !self.lease.is_acquiring() => {
                self.release = Release::InProgress;
                return vec![DutyEffect::Release];
            }
            Release::Wanted | Release::NotNeeded => {}
        }
        let Some((era, _)) = self.era else {
            return Vec::new();
        };
        if self.key != KeyState::Free || !self.may_compete(now) {
            return Vec::new();
        }
        let effects = self.lease.tick(writer, now);
        if !effects.is_empty() {
            self.attempt_era = era;
            self.is_write_unknown = false;
        }
        effects.into_iter().map(DutyEffect::Lease).collect()
    }

    /// Handles the result of a lease call. `era` is the era in which the store has made the call, if
    /// that is certain.
    pub fn step(
        &mut self,
        call: u32,
        answer: LeaseAnswer,
        era: Option<u64>,
        now: Millis,
    ) -> Vec<DutyEffect> {
        if let Some(era) = era {
            self.observe_era(era, now);
        }
        let was_acquiring = self.lease.is_acquiring();
        let answer = self.with_token(answer, era);
        let is_absent = answer == LeaseAnswer::Absent;
        if was_acquiring && matches!(answer, LeaseAnswer::Lost | LeaseAnswer::Absent) {
            self.is_write_unknown = true;
        }
        let effects = self.lease.step(call, answer, now);
        let token = self.lease.number(now).map(|number| DutyToken(number.0));
        match (self.term, token) {
            (None, Some(token)) => self.begin_term(token, now),
            (Some(_), None) if is_absent => self.end_term(TermEnd::Expired, now),
            (Some(_), None) => self.lapse(now),
            _ => {}
        }
        if was_acquiring && !self.lease.is_acquiring() && self.term.is_none() {
            self.attempt_failed(now);
        }
        effects.into_iter().map(DutyEffect::Lease).collect()
    }

    /// Notes the end of the call that revokes the lease.
    pub fn released(&mut self) {
        if self.release == Release::InProgress {
            self.release = Release::NotNeeded;
            self.key = KeyState::Unknown;
        }
    }

    /// Notes that the process runs. A term ends if it did not for long: the instance may have been
    /// suspended, and others may have acted since.
    pub fn note_alive(&mut self, now: Millis) {
        let paused_ms = now.since(std::mem::replace(&mut self.alive_at, now));
        if paused_ms > self.rules.max_pause_ms() && self.term.is_some() {
            self.release = Release::Wanted;
            self.end_term(TermEnd::Suspended, now);
        }
    }

    /// Token for a call that is sent now, or none if it must not be sent. Has to be called immediately
    /// before sending; [`Self::call_started`] follows if the call is sent.
    #[must_use]
    pub fn permit_send(&mut self, now: Millis) -> Option<DutyToken> {
        self.note_alive(now);
        let token = self.term?;
        let (_, era_seen_at) = self.era?;
        if self.is_ending() {
            return None;
        }
        // A holder of the former era may rely on its lease for so long; the same after a start.
        if now.since(era_seen_at) < self.rules.lease_times().ttl_ms {
            return None;
        }
        let has_acted_before = self.last_call.is_some_and(|(earlier, ended_at)| {
            earlier != token && now.since(ended_at) < self.rules.lease_ms
        });
        if has_acted_before {
            return None;
        }
        self.lease
            .permit_send(self.rules.initial_wait_ms(), now)
            .map(|number| DutyToken(number.0))
    }

    /// Notes that a call with `token` is sent.
    pub fn call_started(&mut self, token: DutyToken, now: Millis) {
        self.open_calls += 1;
        self.last_call = Some((token, now));
    }

    /// Notes the end of a call. `CallEnd::NotSent` is for calls that were not started.
    pub fn call_ended(&mut self, token: DutyToken, end: CallEnd, now: Millis) {
        if end == CallEnd::NotSent {
            return;
        }
        self.open_calls = self.open_calls.saturating_sub(1);
        self.last_call = self.last_call.max(Some((token, now)));
        let is_of_term = self.term == Some(token);
        match end {
            CallEnd::Answered => self.unanswered = 0,
            CallEnd::Fenced if is_of_term => {
                self.release = Release::Wanted;
                self.end_term(TermEnd::HigherToken, now);
            }
            CallEnd::NoResponse => self.note_unreachable(now),
            CallEnd::Fenced | CallEnd::NotSent => {}
        }
    }

    /// Notes that the receiver could not be reached, so that no call was sent.
    pub fn note_unreachable(&mut self, now: Millis) {
        self.unanswered += 1;
        if self.unanswered >= UNREACHABLE_CALLS && self.candidacy.has_others && self.term.is_some()
        {
            self.unanswered = 0;
            self.compete_from = now.plus(YIELD_MS);
            self.release = Release::Wanted;
            self.end_term(TermEnd::Unreachable, now);
        }
    }

    /// Token of the present term according to this instance's clock.
    pub fn token(&self, now: Millis) -> Option<DutyToken> {
        let token = self.term?;
        self.lease.number(now).map(|_| token)
    }

    /// Time since the present term began, in milliseconds; 0 without one.
    pub fn age_ms(&self, now: Millis) -> u64 {
        let acquired_at = self.lease.acquired_at();
        acquired_at.map_or(0, |at| now.since(at))
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<DutyEvent> {
        std::mem::take(&mut self.events)
    }

    fn tick_in_term(&mut self, writer: WriterId, now: Millis) -> Vec<DutyEffect> {
        if self.is_ending() && self.open_calls == 0 {
            self.release = Release::InProgress;
            self.end_term(TermEnd::Resigned, now);
            return vec![DutyEffect::Release];
        }
        let effects = self.lease.tick(writer, now);
        if self.lease.number(now).is_none() {
            self.lapse(now);
        }
        effects.into_iter().map(DutyEffect::Lease).collect()
    }

    /// Whether the term has to end once the open calls have ended.
    fn is_ending(&self) -> bool {
        self.is_stopping || !self.candidacy.is_candidate
    }

    fn may_compete(&self, now: Millis) -> bool {
        !self.is_ending()
            && self.term.is_none()
            && self.release == Release::NotNeeded
            && now >= self.compete_from
    }

    fn begin_term(&mut self, token: DutyToken, now: Millis) {
        self.highest = token;
        self.unanswered = 0;
        self.key = KeyState::Taken;
        self.term = Some(token);
        // The time of the attempt is covered by the lease, which counts from its start.
        self.alive_at = now;
        self.events.push(DutyEvent::Acquired(token));
        if self.is_ending() {
            self.release = Release::Wanted;
            self.end_term(TermEnd::Resigned, now);
        }
    }

    /// Ends a term whose lease is no longer valid by this instance's clock.
    fn lapse(&mut self, now: Millis) {
        // The store may still know the lease, for instance after it was down itself.
        self.release = Release::Wanted;
        self.end_term(TermEnd::Lapsed, now);
    }

    /// Prepares the next attempt. A write without a response may still be applied, so its lease is revoked.
    fn attempt_failed(&mut self, now: Millis) {
        self.key = KeyState::Unknown;
        self.lease.end_term(now);
        if self.is_write_unknown {
            self.release = Release::Wanted;
        }
    }

    fn end_term(&mut self, reason: TermEnd, now: Millis) {
        if let Some(token) = self.term.take() {
            self.events.push(DutyEvent::Ended(token, reason));
        }
        self.key = KeyState::Unknown;
        self.lease.end_term(now);
    }

    /// Replaces revisions by tokens. An answer is treated as lost if the store may have been restored
    /// since the attempt or term began, and as absent if its token is not higher than earlier ones.
    fn with_token(&mut self, answer: LeaseAnswer, era: Option<u64>) -> LeaseAnswer {
        let is_same_era = era == Some(self.attempt_era);
        let (era, highest) = (self.attempt_era, self.highest);
        let new_token = |revision| {
            let token = DutyToken::new(era, revision);
            token.filter(|token| *token > highest).map(|token| token.0)
        };
        match answer {
            LeaseAnswer::Written { .. } | LeaseAnswer::Found { .. } if !is_same_era => {
                LeaseAnswer::Lost
            }
            LeaseAnswer::Written { .. } if self.term.is_some() => LeaseAnswer::Written {
                revision: self.term.unwrap_or_default().0,
            },
            LeaseAnswer::Written { revision } => match new_token(revision) {
                Some(revision) => LeaseAnswer::Written { revision },
                None => LeaseAnswer::Absent,
            },
            LeaseAnswer::Found { record, revision } => match new_token(revision) {
                Some(revision) => {
                    self.highest = DutyToken(revision);
                    LeaseAnswer::Found { record, revision }
                }
                None => LeaseAnswer::Absent,
            },
            other => other,
        }
    }
}
