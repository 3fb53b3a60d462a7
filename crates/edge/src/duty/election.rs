//! Competition for one duty, on the store's thread.

use super::shared::SharedLease;
use crate::store::{Backoff, Change, Freshness, Position, StoreAccess, StoreError, StoreResult};
use crate::store::{Commit, Expected, Write};
use carobwheel_core::{
    duty::{DutyEffect, KeyState},
    lease::{LeaseAnswer, LeaseEffect, LeaseRecord},
    once::WriterId,
    time::Clock,
};
use std::{future::Future, time::Duration};
use tokio::time::{sleep, timeout};

/// Interval of the decisions. Bounds the delay of a renewal and of a release.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which an instance checks whether it has to read the key.
const KEY_TICK: Duration = Duration::from_millis(200);
/// Timeout of a call for the lease. The store responds within a few milliseconds; two renewals have to
/// fit between the first one that fails and the end of the lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Wait of one watch call, in milliseconds. A lost response is noticed earlier by other calls.
const WATCH_MS: u64 = 5_000;
/// Time for which a candidate leaves a free key to each one that is preferred to it, in milliseconds.
const RANK_DELAY_MS: u64 = 250;

/// Lease that was granted last.
#[derive(Clone, Copy, Debug)]
struct Granted {
    id: u64,
    era: u64,
}

/// Competes for the lease until it is stopped and released.
pub(super) async fn run(access: StoreAccess, key: String, shared: SharedLease, clock: Clock) {
    let mut election = Election {
        access,
        key,
        shared,
        clock,
        granted: None,
    };
    tokio::select! {
        () = election.key_reader().follow_key() => {}
        () = election.compete() => {}
    }
}

/// State of the competition.
struct Election {
    access: StoreAccess,
    key: String,
    shared: SharedLease,
    clock: Clock,
    granted: Option<Granted>,
}

/// Reader of the duty's key.
struct KeyReader {
    access: StoreAccess,
    key: String,
    shared: SharedLease,
    clock: Clock,
}

impl Election {
    fn key_reader(&self) -> KeyReader {
        KeyReader {
            access: self.access.clone(),
            key: self.key.clone(),
            shared: self.shared.clone(),
            clock: self.clock,
        }
    }

    /// Makes the calls that the state machine asks for.
    async fn compete(&mut self) {
        while !self.shared.with(|duty| duty.is_stopped()) {
            let now = self.clock.boot_now();
            let era = (self.access.ops.era)();
            let is_stopping = self.access.stop.is_cancelled();
            let mut effects = self.shared.with(|duty| {
                duty.observe_era(era, now);
                if is_stopping {
                    duty.stop();
                }
                duty.tick(WriterId(rand::random()), now)
            });
            while let Some(effect) = effects.pop() {
                effects.extend(self.perform(effect).await);
            }
            sleep(TICK).await;
        }
    }

    /// Makes one call, and returns the calls that its result requires.
    async fn perform(&mut self, effect: DutyEffect) -> Vec<DutyEffect> {
        let effect = match effect {
            DutyEffect::Lease(effect) => effect,
            DutyEffect::Release => {
                self.revoke().await;
                self.shared.with(|duty| duty.released());
                return Vec::new();
            }
        };
        let era_before = (self.access.ops.era)();
        let (call, answer) = match effect {
            LeaseEffect::Create { call, record, .. } => (call, self.create(&record).await),
            LeaseEffect::Read { call, not_before } => {
                let wait_ms = not_before.since(self.clock.boot_now());
                sleep(Duration::from_millis(wait_ms)).await;
                (call, self.read().await)
            }
            LeaseEffect::Renew { call } => (call, self.renew().await),
        };
        // The era only grows, so a call between two equal ones was made in it.
        let era = Some((self.access.ops.era)()).filter(|era| *era == era_before);
        let now = self.clock.boot_now();
        self.shared.with(|duty| duty.step(call, answer, era, now))
    }

    async fn create(&mut self, record: &LeaseRecord) -> LeaseAnswer {
        let ttl_ms = self.shared.rules().lease_times().ttl_ms;
        let era = (self.access.ops.era)();
        self.granted = None;
        let id = match with_timeout((self.access.ops.grant)(ttl_ms)).await {
            Ok(id) => id,
            Err(_) => return LeaseAnswer::NotSent,
        };
        self.granted = Some(Granted { id, era });
        let Ok(value) = serde_json::to_vec(record) else {
            return LeaseAnswer::NotSent;
        };
        let commit = Commit {
            expected: vec![Expected {
                key: self.key.clone(),
                revision: 0,
            }],
            writes: vec![Write {
                key: self.key.clone(),
                value,
                lease: id,
            }],
            removes: Vec::new(),
        };
        match with_timeout((self.access.ops.commit)(commit)).await {
            Ok(revision) => LeaseAnswer::Written { revision },
            Err(StoreError::NoAnswer(_) | StoreError::Malformed(_)) => LeaseAnswer::Lost,
            Err(_) => LeaseAnswer::NotSent,
        }
    }

