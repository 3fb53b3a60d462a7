//! Pulls of missed changes in the store from another instance.

use super::{exchange, ExchangeError, PULL_HEADER};
use crate::{
    log::Event,
    node::{Node, Pull},
    store::Facts,
};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{header::HeaderValue, Request};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// Timeout for the response to a pull.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of the response, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Query of a pull; encoded as JSON in the `cw-pull` header.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct PullQuery {
    prefix: usize,
    after: u64,
}

/// Pulls changes from another instance and applies them.
pub async fn pull(node: Rc<Node>, pull: Pull) {
    let result = match timeout(ANSWER_TIMEOUT, ask(&node, &pull)).await {
        Ok(result) => result,
        Err(_) => Err("no answer in time".to_owned()),
    };
    match result {
        Ok(facts) => {
            node.log.event(Event::Pulled {
                member: &pull.member,
                prefix: pull.prefix,
                after: pull.after,
                revision: facts.revision,
                facts: facts.facts.len(),
            });
            node.apply_pulled_facts(pull.prefix, facts);
        }
        Err(reason) => node.log.event(Event::PullFailed {
            member: &pull.member,
            reason: &reason,
        }),
    }
}

/// Sends the query and decodes the response.
async fn ask(node: &Node, pull: &Pull) -> Result<Facts, String> {
    let query = PullQuery {
        prefix: pull.prefix,
        after: pull.after,
    };
    let query = serde_json::to_string(&query).map_err(|err| err.to_string())?;
    let mut request = Request::new(Full::<Bytes>::default());
    let value = HeaderValue::from_str(&query).map_err(|err| err.to_string())?;
    request.headers_mut().insert(PULL_HEADER, value);
    let response = exchange(node, &pull.member, request).await;
    let response = response.map_err(|err| match err {
        ExchangeError::NotSent => "the link is lost".to_owned(),
        ExchangeError::Broken(reason) => reason,
    })?;
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await;
    let body = body.map_err(|err| err.to_string())?.to_bytes();
    postcard::from_bytes(&body).map_err(|err| err.to_string())
}

/// Response to a query: the facts after its revision.
pub(super) fn answer(node: &Node, query: &HeaderValue) -> Option<Vec<u8>> {
    let query: PullQuery = serde_json::from_slice(query.as_bytes()).ok()?;
    let facts = node.state.borrow().replica.since(query.prefix, query.after);
    postcard::to_stdvec(&facts).ok()
}
