//! Pulls of missed changes in the store from another instance.

use super::{exchange, ExchangeError, PULL_HEADER};
use crate::{
    log::Event,
    node::{Node, Pull},
    store::{Coverage, Fact, Facts, Position, Replica},
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
    /// Whether the asking build reads the coverage of the response. Other builds take its position over,
    /// although removals may be missing.
    #[serde(default)]
    reads_coverage: bool,
}

/// Fact in a response, without its era.
#[derive(Debug, Serialize, Deserialize)]
struct WireFact {
    key: String,
    revision: u64,
    value: Option<Vec<u8>>,
}

/// Response to a query. The eras follow it, then the coverage: builds that do not know them ignore
/// trailing bytes.
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
                coverage: facts.coverage.name(),
            });
            node.note_coverage(&pull.member, &facts);
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
        reads_coverage: true,
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
    decode_facts(&body, pull.after).map_err(|err| err.to_string())
}

/// Response to a query: the facts after its position. `None` if it is no query.
pub fn answer_pull(replica: &Replica, query: &[u8]) -> Option<Vec<u8>> {
    let query: PullQuery = serde_json::from_slice(query).ok()?;
    let known = replica.positions();
    let after = Position {
        era: query.era.unwrap_or(known.get(query.prefix)?.era),
        revision: query.after,
    };
    let mut facts = replica.since(query.prefix, after);
    if !query.reads_coverage {
        facts = without_unseen_removals(facts, after);
    }
    encode_facts(facts).ok()
}

/// Facts for a build that takes them for all changes after its position. If removals are missing it gets
/// none: without progress it reads the store.
fn without_unseen_removals(facts: Facts, after: Position) -> Facts {
    match facts.coverage {
        Coverage::Listing { .. } if after != Position::default() => Facts {
            at: after,
            ..Facts::default()
        },
        _ => facts,
    }
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
    let bytes = postcard::to_extend(&eras, postcard::to_stdvec(&response)?)?;
    postcard::to_extend(&facts.coverage, bytes)
}

/// Decodes the response to a query for the facts after `after`. Without eras, it is of the era of that
/// position.
///
/// # Errors
///
/// Fails if the bytes are no response.
pub fn decode_facts(bytes: &[u8], after: Position) -> postcard::Result<Facts> {
    let (response, rest): (WireFacts, &[u8]) = postcard::take_from_bytes(bytes)?;
    let (eras, rest): (Option<WireEras>, &[u8]) = match postcard::take_from_bytes(rest) {
        Ok((eras, rest)) => (Some(eras), rest),
        Err(_) => (None, &[]),
    };
    let coverage = match rest {
        // Everything was asked for, so that nothing is left out.
        [] if after == Position::default() => Coverage::Listing {
            unchanged: Vec::new(),
        },
        [] => Coverage::Unknown,
        rest => postcard::from_bytes(rest)?,
    };
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
                era: era_of(index).unwrap_or(after.era),
                revision: fact.revision,
            },
            value: fact.value,
        });
    Ok(Facts {
        facts: facts.collect(),
        at: Position {
            era: eras.as_ref().map_or(after.era, |eras| eras.era),
            revision: response.revision,
        },
        coverage,
    })
}
