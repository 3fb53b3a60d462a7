//! Answering calls.

use super::{state::Refusal, watch, Availability, Shared};
use crate::http::{Ending, Request, Responder};
use crate::lock;
use carobwheel_wire::etcd::{
    DeleteRangeRequest, ErrorBody, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
    LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, PutRequest, RangeRequest,
    StreamItem, TxnRequest, WatchRequest, DELETE_RANGE_PATH, LEASE_GRANT_PATH,
    LEASE_KEEP_ALIVE_PATH, LEASE_REVOKE_PATH, PUT_PATH, RANGE_PATH, TXN_PATH, WATCH_PATH,
};
use serde::{de::DeserializeOwned, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// gRPC status codes of the interface, with the HTTP status that each maps to.
const INVALID_ARGUMENT: (i32, u16) = (3, 400);
const NOT_FOUND: (i32, u16) = (5, 404);
const OUT_OF_RANGE: (i32, u16) = (11, 400);
const UNIMPLEMENTED: (i32, u16) = (12, 501);
const UNAVAILABLE: (i32, u16) = (14, 503);

/// A failed call.
pub(super) struct Failure {
    code: (i32, u16),
    message: String,
}

impl Failure {
    fn new(code: (i32, u16), message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }

    fn body(self) -> ErrorBody {
        ErrorBody {
            message: self.message,
            code: self.code.0,
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        let (code, message) = match refusal {
            Refusal::ValueTooLarge => (INVALID_ARGUMENT, "request is too large"),
            Refusal::Compacted => (OUT_OF_RANGE, "required revision has been compacted"),
            Refusal::FutureRevision => (OUT_OF_RANGE, "required revision is a future revision"),
            Refusal::LeaseNotFound => (NOT_FOUND, "requested lease not found"),
        };
        Self::new(code, format!("etcdserver: {message}"))
    }
}

/// Answers one call, with the faults in force.
pub(super) async fn answer(shared: Arc<Shared>, request: Request, responder: Responder) -> Ending {
    let is_read = matches!(request.path(), RANGE_PATH | WATCH_PATH);
    count(&shared, request.path(), is_read);
    let faults = shared.faults();
    match faults.availability {
        Availability::Up => {}
        Availability::Refusing => return Ending::Closed,
        Availability::Unavailable => {
            let failure = Failure::new(UNAVAILABLE, "etcdserver: no leader");
            return fail(responder, failure).await;
        }
        Availability::Hanging => return futures::future::pending().await,
    }
    let delay_ms = if is_read {
        faults.read_delay_ms
    } else {
        faults.write_delay_ms
    };
    if delay_ms > 0 {
        sleep(Duration::from_millis(delay_ms)).await;
    }
    shared.settle();
    if request.path() == WATCH_PATH {
        return match parse::<WatchRequest>(&request) {
            Ok(wanted) => watch::answer(&shared, wanted.create_request, responder).await,
            Err(failure) => fail(responder, failure).await,
        };
    }
    let result = run(&shared, &request);
    shared.settle();
    match result {
        Ok(_) if !is_read && shared.loses_answer() => Ending::Closed,
        Ok(body) => responder.whole(200, "application/json", &body).await,
        Err(failure) => fail(responder, failure).await,
    }
}

fn count(shared: &Shared, path: &str, is_read: bool) {
    let mut counts = lock(&shared.counts);
    let now = shared.clock.now();
    if is_read {
        counts.count_read(now);
    } else {
        counts.count_write(now);
    }
    match path {
        RANGE_PATH => counts.ranges += 1,
        WATCH_PATH => counts.watches += 1,
        LEASE_GRANT_PATH | LEASE_KEEP_ALIVE_PATH | LEASE_REVOKE_PATH => counts.leases += 1,
        _ => counts.writes += 1,
    }
}

async fn fail(responder: Responder, failure: Failure) -> Ending {
    let status = failure.code.1;
    responder.json(status, &failure.body()).await
}

fn run(shared: &Shared, request: &Request) -> Result<Vec<u8>, Failure> {
    let now = shared.clock.now();
    let mut state = shared.state();
    match request.path() {
        RANGE_PATH => body(&state.range(&parse::<RangeRequest>(request)?)?),
        PUT_PATH => body(&state.put(&parse::<PutRequest>(request)?)?),
        DELETE_RANGE_PATH => body(&state.delete(&parse::<DeleteRangeRequest>(request)?)),
        TXN_PATH => body(&state.txn(&parse::<TxnRequest>(request)?)?),
        LEASE_GRANT_PATH => {
            let wanted = parse::<LeaseGrantRequest>(request)?;
            let id = state.grant(wanted.id, wanted.ttl_s, now);
            body(&LeaseGrantResponse {
                header: state.header(),
                id,
                ttl_s: wanted.ttl_s,
            })
        }
        LEASE_KEEP_ALIVE_PATH => {
            let id = parse::<LeaseKeepAliveRequest>(request)?.id;
            let ttl_s = state.keep_alive(id, now);
            let header = state.header();
            body(&StreamItem::Result(LeaseKeepAliveResponse {
                header,
                id,
                ttl_s,
            }))
        }
        LEASE_REVOKE_PATH => {
            state.revoke(parse::<LeaseRevokeRequest>(request)?.id)?;
            body(&LeaseRevokeResponse {
                header: state.header(),
            })
        }
        path => Err(Failure::new(UNIMPLEMENTED, format!("no call at {path}"))),
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, Failure> {
    serde_json::from_slice(&request.body)
        .map_err(|err| Failure::new(INVALID_ARGUMENT, err.to_string()))
}

fn body(answer: &impl Serialize) -> Result<Vec<u8>, Failure> {
    let mut body = serde_json::to_vec(answer)
        .map_err(|err| Failure::new(INVALID_ARGUMENT, err.to_string()))?;
    body.push(b'\n');
    Ok(body)
}
