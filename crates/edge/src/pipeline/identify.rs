//! Identification of the caller and the route, and admission by the account's rate limit.

use super::{Refusal, RequestContext, RequestMeta};
use crate::{
    crash::Fingerprint,
    dispatch::is_hop_header,
    log::Event,
    model::{allowed_regions, split_service, Account, Config, Route, RouteMatch},
    names::HeaderNames,
    node::{urgency, Node},
    peers::is_peer_header,
    place::{InferenceJob, PromptPart},
};
use bytes::Bytes;
use carobwheel_core::time::Millis;
use hyper::{header::HeaderName, http::request::Parts, HeaderMap, StatusCode};
use std::{rc::Rc, sync::Arc};

/// Deadline of a request whose caller states none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// `Retry-After` of requests that arrive before the first configuration, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;
/// Upper bound of the `Retry-After` of requests over the account's limit, in milliseconds.
const MAX_LIMIT_RETRY_AFTER_MS: u64 = 4_000;

/// Route and account of a request, determined from its head.
#[derive(Clone, Debug)]
pub struct Identified {
    /// Configuration by which the request was identified.
    pub config: Rc<Config>,
    /// Matching route.
    pub route: Rc<Route>,
    /// Account of the key; `None` on routes that need no key.
    pub account: Option<Rc<Account>>,
}

/// Admission of a request: the charged account and the regions that may serve it.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Matching route.
    pub route: Rc<Route>,
    /// Charged account; `None` on routes that need no key.
    pub account: Option<Rc<Account>>,
    /// Regions that may serve the request.
    pub regions: Vec<String>,
    /// Tokens charged to the account.
    pub tokens: u64,
}

/// Determines the route and the account of a request from its head.
///
/// # Errors
///
/// Returns a refusal if no configuration is loaded yet, no route matches, or the key is unknown.
pub fn identify(node: &Node, head: &Parts) -> Result<Identified, Refusal> {
    let Some(config) = node.config() else {
        return Err(Refusal::not_run(
            "no configuration is known yet",
            NO_CONFIG_RETRY_AFTER_MS,
        ));
    };
    let host = header_text(&head.headers, &hyper::header::HOST).unwrap_or_default();
    let key = header_text(&head.headers, &node.names.key);
    match config.find(host, head.uri.path(), key) {
        RouteMatch::Found(route, account) => Ok(Identified {
            config,
            route,
            account,
        }),
        RouteMatch::NoRoute => Err(Refusal::new(StatusCode::NOT_FOUND, "no such route")),
        RouteMatch::NoAccount => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown key")),
    }
}

impl Admission {
    /// Charges the account for a request and determines the regions that may serve it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request exceeds the account's limit.
    pub fn admit(
        node: &Node,
        head: &Parts,
        route: Rc<Route>,
        account: Option<Rc<Account>>,
    ) -> Result<Self, Refusal> {
        let all = node
            .settings
            .regions
            .values()
            .collect::<std::collections::BTreeSet<_>>();
        let all = all.into_iter().map(String::as_str);
        let regions = allowed_regions(all, &route, account.as_deref());
        let regions = regions.into_iter().map(str::to_owned).collect();
        let tokens = account.as_ref().map_or(0, |account| {
            let stated =
                header_text(&head.headers, &node.names.token_use).and_then(parse_token_use);
            stated.map_or(account.plain_tokens, |(prompt, answer)| {
                u64::from(prompt) + u64::from(answer)
            })
        });
        if let Some(account) = &account {
            node.charge(account, tokens).map_err(|wait_ms| Refusal {
                status: StatusCode::TOO_MANY_REQUESTS,
                reason: "over the account's limit",
                retry_after_ms: Some(wait_ms.clamp(100, MAX_LIMIT_RETRY_AFTER_MS)),
            })?;
        }
        Ok(Self {
            route,
            account,
            regions,
            tokens,
        })
    }

    /// Refunds the charge of a request that has not run.
    pub fn refund(&self, node: &Node) {
        if let Some(account) = &self.account {
            node.refund(account, self.tokens);
        }
    }

    /// Account name; empty on routes that need no key.
    pub fn account_name(&self) -> Arc<str> {
        self.account
            .as_ref()
            .map_or_else(|| "".into(), |account| Arc::clone(&account.name))
    }

