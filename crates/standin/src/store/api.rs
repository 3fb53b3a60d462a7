//! HTTP endpoints of the store.

use super::{state::CallError, watch, Availability, Shared};
use crate::http::{ConnectionState, Request, Responder};
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

// gRPC status codes of the etcd API, each with the HTTP status that it maps to.
const INVALID_ARGUMENT: (i32, u16) = (3, 400);
const NOT_FOUND: (i32, u16) = (5, 404);
const OUT_OF_RANGE: (i32, u16) = (11, 400);
const UNIMPLEMENTED: (i32, u16) = (12, 501);
const UNAVAILABLE: (i32, u16) = (14, 503);

/// Error answer to a call.
pub(super) struct ErrorReply {
    code: (i32, u16),
    message: String,
}

impl ErrorReply {
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

impl From<CallError> for ErrorReply {
    fn from(error: CallError) -> Self {
        let (code, message) = match error {
            CallError::ValueTooLarge => (INVALID_ARGUMENT, "request is too large"),
            CallError::Compacted => (OUT_OF_RANGE, "required revision has been compacted"),
            CallError::FutureRevision => (OUT_OF_RANGE, "required revision is a future revision"),
            CallError::LeaseNotFound => (NOT_FOUND, "requested lease not found"),
        };
        Self::new(code, format!("etcdserver: {message}"))
    }
}

/// Answers one call, subject to the active faults.
pub(super) async fn answer(
    shared: Arc<Shared>,
    request: Request,
    responder: Responder,
) -> ConnectionState {
    let is_read = matches!(request.path(), RANGE_PATH | WATCH_PATH);
    count_call(&shared, request.path(), is_read);
    let faults = shared.faults();
    match faults.availability {
        Availability::Up => {}
        Availability::Refusing => return ConnectionState::Closed,
        Availability::Unavailable => {
            let reply = ErrorReply::new(UNAVAILABLE, "etcdserver: no leader");
            return send_error(responder, reply).await;
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
    shared.expire_and_notify();
    if request.path() == WATCH_PATH {
        return match parse::<WatchRequest>(&request) {
            Ok(call) => watch::answer(&shared, call.create_request, responder).await,
            Err(reply) => send_error(responder, reply).await,
        };
    }
    let result = run(&shared, &request);
    shared.expire_and_notify();
    match result {
        Ok(_) if !is_read && shared.loses_answer() => ConnectionState::Closed,
        Ok(body) => responder.send_body(200, "application/json", &body).await,
        Err(reply) => send_error(responder, reply).await,
    }
}

fn count_call(shared: &Shared, path: &str, is_read: bool) {
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

async fn send_error(responder: Responder, reply: ErrorReply) -> ConnectionState {
    let status = reply.code.1;
    responder.send_json(status, &reply.body()).await
}

fn run(shared: &Shared, request: &Request) -> Result<Vec<u8>, ErrorReply> {
    let now = shared.clock.now();
    let mut state = shared.state();
    match request.path() {
        RANGE_PATH => encode(&state.range(&parse::<RangeRequest>(request)?)?),
        PUT_PATH => encode(&state.put(&parse::<PutRequest>(request)?)?),
        DELETE_RANGE_PATH => encode(&state.delete(&parse::<DeleteRangeRequest>(request)?)),
        TXN_PATH => encode(&state.txn(&parse::<TxnRequest>(request)?)?),
        LEASE_GRANT_PATH => {
            let call = parse::<LeaseGrantRequest>(request)?;
            let id = state.grant_lease(call.id, call.ttl_s, now);
            encode(&LeaseGrantResponse {
                header: state.header(),
                id,
                ttl_s: call.ttl_s,
            })
        }
        LEASE_KEEP_ALIVE_PATH => {
            let id = parse::<LeaseKeepAliveRequest>(request)?.id;
            let ttl_s = state.renew_lease(id, now);
            let header = state.header();
            encode(&StreamItem::Result(LeaseKeepAliveResponse {
                header,
                id,
                ttl_s,
            }))
        }
        LEASE_REVOKE_PATH => {
            state.revoke_lease(parse::<LeaseRevokeRequest>(request)?.id)?;
            encode(&LeaseRevokeResponse {
                header: state.header(),
            })
        }
        path => Err(ErrorReply::new(UNIMPLEMENTED, format!("no call at {path}"))),
    }
}

fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, ErrorReply> {
    serde_json::from_slice(&request.body)
        .map_err(|err| ErrorReply::new(INVALID_ARGUMENT, err.to_string()))
}

fn encode(answer: &impl Serialize) -> Result<Vec<u8>, ErrorReply> {
    let mut body = serde_json::to_vec(answer)
        .map_err(|err| ErrorReply::new(INVALID_ARGUMENT, err.to_string()))?;
    body.push(b'\n');
    Ok(body)
}
