//! The upstream's side of an action.

use super::super::{
    answer::Answer,
    pass,
    work::{self, Found, Place, Work},
    Shared,
};
use crate::{
    decide::AttemptOutcome,
    dispatch::{ExchangeError, Head},
    refusal::{run_of_status, Refusal},
    relay::{Charged, Framing, Settling},
};
use bytes::BytesMut;
use carobwheel_core::{
    id::UpstreamId,
    once::{Outcome, StoredBody, UpstreamEvent},
    retry::Failure,
};
use reqwest::header::RETRY_AFTER;
use std::sync::Arc;

/// Longest answer of an action, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;

/// A place and the exchange on it.
pub(super) struct Upstream {
    place: Option<Place>,
    charged: Option<Charged>,
    tried: Vec<UpstreamId>,
    /// What the deciding thread said when it had no place.
    pub(super) refusal: Option<Refusal>,
}

impl Upstream {
    pub(super) fn new(place: Place) -> Self {
        Self {
            place: Some(place),
            charged: None,
            tried: Vec::new(),
            refusal: None,
        }
    }

    /// Makes sure that there is a place.
    pub(super) async fn find_place(&mut self, shared: &Shared, work: &Work) -> bool {
        if self.place.is_some() {
            return true;
        }
        let charged = self.charged.take();
        match work::place(shared, work, &self.tried, charged).await {
            Ok(Found::Place(place)) => self.place = Some(place),
            // Another instance would claim the action anew, under a claim that is held here.
            Ok(Found::Forward(_)) => {}
            Err(refusal) => self.refusal = Some(refusal),
        }
        self.place.is_some()
    }

    /// Sends the request once, on a connection of its own, and gathers the whole answer.
    pub(super) async fn exchange(
        &mut self,
        shared: &Arc<Shared>,
        work: &Work,
    ) -> (Vec<UpstreamEvent>, Option<Answer>) {
        let mut place = self
            .place
            .take()
            .expect("a place is found before an exchange");
        let exchange = work::dispatch(shared, work, &place, true).await;
        let settling = &mut place.settling;
        let gathered = match exchange {
            Ok(head) if is_refusal(&head) => {
                self.charged = settling.take_charge();
                settling.settle(AttemptOutcome::Failed(Failure::RefusedNotRun));
                self.tried.push(place.placed.upstream);
                return (vec![UpstreamEvent::Refused], None);
            }
            Ok(head) => gather(head, settling).await,
            Err(err) => Err(err),
        };
        match gathered {
            Ok((outcome, answer)) => {
                settling.settle(AttemptOutcome::Completed);
                let events = vec![UpstreamEvent::Head, UpstreamEvent::Done(outcome)];
                (events, Some(answer))
            }
            Err(err) => {
                self.charged = settling.take_charge();
                settling.settle(AttemptOutcome::Failed(err.failure()));
                self.tried.push(place.placed.upstream);
                let may_have_sent_bytes = err.failure() != Failure::ConnectFailed;
                let failed = UpstreamEvent::Failed {
                    may_have_sent_bytes,
                };
                (vec![failed], None)
            }
        }
    }
}

/// Whether the upstream itself says that it did not run the request: 429, or 503 with the time
/// after which to come again. A bare 503 may also come from something that gave up waiting.
fn is_refusal(head: &Head) -> bool {
    match head.status {
        429 => true,
        503 => head.headers.contains_key(RETRY_AFTER),
        _ => false,
    }
}

async fn gather(
    mut head: Head,
    settling: &mut Settling,
) -> Result<(Outcome, Answer), ExchangeError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = head.chunks.recv().await {
        settling.byte_arrived();
        body.extend_from_slice(&chunk?);
        if body.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::Broken("the answer is too long".to_owned()));
        }
    }
    let framing = pass::framing(&head.headers);
    if matches!(framing, Framing::Length(length_bytes) if length_bytes != body.len() as u64) {
        return Err(ExchangeError::Broken("the answer was cut short".to_owned()));
    }
    let headers = pass::passed_back(&head.headers);
    let content_type = headers.iter().find(|(name, _)| *name == "content-type");
    let outcome = Outcome {
        status: head.status,
        content_type: content_type.map(|(_, value)| value.clone()),
        body: StoredBody::new(body.to_vec()),
    };
    let mut answer = Answer::whole(head.status, run_of_status(head.status), body.freeze());
    answer.headers = headers;
    Ok((outcome, answer))
}
