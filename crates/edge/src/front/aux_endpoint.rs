//! Auxiliary endpoints: readiness checks, the directory of instances, and metrics.

use super::listing::{listed_addresses, ListedInstance};
use crate::{
    node::Node,
    pipeline::{explain, Answer, PlaceQuery},
    relay::AnswerBody,
};
use http_body::Body;
use http_body_util::{BodyExt as _, Limited};
use hyper::{header, Method, Request, Response, StatusCode};
use std::{
    collections::BTreeMap, error::Error, fmt::Write as _, net::SocketAddr, rc::Rc, time::Duration,
};
use tokio::time::timeout;

/// Upper bound of the lifetime of a directory response, in seconds.
const DIRECTORY_TTL_S: f64 = 2.0;
/// Maximum number of addresses in a directory response.
const MAX_ADDRESSES: usize = 64;

/// Path on the metrics address that explains where a request would be sent.
const PLACE_PATH: &str = "/place";
/// Maximum size of the description of a request, in bytes.
const MAX_QUERY_BYTES: usize = 64 * 1024;
/// Timeout for the description of a request.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Query to the directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Host that the caller wants to reach.
    pub host: String,
    /// Region of the caller.
    pub region: String,
    /// Data centre of the caller.
    pub data_centre: String,
}

/// Paths and encoding of the auxiliary endpoints in a deployment.
#[derive(Clone, Copy, Debug)]
pub struct AuxInterface {
    /// Path of readiness checks.
    pub ready_path: &'static str,
    /// Path of the directory.
    pub directory_path: &'static str,
    /// Decodes the query string of a directory request.
    pub decode_query: fn(&str) -> DirectoryQuery,
    /// Encodes a directory response: addresses and lifetime in seconds.
    pub encode_answer: fn(&[SocketAddr], f64) -> Vec<u8>,
}

/// Auxiliary endpoint.
#[derive(Clone, Copy, Debug)]
pub enum AuxEndpoint {
    /// Readiness checks.
    Ready,
    /// Directory of instances.
    Directory,
    /// Metrics.
    Metrics,
}