    /// Builds the context with which the request is sent to an upstream.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the route has no service.
    pub fn context(
        &self,
        node: &Node,
        config: &Config,
        head: Parts,
        body: Bytes,
        started_at: Millis,
    ) -> Result<RequestContext, Refusal> {
        let Some(service) = split_service(&self.route, rand::random()) else {
            return Err(Refusal::not_run(
                "the route has no service",
                NO_CONFIG_RETRY_AFTER_MS,
            ));
        };
        let names = &node.names;
        let stated_ms = header_text(&head.headers, &names.time_left_ms)
            .and_then(|text| text.trim().parse::<f64>().ok())
            .filter(|ms| *ms >= 0.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let stated_ms = stated_ms.map_or(DEFAULT_DEADLINE_MS, |ms| ms as u64);
        let total_ms = stated_ms.min(self.route.timeout_ms);
        let request = header_text(&head.headers, &names.request_id)
            .unwrap_or_default()
            .to_owned();
        let last_event = header_text(&head.headers, &names.last_event_id)
            .and_then(|text| text.trim().parse().ok());
        let first_rank = config.highest_priorities.get(&service).copied();
        let is_yielding = first_rank.is_some_and(|first| self.route.priority > first);
        let job = job(names, &head.headers, is_yielding);
        let meta = RequestMeta {
            request,
            route: Arc::clone(&self.route.name),
            service,
            kind: self.route.kind,
            aim_ms: self.route.aim_ms,
            pause_aim_ms: self.route.pause_aim_ms,
            max_attempts: self.route.max_attempts.max(1),
            account: self.account_name(),
            is_yielding,
            urgency: urgency(&self.route, self.account.as_deref()),
            draw: rand::random(),
            left_ms: total_ms,
            config: config.version,
            origin: Arc::default(),
        };
        node.log.event(Event::Admitted {
            request: &meta.request,
            route: &meta.route,
            account: &meta.account,
            config: config.version,
            tokens: self.tokens,
        });
        let fingerprint = Fingerprint::new(&meta, &head.method, &head.uri, &body);
        Ok(RequestContext {
            fingerprint: Rc::new(fingerprint),
            meta,
            method: head.method,
            uri: head.uri,
            headers: upstream_headers(names, head.headers),
            body,
            job,
            started_at,
            deadline: started_at.plus(total_ms),
            last_event,
        })
    }
}

/// Reads the prompt size and the cacheable prompt parts from the headers.
pub(super) fn job(names: &HeaderNames, headers: &HeaderMap, is_yielding: bool) -> InferenceJob {
    let (prompt_tokens, max_output_tokens) = header_text(headers, &names.token_use)
        .and_then(parse_token_use)
        .unwrap_or_default();
    let parts = header_text(headers, &names.prompt_parts)
        .map(parse_parts)
        .unwrap_or_default();
    InferenceJob {
        parts,
        prompt_tokens,
        max_output_tokens,
        is_yielding,
    }
}

/// The caller's headers, without hop-by-hop headers and those that the gateway sets or withholds.
fn upstream_headers(names: &HeaderNames, headers: HeaderMap) -> HeaderMap {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let is_dropped = |name: &HeaderName| {
        is_hop_header(name)
            || is_peer_header(name)
            || *name == hyper::header::CONTENT_LENGTH
            || *name == hyper::header::EXPECT
            || *name == names.key
            || *name == names.account
            || *name == names.only_upstream
            || *name == names.urgency
            || *name == names.time_left_ms
            || names.gateway_only.contains(name)
            || connection_headers.contains(name)
    };
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in &headers {
        if !is_dropped(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Value of a header as text.
pub(super) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses `prompt,answer` token counts.
fn parse_token_use(text: &str) -> Option<(u32, u32)> {
    let (prompt, answer) = text.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}

/// Parses comma-separated `id:tokens` entries, with the id in hexadecimal; stops at the first
/// malformed one.
fn parse_parts(text: &str) -> Vec<PromptPart> {
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        let id = u64::from_str_radix(id, 16).ok()?;
        Some(PromptPart {
            id,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').map_while(part).collect()
}
