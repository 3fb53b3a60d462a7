//! Attempts of an action at upstreams.

use super::super::{
    answer::Answer,
    attempt::{self, ClassifiedRequest, Destination, Placement},
    buffer::Buffering,
    pipeline, IntakeState,
};
use crate::{
    caller_memory::held_bytes,
    decide::AttemptOutcome,
    dispatch::{AnswerHead, ExchangeError},
    refusal::{execution_of_status, Refusal},
    relay::{ChargeGuard, Framing, PlacementGuard},
};
use bytes::BytesMut;
use carobwheel_core::{
    id::UpstreamId,
    memory::Use,
    once::{Outcome, StoredBody, UpstreamEvent},
    retry::Failure,
};
use reqwest::header::RETRY_AFTER;
use std::sync::Arc;
use tokio::time::timeout_at;

/// Maximum size of an action's answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// Upstream of an action: its current placement and the upstreams already tried.
pub(super) struct ActionUpstream {
    placement: Option<Placement>,
    charge_guard: Option<ChargeGuard>,
    tried: Vec<UpstreamId>,
    /// Last refusal of the decision thread to place the action.
    pub(super) refusal: Option<Refusal>,
}

impl ActionUpstream {
    pub(super) fn new(placement: Placement) -> Self {
        Self {
            placement: Some(placement),
            charge_guard: None,
            tried: Vec::new(),
            refusal: None,
        }
    }

    /// Requests a placement unless there is one; returns whether there is one now.
    pub(super) async fn ensure_placed(
        &mut self,
        shared: &IntakeState,
        classified: &ClassifiedRequest,
    ) -> bool {
        if self.placement.is_some() {
            return true;
        }
        let charge_guard = self.charge_guard.take();
        match attempt::place(shared, classified, &self.tried, charge_guard).await {
            Ok(Destination::Upstream(placement)) => self.placement = Some(placement),
            // Not forwarded: the other instance would claim the action again while this one holds
            // the claim.
            Ok(Destination::Instance(_)) => {}
            Err(refusal) => self.refusal = Some(refusal),
        }
        self.placement.is_some()
    }

    /// Sends the request once, on a new connection, and reads the complete answer.
    pub(super) async fn exchange(
        &mut self,
        shared: &Arc<IntakeState>,
        classified: &ClassifiedRequest,
    ) -> (Vec<UpstreamEvent>, Option<Answer>) {
        let mut placement = self
            .placement
            .take()
            .expect("an exchange needs a placement");
        let exchange = attempt::dispatch(shared, classified, &placement, true).await;
        let placement_guard = &mut placement.placement_guard;
        let received = match exchange {
            Ok(head) if is_refusal(&head) => {
                self.charge_guard = placement_guard.take_charge();
                placement_guard.settle(AttemptOutcome::Failed(Failure::RefusedNotRun));
                self.tried.push(placement.placed.upstream);
                return (vec![UpstreamEvent::Refused], None);
            }
            Ok(head) => {
                let buffering = attempt::buffering(shared, classified);
                let answer = read_answer(head, placement_guard, buffering);
                timeout_at(buffering.deadline, answer)
                    .await
                    .unwrap_or(Err(ExchangeError::Timeout))
            }
            Err(err) => Err(err),
        };
        match received {
            Ok((outcome, answer)) => {
                placement_guard.settle(AttemptOutcome::Completed);
                let events = vec![UpstreamEvent::Head, UpstreamEvent::Done(outcome)];
                (events, Some(answer))
            }
            Err(err) => {
                self.charge_guard = placement_guard.take_charge();
                placement_guard.settle(AttemptOutcome::Failed(err.failure()));
                self.tried.push(placement.placed.upstream);
                let may_have_sent_bytes = !err.failure().is_not_run();
                let failed = UpstreamEvent::Failed {
                    may_have_sent_bytes,
                };
                (vec![failed], None)
            }
        }
    }
}

/// Whether the upstream states that it did not run the request: status 429, or 503 with
/// `retry-after`. A 503 without it may also come from a proxy that timed out during the request.
fn is_refusal(head: &AnswerHead) -> bool {
    match head.status {
        429 => true,
        503 => head.headers.contains_key(RETRY_AFTER),
        _ => false,
    }
}

async fn read_answer(
    mut head: AnswerHead,
    placement_guard: &mut PlacementGuard,
    buffering: Buffering<'_>,
) -> Result<(Outcome, Answer), ExchangeError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = head.chunks.recv().await {
        placement_guard.record_first_byte();
        body.extend_from_slice(&chunk?);
        if body.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::Broken("the answer is too long".to_owned()));
        }
    }
    let framing = pipeline::framing(&head.headers);
    if matches!(framing, Framing::Length(length_bytes) if length_bytes != body.len() as u64) {
        return Err(ExchangeError::Broken("the answer was cut short".to_owned()));
    }
    let headers = pipeline::relayed_headers(&head.headers);
    let content_type = headers.iter().find(|(name, _)| *name == "content-type");
    let outcome = Outcome {
        status: head.status,
        content_type: content_type.map(|(_, value)| value.clone()),
        body: StoredBody::new(body.to_vec()),
    };
    // The action has run, so its answer is kept even if there is too little memory.
    let guard = buffering
        .memory
        .charge(Use::Answers, buffering.owner, body.len());
    let body = held_bytes(body, guard);
    let mut answer = Answer::buffered(head.status, execution_of_status(head.status), body);
    answer.headers = headers;
    Ok((outcome, answer))
}
