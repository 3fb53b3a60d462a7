//! HTTP server on the operators' address, with `GET /status`.

use super::StatusBoard;
use crate::{
    in_flight::InFlight,
    intake::{self, Server},
    settings::{Identity, Settings},
};
use rocket::{get, http::ContentType, response::content::RawJson, routes, State};
use std::{net::SocketAddr, sync::Arc};

const SERVER_THREADS: usize = 1;

struct StatusPage {
    identity: Identity,
    board: StatusBoard,
    in_flight: Arc<InFlight>,
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
) -> anyhow::Result<Server> {
    let page = StatusPage {
        identity: settings.instance.clone(),
        board,
        in_flight,
    };
    let rocket = rocket::custom(intake::config(address, SERVER_THREADS))
        .manage(page)
        .mount("/", routes![status]);
    intake::launch("operators", rocket, address, SERVER_THREADS)
}

#[get("/status")]
fn status(page: &State<StatusPage>) -> (ContentType, RawJson<String>) {
    let status = serde_json::json!({
        "instance": page.identity,
        "requests_in_flight": page.in_flight.count(),
        "decisions": **page.board.decisions.load(),
        "requests": **page.board.requests.load(),
    });
    (ContentType::JSON, RawJson(status.to_string()))
}
