//! Rocket handler for callers, with the endpoints that need no upstream, and the error catcher.

use super::{
    answer::{Answer, AnswerBody},
    head, pipeline, IntakeState,
};
use crate::{
    refusal::{Cause, Execution, Refusal},
    report::Trace,
};
use carobwheel_core::{id::RequestId, identity::Caller};
use rocket::{
    catcher::{self, BoxFuture},
    http::{Method, Status},
    route::{Handler, Outcome},
    Catcher, Data, Request, Route,
};
use std::sync::{atomic::Ordering, Arc};

const METHODS: [Method; 7] = [
    Method::Get,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Head,
    Method::Options,
];

/// Returns the routes for callers: every path and method is served by one handler.
pub(super) fn routes(shared: &Arc<IntakeState>) -> Vec<Route> {
    let route = |method| Route::new(method, "/<path..>", CallerHandler(Arc::clone(shared)));
    METHODS.into_iter().map(route).collect()
}

/// Returns the catcher for requests that Rocket itself rejects.
pub(super) fn catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, catch_error)]
}

fn catch_error<'r>(status: Status, _request: &'r Request<'_>) -> BoxFuture<'r> {
    let cause = match status.code {
        404 => Cause::NotFound,
        405 => Cause::MethodNotAllowed,
        408 => Cause::BodyTimeout,
        413 => Cause::TooLarge,
        _ => Cause::InvalidRequest,
    };
    let refusal = Refusal::not_run(cause, status.reason_lossy());
    let answer = Answer::refusal(&refusal);
    let response = answer.into_response(&placeholder_request_id(), true);
    Box::pin(async move { catcher::Result::Ok(response) })
}

// Requests that Rocket rejects get no identifier of their own.
fn placeholder_request_id() -> RequestId {
    "unnamed".parse().expect("a constant identifier is valid")
}

#[derive(Clone)]
struct CallerHandler(Arc<IntakeState>);

#[rocket::async_trait]
impl Handler for CallerHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let shared = &self.0;
        let request_id = shared.next_request_id();
        let trace = Trace::begin(shared.clock, shared.report.clone());
        let answer = answer(shared, &request_id, request, &trace)
            .await
            .unwrap_or_else(|refusal| {
                trace.record_refusal(refusal.cause);
                log::debug!(request = request_id.as_str(); "refused: {refusal}");
                Answer::refusal(&refusal)
            });
        let close = shared.is_leaving.load(Ordering::Relaxed);
        Outcome::Success(answer.into_response(&request_id, close))
    }
}

async fn answer(
    shared: &Arc<IntakeState>,
    request_id: &RequestId,
    request: &Request<'_>,
    trace: &Trace,
) -> Result<Answer, Refusal> {
    let head = head::read(request)?;
    match (head.method, head.path.as_str()) {
        (Method::Get | Method::Head, "/healthz") => Ok(plain_text(200, "ok")),
        (Method::Get | Method::Head, "/readyz") => Ok(readiness(shared)),
        (Method::Get, "/v1/entry") => entry_points(shared, head.key.as_deref()),
        (Method::Get, "/v1/models") => models(shared, head.key.as_deref()),
        _ => {
            let running = shared
                .in_flight
                .begin(trace.clone())
                .ok_or_else(too_many_requests)?;
            pipeline::handle(shared, request_id, request, head, running).await
        }
    }
}

fn too_many_requests() -> Refusal {
    let message = "too many requests in flight on this instance";
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}

fn plain_text(status: u16, text: &'static str) -> Answer {
    Answer {
        status,
        headers: vec![("content-type", "text/plain".to_owned())],
        run: Execution::NotRun,
        body: AnswerBody::Buffered(text.into()),
    }
}

fn readiness(shared: &IntakeState) -> Answer {
    if shared.is_leaving.load(Ordering::Relaxed) {
        return plain_text(503, "leaving");
    }
    if shared.current.load().is_none() {
        return plain_text(503, "no configuration yet");
    }
    if !shared.is_ready.load(Ordering::Relaxed) {
        return plain_text(503, "joining the fleet");
    }
    plain_text(200, "ready")
}

fn entry_points(shared: &IntakeState, key: Option<&str>) -> Result<Answer, Refusal> {
    let list = shared.entries.load();
    let Some(in_force) = shared.current.load().filter(|_| key.is_some()) else {
        return Ok(Answer::json(
            200,
            Execution::NotRun,
            &serde_json::json!(*list),
        ));
    };
    let caller = pipeline::identify(&in_force, key, false)?;
    let account = match &caller {
        Caller::Account(credential) => in_force.document.account(&credential.account),
        Caller::Open => None,
    };
    let list = account.map_or_else(|| (*list).clone(), |account| list.for_account(account));
    Ok(Answer::json(
        200,
        Execution::NotRun,
        &serde_json::json!(list),
    ))
}

fn models(shared: &IntakeState, key: Option<&str>) -> Result<Answer, Refusal> {
    let in_force = pipeline::in_force(shared)?;
    pipeline::identify(&in_force, key, false)?;
    let models: Vec<serde_json::Value> = in_force
        .document
        .models
        .iter()
        .map(|model| {
            serde_json::json!({
                "id": model.id, "object": "model", "created": 0, "owned_by": "carobwheel",
            })
        })
        .collect();
    let body = serde_json::json!({"object": "list", "data": models});
    Ok(Answer::json(200, Execution::NotRun, &body))
}

impl IntakeState {
    fn next_request_id(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{:x}-{number:x}", self.instance, self.incarnation);
        name.parse().unwrap_or_else(|_| placeholder_request_id())
    }
}
