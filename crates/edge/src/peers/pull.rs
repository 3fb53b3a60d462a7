//! Pulls of missed changes in the store from another instance.

use super::{exchange, ExchangeError, PULL_HEADER};
use crate::{
    log::Event,
    node::{Node, Pull},
    store::{Fact, Facts, Position},
};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{header::HeaderValue, Request};
use serde::{Deserialize, Serialize};
use std::{rc::Rc, time::Duration};
use tokio::time::timeout;

/// Timeout for the response to a pull.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Maximum size of the response, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Query of a pull; encoded as JSON in the `cw-pull` header.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct PullQuery {
    prefix: usize,
    after: u64,
    /// Era of `after`; builds without it ask in the era that this instance knows.
    era: Option<u64>,
}

/// Fact in a response, without its era.
#[derive(Debug, Serialize, Deserialize)]
struct WireFact {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// Response to a query. The eras follow it: builds that do not know them ignore trailing bytes.
#[derive(Debug, Serialize, Deserialize)]
struct WireFacts {
    facts: Vec<WireFact>,
    revision: u64,
}

/// Eras of a response and of each of its facts.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WireEras {
    era: u64,
    facts: Vec<u64>,
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
                behind_ms: node.now().since(pull.behind_since),
                after_era: pull.after.era,
                after: pull.after.revision,
                era: facts.at.era,
                revision: facts.at.revision,
                facts: facts.facts.len(),
            });
            node.apply_pulled_facts(pull.prefix, facts);
        }
        Err(reason) => node.log.event(Event::PullFailed {
            member: &pull.member,
            prefix: pull.prefix,
            behind_ms: node.now().since(pull.behind_since),
            reason: &reason,
        }),
    }
}

/// Sends the query and decodes the response.
async fn ask(node: &Node, pull: &Pull) -> Result<Facts, String> {
    let query = PullQuery {
        prefix: pull.prefix,
        after: pull.after.revision,
        era: Some(pull.after.era),
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
    decode_facts(&body, pull.after.era).map_err(|err| err.to_string())
}

/// Response to a query: the facts after its position.
pub(super) fn answer(node: &Node, query: &HeaderValue) -> Option<Vec<u8>> {
    let query: PullQuery = serde_json::from_slice(query.as_bytes()).ok()?;
    let state = node.state.borrow();
    let known = state.replica.positions();
    let after = Position {
        era: query.era.unwrap_or(known.get(query.prefix)?.era),
        revision: query.after,
    };
    encode_facts(state.replica.since(query.prefix, after)).ok()
}

/// Encodes facts for a response.
///
/// # Errors
///
/// Fails if they cannot be serialized.
pub fn encode_facts(facts: Facts) -> postcard::Result<Vec<u8>> {
    let eras = WireEras {
        era: facts.at.era,
        facts: facts.facts.iter().map(|fact| fact.at.era).collect(),
    };
    let wire_facts = facts.facts.into_iter().map(|fact| WireFact {
        key: fact.key,
        revision: fact.at.revision,
        value: fact.value,
    });
    let response = WireFacts {
        facts: wire_facts.collect(),
        revision: facts.at.revision,
    };
    postcard::to_extend(&eras, postcard::to_stdvec(&response)?)
}

/// Decodes a response. Without eras, it is of the era `own_era`.
///
/// # Errors
///
/// Fails if the bytes are no response.
pub fn decode_facts(bytes: &[u8], own_era: u64) -> postcard::Result<Facts> {
    let (response, rest): (WireFacts, &[u8]) = postcard::take_from_bytes(bytes)?;
    let eras: Option<WireEras> = postcard::from_bytes(rest).ok();
    let era_of = |index: usize| {
        let eras = eras.as_ref()?;
        eras.facts.get(index).copied()
    };
    let facts = response
        .facts
        .into_iter()
        .enumerate()
        .map(|(index, fact)| Fact {
            key: fact.key,
            at: Position {
                era: era_of(index).unwrap_or(own_era),
                revision: fact.revision,
            },
            value: fact.value,
        });
    Ok(Facts {
        facts: facts.collect(),
        at: Position {
            era: eras.as_ref().map_or(own_era, |eras| eras.era),
            revision: response.revision,
        },
    })
}