    async fn read(&self) -> LeaseAnswer {
        match with_timeout((self.access.ops.get)(&self.key)).await {
            Ok(item) => match serde_json::from_slice(&item.value) {
                Ok(record) => LeaseAnswer::Found {
                    record,
                    revision: item.revision,
                },
                // A value of another kind of writer.
                Err(_) => LeaseAnswer::NotSent,
            },
            Err(StoreError::NotFound) => LeaseAnswer::Absent,
            Err(_) => LeaseAnswer::Lost,
        }
    }

    async fn renew(&self) -> LeaseAnswer {
        let Some(granted) = self.granted else {
            return LeaseAnswer::Absent;
        };
        match with_timeout((self.access.ops.renew)(granted.id)).await {
            Ok(()) => LeaseAnswer::Written { revision: 0 },
            Err(StoreError::NotFound) => LeaseAnswer::Absent,
            Err(_) => LeaseAnswer::Lost,
        }
    }

    /// Revokes the lease, unless its number may belong to another instance since a restore. Without a
    /// response the lease expires by itself.
    async fn revoke(&mut self) {
        let Some(granted) = self.granted.take() else {
            return;
        };
        if (self.access.ops.era)() == granted.era {
            drop(with_timeout((self.access.ops.revoke)(granted.id)).await);
        }
    }
}

impl KeyReader {
    /// Tells the state machine when the key is free, as long as it wants to know.
    async fn follow_key(self) {
        let mut backoff = Backoff::default();
        let mut watched: Option<Position> = None;
        loop {
            let now = self.clock.boot_now();
            if !self.shared.with(|duty| duty.wants_key(now)) {
                watched = None;
                sleep(KEY_TICK).await;
                continue;
            }
            let result = match watched {
                None => self.list().await,
                Some(after) => self.watch(after, WATCH_MS, KeyState::Taken).await,
            };
            match result {
                Ok(Some(at)) => {
                    backoff.succeeded();
                    watched = Some(at);
                }
                Ok(None) => {
                    backoff.succeeded();
                    watched = None;
                }
                Err(err) => {
                    watched = None;
                    if err != StoreError::HistoryGone {
                        sleep(Duration::from_millis(backoff.failed(rand::random()))).await;
                    }
                }
            }
        }
    }

    /// Reads the key. Returns the position to watch from if it is taken.
    async fn list(&self) -> StoreResult<Option<Position>> {
        let listing = (self.access.ops.list)(&self.key, Freshness::Latest).await?;
        let is_taken = listing.items.iter().any(|item| item.key == self.key);
        self.note(listing.at, is_taken).await
    }

    /// Watches the key. Returns the position to continue from; none if it has to be read again.
    async fn watch(
        &self,
        after: Position,
        wait_ms: u64,
        known: KeyState,
    ) -> StoreResult<Option<Position>> {
        let mut lost_answers = self.access.lost_answers();
        lost_answers.forget();
        let changes = tokio::select! {
            changes = (self.access.ops.watch)(&self.key, after.revision, wait_ms) => changes?,
            () = lost_answers.noticed() => return Ok(None),
        };
        if changes.at.era != after.era {
            return Ok(None);
        }
        let own = changes.changes.iter().rev().find(|change| match change {
            Change::Written(item) => item.key == self.key,
            Change::Removed { key, .. } => *key == self.key,
        });
        let is_taken = match own {
            Some(Change::Written(_)) => true,
            Some(Change::Removed { .. }) => false,
            None => known == KeyState::Taken,
        };
        if known == KeyState::Free {
            self.set_key_state(changes.at, is_taken);
            return Ok(is_taken.then_some(changes.at));
        }
        self.note(changes.at, is_taken).await
    }

    /// Notes what was read. A free key is left to preferred candidates for a while.
    async fn note(&self, at: Position, is_taken: bool) -> StoreResult<Option<Position>> {
        let rank = self.shared.with(|duty| duty.rank());
        if !is_taken && rank > 0 {
            let wait_ms = rank * RANK_DELAY_MS;
            return Box::pin(self.watch(at, wait_ms, KeyState::Free)).await;
        }
        self.set_key_state(at, is_taken);
        Ok(is_taken.then_some(at))
    }

    /// Passes the state of the key on to the state machine.
    fn set_key_state(&self, at: Position, is_taken: bool) {
        let now = self.clock.boot_now();
        let key = if is_taken {
            KeyState::Taken
        } else {
            KeyState::Free
        };
        self.shared.with(|duty| {
            duty.observe_era(at.era, now);
            duty.key_seen(key);
        });
    }
}

/// Makes a call with the timeout of calls for the lease.
async fn with_timeout<T>(call: impl Future<Output = StoreResult<T>>) -> StoreResult<T> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::NoAnswer("timeout".to_owned())),
    }
}