impl AuxEndpoint {
    /// Responds to a request, and reads its body if it describes another one.
    pub async fn respond<B>(
        self,
        node: &Rc<Node>,
        interface: &AuxInterface,
        request: Request<B>,
    ) -> Answer
    where
        B: Body,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let is_place = matches!(self, Self::Metrics) && request.uri().path() == PLACE_PATH;
        if !is_place {
            return self.answer(node, interface, &request);
        }
        if request.method() != Method::POST {
            return status(StatusCode::METHOD_NOT_ALLOWED);
        }
        let body = Limited::new(request.into_body(), MAX_QUERY_BYTES).collect();
        match timeout(QUERY_TIMEOUT, body).await {
            Ok(Ok(body)) => place(node, &body.to_bytes()),
            Ok(Err(_)) => status(StatusCode::PAYLOAD_TOO_LARGE),
            Err(_) => status(StatusCode::REQUEST_TIMEOUT),
        }
    }

    /// Responds to a request.
    pub fn answer<B>(
        self,
        node: &Rc<Node>,
        interface: &AuxInterface,
        request: &Request<B>,
    ) -> Answer {
        let path = request.uri().path();
        match self {
            Self::Ready if path == interface.ready_path => {
                let is_ready = node.is_ready();
                status(if is_ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                })
            }
            Self::Directory if path == interface.directory_path => {
                let query = request.uri().query().unwrap_or_default();
                directory(node, interface, &(interface.decode_query)(query))
            }
            Self::Metrics => Response::new(AnswerBody::whole(metrics(node))),
            Self::Ready | Self::Directory => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Response with a status and an empty body.
fn status(status: StatusCode) -> Answer {
    let mut response = Response::new(AnswerBody::whole(Vec::new()));
    *response.status_mut() = status;
    response
}

/// Explanation of where the described request would be sent.
fn place(node: &Rc<Node>, description: &[u8]) -> Answer {
    let Ok(query) = serde_json::from_slice::<PlaceQuery>(description) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let explanation = serde_json::to_vec(&explain(node, &query)).unwrap_or_default();
    json(explanation)
}

/// Response with a JSON body.
fn json(body: Vec<u8>) -> Answer {
    let mut response = Response::new(AnswerBody::whole(body));
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Addresses of the ready instances in the caller's region, or in other regions if it has none.
fn directory(
    node: &Rc<Node>,
    interface: &AuxInterface,
    directory_query: &DirectoryQuery,
) -> Answer {
    let now = node.now();
    let mut by_region: BTreeMap<String, Vec<ListedInstance>> = BTreeMap::new();
    let state = node.state.borrow();
    let reachable = state
        .members
        .by_name
        .values()
        .filter(|member| state.members.is_up(member, now));
    for member in reachable {
        let instances = by_region
            .entry(member.entry.region.to_string())
            .or_default();
        instances.push(ListedInstance {
            address: member.entry.callers,
            is_cut_off: !member.cut_off.is_empty(),
        });
    }
    let is_cut_off = !state.cut_off.is_empty();
    drop(state);
    if node.is_ready() {
        let own = by_region.entry(node.region.to_string()).or_default();
        own.push(ListedInstance {
            address: node.settings.listen.callers,
            is_cut_off,
        });
    }
    let mut by_region: BTreeMap<String, Vec<SocketAddr>> = by_region
        .into_iter()
        .map(|(region, instances)| (region, listed_addresses(&instances)))
        .collect();
    let mut addresses = match by_region.remove(&directory_query.region) {
        Some(addresses) => addresses,
        None => in_other_regions(node, by_region, &directory_query.host),
    };
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_s = DIRECTORY_TTL_S.min(node.settings.bounds.directory_ttl_s);
    json((interface.encode_answer)(&addresses, ttl_s))
}

/// Addresses in the regions that may serve the most routes of the host. Callers directed to any
/// other region would send requests that no instance there may serve.
fn in_other_regions(
    node: &Node,
    by_region: BTreeMap<String, Vec<SocketAddr>>,
    host: &str,
) -> Vec<SocketAddr> {
    let config = node.config().unwrap_or_default();
    let served = |region: &String| config.routes_at_home(region, host);
    let all = node.settings.regions.values();
    let most = all.map(served).max().unwrap_or_default();
    let addresses = by_region
        .into_iter()
        .filter(|(region, _)| served(region) == most);
    addresses.flat_map(|(_, addresses)| addresses).collect()
}

/// Metrics in the text format of Prometheus.
fn metrics(node: &Rc<Node>) -> String {
    let now = node.now();
    let state = node.state.borrow();
    let fleet = state.members.fleet(now);
    let usable = state
        .upstreams
        .by_id
        .values()
        .filter(|upstream| upstream.health.is_usable(now))
        .count();
    let limited = state
        .upstreams
        .by_id
        .values()
        .filter(|upstream| upstream.limit.rate(now).is_some())
        .count();
    let brittle = state
        .upstreams
        .by_id
        .values()
        .filter(|upstream| upstream.brittle.max_rejections_per_s(now).is_some())
        .count();
    let leaving = state
        .upstreams
        .by_id
        .values()
        .filter(|upstream| upstream.leaving_at.is_some())
        .count();
    let members = state.members.by_name.values();
    let cut_off = members.filter(|member| !member.cut_off.is_empty()).count();
    let lost_ms = state.store_lost_at.map_or(0, |at| now.since(at));
    let (dialled, accepted) = node.links.counts();
    let gauges = [
        ("carobwheel_links_dialled", dialled as u64),
        ("carobwheel_links_accepted", accepted as u64),
        (
            "carobwheel_is_delegate",
            u64::from(state.topology.is_delegate),
        ),
        ("carobwheel_instances_cut_off", cut_off as u64),
        ("carobwheel_in_flight", node.in_flight.get() as u64),
        ("carobwheel_instances", fleet.instances as u64),
        ("carobwheel_instances_heard", fleet.reachable as u64),
        ("carobwheel_upstreams", state.upstreams.by_id.len() as u64),
        ("carobwheel_upstreams_usable", usable as u64),
        ("carobwheel_upstreams_limited", limited as u64),
        ("carobwheel_upstreams_brittle", brittle as u64),
        ("carobwheel_upstreams_leaving", leaving as u64),
        ("carobwheel_store_lost_ms", lost_ms),
        ("carobwheel_store_era", state.store_era.unwrap_or_default()),
        (
            "carobwheel_log_lines_left_out_total",
            node.log.dropped_lines(),
        ),
        (
            "carobwheel_crash_decisions_total",
            state.crashes.decision_count() + state.request_crashes.decision_count(),
        ),
        (
            "carobwheel_prompt_parts_held",
            state.crashes.held_count() as u64,
        ),
        (
            "carobwheel_prompt_parts_suspected",
            state.crashes.suspect_count() as u64,
        ),
        (
            "carobwheel_requests_held",
            state.request_crashes.held_count() as u64,
        ),
        (
            "carobwheel_requests_suspected",
            state.request_crashes.suspect_count() as u64,
        ),
        (
            "carobwheel_memory_limit_bytes",
            node.memory.limit_bytes() as u64,
        ),
        (
            "carobwheel_ready",
            u64::from(state.config.is_some() && state.leaving_at.is_none()),
        ),
    ];
    let mut text = node.metrics.text(&gauges);
    for (used_for, bytes) in node.memory.used_bytes() {
        let label = used_for.label();
        let _ = writeln!(text, "carobwheel_memory_bytes{{use=\"{label}\"}} {bytes}");
    }
    for (endpoint, count) in node.metrics.connections() {
        let _ = writeln!(
            text,
            "carobwheel_connections{{endpoint=\"{endpoint}\"}} {count}"
        );
    }
    text
}
