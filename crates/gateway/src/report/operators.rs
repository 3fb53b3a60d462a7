//! HTTP server on the operators' address, with `GET /status`.

use super::StatusBoard;
use crate::{
    caller_memory::CallerMemory,
    front::{self, ConnectionLimits, DropReason, Server},
    in_flight::InFlight,
    intake,
    settings::{Identity, Settings},
};
use rocket::{get, http::ContentType, response::content::RawJson, routes, State};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

const SERVER_THREADS: usize = 1;

struct StatusPage {
    identity: Identity,
    board: StatusBoard,
    in_flight: Arc<InFlight>,
    memory: Arc<CallerMemory>,
}

/// Starts the HTTP server for operators.
///
/// # Errors
///
/// Fails if the address cannot be bound or the thread cannot be started.
pub fn start(
    settings: &Settings,
    address: SocketAddr,
    board: StatusBoard,
    in_flight: Arc<InFlight>,
    memory: Arc<CallerMemory>,
) -> anyhow::Result<Server> {
    let page = StatusPage {
        identity: settings.instance.clone(),
        board,
        in_flight,
        memory: Arc::clone(&memory),
    };
    let limits = ConnectionLimits::for_operators(settings);
    let drops = Arc::clone(memory.drops());
    let rocket = rocket::custom(intake::config(SERVER_THREADS))
        .manage(page)
        .mount("/", routes![status]);
    front::launch("operators", rocket, address, SERVER_THREADS, limits, drops)
}

#[get("/status")]
fn status(page: &State<StatusPage>) -> (ContentType, RawJson<String>) {
    let status = serde_json::json!({
        "instance": page.identity,
        "requests_in_flight": page.in_flight.count(),
        "caller_limits": caller_limits(&page.memory),
        "decisions": **page.board.decisions.load(),
        "requests": **page.board.requests.load(),
    });
    (ContentType::JSON, RawJson(status.to_string()))
}

/// Returns the memory for callers by use, and what was dropped by reason.
fn caller_limits(memory: &CallerMemory) -> serde_json::Value {
    let used: BTreeMap<_, _> = memory
        .used_bytes()
        .into_iter()
        .map(|(used_for, bytes)| (used_for.label(), bytes))
        .collect();
    let dropped: BTreeMap<_, _> = DropReason::ALL
        .into_iter()
        .map(|reason| (reason.label(), memory.drops().get(reason)))
        .collect();
    serde_json::json!({
        "memory_limit_bytes": memory.limit_bytes(),
        "memory_bytes": used,
        "dropped": dropped,
    })
}
