//! Actions that may not be repeated: claimed in the store before anything is sent.
//!
//! The state machine is [`carobwheel_core::once::Action`]; this module carries out its effects.
//! An action goes on when its caller leaves, since its outcome has still to be recorded.

mod claims;
mod upstream;

pub(crate) use claims::Claims;

use super::{
    answer::Answer,
    forward,
    work::{self, Found, Work},
    Shared,
};
use crate::{
    in_flight::InFlightGuard,
    refusal::{run_of_status, Cause, Execution, Refusal},
};
use carobwheel_core::{
    identity::Caller,
    once::{
        self, request_hash, Action, ActionRecord, ActionSpec, Effect, Input, LeaseId, MayHaveRun,
        NotRun, OnceKey, StoreAnswer,
    },
    time::Millis,
};
use std::{collections::VecDeque, pin::pin, sync::Arc, time::Duration};
use tokio::{sync::oneshot, time};

/// Longest time for which an answer waits for its record.
const RELAY_DELAY: Duration = Duration::from_millis(500);

type Reply = oneshot::Sender<Result<Answer, Refusal>>;

/// Runs the action of `work` and answers as soon as its fate is known.
pub(super) async fn run(
    shared: &Arc<Shared>,
    work: Work,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let spec = spec(&work)?;
    // The place comes first: a request that is refused costs the store nothing.
    let place = match work::place(shared, &work, &[], None).await? {
        Found::Place(place) => place,
        Found::Forward(to) => return forward::send(shared, &work, to, running).await,
    };
    let upstream = upstream::Upstream::new(place);
    let (reply, answer) = oneshot::channel();
    let driver = Driver {
        shared: Arc::clone(shared),
        action: Action::new(spec, once::WriterId(rand::random())),
        work,
        upstream,
        reply: Some(reply),
        relayed: None,
        lease: None,
        _running: running,
    };
    tokio::spawn(driver.drive());
    answer.await.unwrap_or_else(|_| {
        let message = "the action was dropped midway";
        Err(Refusal::may_have_run(Cause::UpstreamFailed, message))
    })
}

fn spec(work: &Work) -> Result<ActionSpec, Refusal> {
    let key = match (&work.caller, &work.idempotency_key) {
        (Caller::Account(credential), Some(key)) => {
            let key = OnceKey::new(&credential.account, key).map_err(|err| {
                Refusal::not_run(Cause::InvalidRequest, format!("Idempotency-Key: {err}"))
            })?;
            Some(key)
        }
        // Keys of callers without an account would collide.
        (Caller::Open, Some(_)) => {
            let message = "an Idempotency-Key needs an account";
            return Err(Refusal::not_run(Cause::InvalidRequest, message));
        }
        (_, None) => None,
    };
    Ok(ActionSpec {
        key,
        request_sha256: request_hash(work.method.as_str(), &work.path_and_query, &work.body),
        deadline: work.deadline,
        outcome_kept_ms: work.call.outcome_kept_ms,
        deduplicates: work.call.deduplicates,
    })
}

/// Carries out the effects of one action.
struct Driver {
    shared: Arc<Shared>,
    action: Action,
    work: Work,
    upstream: upstream::Upstream,
    reply: Option<Reply>,
    relayed: Option<Answer>,
    lease: Option<LeaseId>,
    _running: InFlightGuard,
}

impl Driver {
    async fn drive(mut self) {
        let mut effects = VecDeque::from(self.action.start(self.now()));
        while let Some(effect) = effects.pop_front() {
            for input in self.carry_out(effect).await {
                let now = self.now();
                effects.extend(self.action.step(input, now));
            }
        }
        assert!(
            self.reply.is_none(),
            "an action ends with an answer to its caller"
        );
    }

    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    async fn carry_out(&mut self, effect: Effect) -> Vec<Input> {
        match effect {
            Effect::Create {
                call,
                key,
                record,
                lifetime_ms,
            } => {
                let answer = self.create(&key, &record, lifetime_ms).await;
                vec![Input::Store { call, answer }]
            }
            Effect::ReadBack { call, key } => {
                let answer = self.shared.claims.read(&key).await;
                vec![Input::Store { call, answer }]
            }
            Effect::WriteOutcome {
                call,
                key,
                record,
                revision,
                not_before,
            } => {
                let wait_ms = not_before.since(self.now());
                time::sleep(Duration::from_millis(wait_ms)).await;
                let answer = self.write_outcome(&key, &record, revision).await;
                vec![Input::Store { call, answer }]
            }
            Effect::Release { key, record } => {
                self.shared.claims.release(&key, &record).await;
                Vec::new()
            }
            Effect::Dispatch { call, send_before } => self.dispatch(call, send_before).await,
            Effect::Relay => {
                // With a key the answer follows the record, so that a repeat finds it.
                if self.work.idempotency_key.is_none() {
                    self.relay();
                }
                Vec::new()
            }
            Effect::Answer(answer) => {
                let answer = final_answer(&answer, self.upstream.refusal.take());
                self.answer(answer);
                Vec::new()
            }
            Effect::End => {
                self.relay();
                Vec::new()
            }
        }
    }

