//! Rocket's side of the intake: routes, catchers and the answers that need no upstream.

use super::{
    answer::{Answer, AnswerBody},
    head, pass, Shared,
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

/// Routes for callers: every path and method leads to one handler.
pub(super) fn routes(shared: &Arc<Shared>) -> Vec<Route> {
    let route = |method| Route::new(method, "/<path..>", Intake(Arc::clone(shared)));
    METHODS.into_iter().map(route).collect()
}

/// Catchers for what Rocket refuses by itself.
pub(super) fn catchers() -> Vec<Catcher> {
    vec![Catcher::new(None, caught)]
}

fn caught<'r>(status: Status, _request: &'r Request<'_>) -> BoxFuture<'r> {
    let cause = match status.code {
        404 => Cause::NotFound,
        405 => Cause::MethodNotAllowed,
        408 => Cause::BodyTimeout,
        413 => Cause::TooLarge,
        _ => Cause::InvalidRequest,
    };
    let refusal = Refusal::not_run(cause, status.reason_lossy());
    let answer = Answer::refusal(&refusal);
    let response = answer.into_response(&unnamed_request(), true);
    Box::pin(async move { catcher::Result::Ok(response) })
}

// A request that Rocket refuses has not been given a name.
fn unnamed_request() -> RequestId {
    "unnamed".parse().expect("a constant identifier is valid")
}

#[derive(Clone)]
struct Intake(Arc<Shared>);

#[rocket::async_trait]
impl Handler for Intake {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let shared = &self.0;
        let request_id = shared.next_request_id();
        let trace = Trace::begin(shared.clock, shared.report.clone());
        let answer = answer(shared, &request_id, request, data, &trace)
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
    shared: &Arc<Shared>,
    request_id: &RequestId,
    request: &Request<'_>,
    data: Data<'_>,
    trace: &Trace,
) -> Result<Answer, Refusal> {
    let head = head::read(request)?;
    match (head.method, head.path.as_str()) {
        (Method::Get | Method::Head, "/healthz") => Ok(plain(200, "ok")),
        (Method::Get | Method::Head, "/readyz") => Ok(ready(shared)),
        (Method::Get, "/v1/entry") => entry(shared, head.key.as_deref()),
        (Method::Get, "/v1/models") => models(shared, head.key.as_deref()),
        _ => {
            let running = shared.in_flight.begin(trace.clone()).ok_or_else(too_many)?;
            pass::relay(shared, request_id, request, head, data, running).await
        }
    }
}

fn too_many() -> Refusal {
    let message = "too many requests in flight on this instance";
    Refusal::not_run(Cause::Overloaded, message).retry_after(1_000)
}

fn plain(status: u16, text: &'static str) -> Answer {
    Answer {
        status,
        headers: vec![("content-type", "text/plain".to_owned())],
        run: Execution::NotRun,
        body: AnswerBody::Whole(text.into()),
    }
}

fn ready(shared: &Shared) -> Answer {
    if shared.is_leaving.load(Ordering::Relaxed) {
        return plain(503, "leaving");
    }
    if shared.current.load().is_none() {
        return plain(503, "no configuration yet");
    }
    if !shared.is_ready.load(Ordering::Relaxed) {
        return plain(503, "joining the fleet");
    }
    plain(200, "ready")
}

fn entry(shared: &Shared, key: Option<&str>) -> Result<Answer, Refusal> {
    let list = shared.entries.load();
    let Some(in_force) = shared.current.load().filter(|_| key.is_some()) else {
        return Ok(Answer::json(
            200,
            Execution::NotRun,
            &serde_json::json!(*list),
        ));
    };
    let caller = pass::identify(&in_force, key, false)?;
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

fn models(shared: &Shared, key: Option<&str>) -> Result<Answer, Refusal> {
    let in_force = pass::in_force(shared)?;
    pass::identify(&in_force, key, false)?;
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

impl Shared {
    fn next_request_id(&self) -> RequestId {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let name = format!("{}-{:x}-{number:x}", self.instance, self.incarnation);
        name.parse().unwrap_or_else(|_| unnamed_request())
    }
}
