//! Actions that must run at most once: each is claimed in the store before anything is sent.
//!
//! The state machine is [`carobwheel_core::once::Action`]; this module executes its effects. An
//! action continues after its caller has disconnected, since its outcome has still to be recorded.

mod records;
mod upstream;

pub(crate) use records::ActionRecords;

use super::{
    answer::Answer,
    attempt::{self, ClassifiedRequest, Destination},
    forward, IntakeState,
};
use crate::{
    in_flight::InFlightGuard,
    refusal::{execution_of_status, Cause, Execution, Refusal},
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

/// Maximum delay of an answer while its outcome is being recorded.
const MAX_RELAY_DELAY: Duration = Duration::from_millis(500);

type AnswerSender = oneshot::Sender<Result<Answer, Refusal>>;

/// Runs the action of `classified` and returns its answer as soon as the outcome is known.
pub(super) async fn run(
    shared: &Arc<IntakeState>,
    classified: ClassifiedRequest,
    running: InFlightGuard,
) -> Result<Answer, Refusal> {
    let spec = action_spec(&classified)?;
    // Placed before it is claimed, so that a refused request causes no store traffic.
    let placement = match attempt::place(shared, &classified, &[], None).await? {
        Destination::Upstream(placement) => placement,
        Destination::Instance(to) => return forward::send(shared, &classified, to, running).await,
    };
    let upstream = upstream::ActionUpstream::new(placement);
    let (reply, answer) = oneshot::channel();
    let driver = Driver {
        shared: Arc::clone(shared),
        action: Action::new(spec, once::WriterId(rand::random())),
        classified,
        upstream,
        reply: Some(reply),
        pending_answer: None,
        lease: None,
        _running: running,
    };
    tokio::spawn(driver.drive());
    answer.await.unwrap_or_else(|_| {
        let message = "the action was dropped midway";
        Err(Refusal::may_have_run(Cause::UpstreamFailed, message))
    })
}

fn action_spec(classified: &ClassifiedRequest) -> Result<ActionSpec, Refusal> {
    let key = match (&classified.caller, &classified.idempotency_key) {
        (Caller::Account(credential), Some(key)) => {
            let key = OnceKey::new(&credential.account, key).map_err(|err| {
                Refusal::not_run(Cause::InvalidRequest, format!("Idempotency-Key: {err}"))
            })?;
            Some(key)
        }
        // Idempotency keys are scoped to an account; without one, keys of several callers collide.
        (Caller::Open, Some(_)) => {
            let message = "an Idempotency-Key needs an account";
            return Err(Refusal::not_run(Cause::InvalidRequest, message));
        }
        (_, None) => None,
    };
    Ok(ActionSpec {
        key,
        request_sha256: request_hash(
            classified.method.as_str(),
            &classified.path_and_query,
            &classified.body,
        ),
        deadline: classified.deadline,
        outcome_kept_ms: classified.classification.outcome_kept_ms,
        deduplicates: classified.classification.deduplicates,
    })
}

/// Executor of one action's effects.
struct Driver {
    shared: Arc<IntakeState>,
    action: Action,
    classified: ClassifiedRequest,
    upstream: upstream::ActionUpstream,
    reply: Option<AnswerSender>,
    pending_answer: Option<Answer>,
    lease: Option<LeaseId>,
    _running: InFlightGuard,
}

impl Driver {
    async fn drive(mut self) {
        let mut effects = VecDeque::from(self.action.start(self.now()));
        while let Some(effect) = effects.pop_front() {
            for input in self.execute(effect).await {
                let now = self.now();
                effects.extend(self.action.step(input, now));
            }
        }
        assert!(
            self.reply.is_none(),
            "an action must answer its caller before it ends"
        );
    }

    fn now(&self) -> Millis {
        self.shared.clock.now()
    }

    async fn execute(&mut self, effect: Effect) -> Vec<Input> {
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
                let answer = self.shared.action_records.read(&key).await;
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
                self.shared.action_records.release(&key, &record).await;
                Vec::new()
            }
            Effect::Dispatch { call, send_before } => self.dispatch(call, send_before).await,
            Effect::Relay => {
                // With an idempotency key the outcome is recorded first, so that a repeat finds it.
                if self.classified.idempotency_key.is_none() {
                    self.send_pending_answer();
                }
                Vec::new()
            }
            Effect::Answer(answer) => {
                let answer = final_answer(&answer, self.upstream.refusal.take());
                self.send_answer(answer);
                Vec::new()
            }
            Effect::End => {
                self.send_pending_answer();
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
        let action_records = &self.shared.action_records;
        let Some(lease) = action_records
            .lease(lifetime_ms, self.shared.clock.now())
            .await
        else {
            return StoreAnswer::NotSent;
        };
        self.lease = Some(lease);
        action_records.create(key, record, lease).await
    }

    /// Writes the outcome and then sends the answer, or sends it after [`MAX_RELAY_DELAY`] if the
    /// store is slow.
    async fn write_outcome(
        &mut self,
        key: &OnceKey,
        record: &ActionRecord,
        revision: u64,
    ) -> StoreAnswer {
        let lease = self
            .lease
            .expect("a claim with a lease precedes every outcome");
        let shared = Arc::clone(&self.shared);
        let mut write = pin!(shared.action_records.write(key, record, revision, lease));
        let written = time::timeout(MAX_RELAY_DELAY, &mut write).await;
        self.send_pending_answer();
        match written {
            Ok(answer) => answer,
            Err(_) => write.await,
        }
    }

    fn send_pending_answer(&mut self) {
        if let Some(answer) = self.pending_answer.take() {
            self.send_answer(Ok(answer));
        }
    }

    async fn dispatch(&mut self, call: u32, send_before: Millis) -> Vec<Input> {
        let events = if self
            .upstream
            .ensure_placed(&self.shared, &self.classified)
            .await
            && self.now() < send_before
            && self.action.permit_send(call, self.now())
        {
            let (events, answer) = self.upstream.exchange(&self.shared, &self.classified).await;
            self.pending_answer = answer;
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

    // Sending fails when the caller has disconnected and dropped the receiver.
    fn send_answer(&mut self, answer: Result<Answer, Refusal>) {
        if let Some(reply) = self.reply.take() {
            let _ = reply.send(answer);
        }
    }
}

/// Converts the answer of the state machine into the answer for the caller. `refusal` is the last
/// refusal of the decision thread; the caller gets it when no upstream accepted the request.
fn final_answer(answer: &once::Answer, refusal: Option<Refusal>) -> Result<Answer, Refusal> {
    match answer {
        once::Answer::Replay(outcome) => Ok(replayed_answer(outcome)),
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
        once::Answer::NotRun(cause) => Err(not_run_refusal(*cause)),
        once::Answer::MayHaveRun(cause) => Err(may_have_run_refusal(*cause)),
    }
}

fn replayed_answer(outcome: &once::Outcome) -> Answer {
    let mut answer = Answer::buffered(
        outcome.status,
        execution_of_status(outcome.status),
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

fn not_run_refusal(cause: NotRun) -> Refusal {
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

fn may_have_run_refusal(cause: MayHaveRun) -> Refusal {
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