    async fn create(
        &mut self,
        key: &OnceKey,
        record: &ActionRecord,
        lifetime_ms: u64,
    ) -> StoreAnswer {
        let claims = &self.shared.claims;
        let Some(lease) = claims.lease(lifetime_ms, self.shared.clock.now()).await else {
            return StoreAnswer::NotSent;
        };
        self.lease = Some(lease);
        claims.create(key, record, lease).await
    }

    /// Writes the outcome and relays the answer, which does not wait long for a slow store.
    async fn write_outcome(
        &mut self,
        key: &OnceKey,
        record: &ActionRecord,
        revision: u64,
    ) -> StoreAnswer {
        let lease = self.lease.expect("an outcome follows a claim on a lease");
        let shared = Arc::clone(&self.shared);
        let mut write = pin!(shared.claims.write(key, record, revision, lease));
        let written = time::timeout(RELAY_DELAY, &mut write).await;
        self.relay();
        match written {
            Ok(answer) => answer,
            Err(_) => write.await,
        }
    }

    fn relay(&mut self) {
        if let Some(answer) = self.relayed.take() {
            self.answer(Ok(answer));
        }
    }

    async fn dispatch(&mut self, call: u32, send_before: Millis) -> Vec<Input> {
        let events = if self.upstream.find_place(&self.shared, &self.work).await
            && self.now() < send_before
            && self.action.permit_send(call, self.now())
        {
            let (events, answer) = self.upstream.exchange(&self.shared, &self.work).await;
            self.relayed = answer;
            events
        } else {
            vec![once::UpstreamEvent::Failed {
                may_have_sent_bytes: false,
            }]
        };
        events
            .into_iter()
            .map(|event| Input::Upstream { call, event })
            .collect()
    }

    // A caller that has gone drops the receiving end.
    fn answer(&mut self, answer: Result<Answer, Refusal>) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(answer);
        }
    }
}

/// The answer of the state machine as the caller gets it. `refusal` is what the deciding thread
/// last said, and is told to the caller when no upstream took the request.
fn final_answer(answer: &once::Answer, refusal: Option<Refusal>) -> Result<Answer, Refusal> {
    match answer {
        once::Answer::Replay(outcome) => Ok(replay(outcome)),
        once::Answer::ReplayUnavailable { status } => Err(Refusal {
            run: Execution::Ran,
            ..Refusal::not_run(
                Cause::InProgress,
                format!("the action ran with status {status}; its answer was too long to keep"),
            )
        }),
        once::Answer::NotRun(NotRun::UpstreamUnavailable) => {
            let message = "no upstream could be reached";
            Err(refusal.unwrap_or_else(|| Refusal::not_run(Cause::NoUpstream, message)))
        }
        once::Answer::NotRun(cause) => Err(not_run(*cause)),
        once::Answer::MayHaveRun(cause) => Err(may_have_run(*cause)),
    }
}

fn replay(outcome: &once::Outcome) -> Answer {
    let mut answer = Answer::whole(
        outcome.status,
        run_of_status(outcome.status),
        outcome.body.bytes().unwrap_or_default().to_vec().into(),
    );
    if let Some(content_type) = &outcome.content_type {
        answer.headers.push(("content-type", content_type.clone()));
    }
    answer
        .headers
        .push(("idempotent-replayed", "true".to_owned()));
    answer
}

fn not_run(cause: NotRun) -> Refusal {
    match cause {
        NotRun::StoreUnavailable => {
            let message = "the action cannot be claimed now, since the store does not answer";
            Refusal::not_run(Cause::StoreUnavailable, message).retry_after(1_000)
        }
        NotRun::UpstreamUnavailable => {
            Refusal::not_run(Cause::NoUpstream, "no upstream could be reached")
        }
        NotRun::DeadlinePassed => Refusal::not_run(
            Cause::Overloaded,
            "the deadline passed before anything was sent",
        ),
        NotRun::KeyReused => {
            let message = "the Idempotency-Key stands with another request";
            Refusal::not_run(Cause::KeyReused, message)
        }
    }
}

fn may_have_run(cause: MayHaveRun) -> Refusal {
    match cause {
        MayHaveRun::UpstreamLost => Refusal::may_have_run(
            Cause::UpstreamFailed,
            "the connection to the upstream broke",
        ),
        MayHaveRun::DeadlinePassed => Refusal::may_have_run(
            Cause::UpstreamTimeout,
            "the upstream did not answer before the deadline",
        ),
        MayHaveRun::Unfinished => {
            let message = "a request with this Idempotency-Key is running, or its end is unknown";
            Refusal::may_have_run(Cause::InProgress, message)
        }
        MayHaveRun::Unreadable => {
            let message = "the record of this Idempotency-Key cannot be read";
            Refusal::may_have_run(Cause::InProgress, message)
        }
    }
}
