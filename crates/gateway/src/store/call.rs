//! One call and its attempts.

use super::{lock, CallKind, StoreClient, StoreError};
use carobwheel_wire::etcd::ErrorBody;
use reqwest::{redirect::Policy, Client, Response};
use serde::{de::DeserializeOwned, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Idle connections kept for the next call.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Time after which an idle connection is no longer used.
const MAX_IDLE: Duration = Duration::from_secs(20);

/// Builds an HTTP client that leaves every decision about repeating and redirecting to us.
pub(super) fn build_client(is_pooling: bool) -> Result<Client, StoreError> {
    // An error means that a provider is in place already.
    let _ = rustls::crypto::ring::default_provider().install_default();
    Client::builder()
        .no_proxy()
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .pool_idle_timeout(MAX_IDLE)
        .pool_max_idle_per_host(if is_pooling { MAX_IDLE_CONNECTIONS } else { 0 })
        .build()
        .map_err(|err| StoreError::Setup(err.to_string()))
}

/// Which connection an attempt goes out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connection {
    /// One that may have been used before.
    Pooled,
    /// One of its own, from a new local port.
    Fresh,
}

impl StoreClient {
    /// Waits for the place of one call in the budget.
    pub(super) async fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        let deadline_ms = self.inner.options.budget_timeout_ms;
        let start = self.inner.clock.now();
        loop {
            let now = self.inner.clock.now();
            let taken = lock(&self.inner.budget).take(kind, now);
            let Err(retry_after_ms) = taken else {
                break;
            };
            if now.since(start) + retry_after_ms > deadline_ms {
                return Err(StoreError::OverBudget { retry_after_ms });
            }
            sleep(Duration::from_millis(retry_after_ms)).await;
        }
        let now = self.inner.clock.now();
        lock(&self.inner.backoff)
            .admit(now)
            .map_err(|retry_after_ms| StoreError::BackingOff { retry_after_ms })
    }

    /// Counts a call that is made in any case.
    pub(super) fn charge(&self, kind: CallKind) {
        lock(&self.inner.budget).charge(kind, self.inner.clock.now());
    }

    /// Makes one attempt of a call and notes how the store fared.
    pub(super) async fn attempt<A: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        connection: Connection,
    ) -> Result<A, StoreError> {
        let deadline_ms = self.inner.options.attempt_timeout_ms;
        let exchange = async {
            let response = self.send(path, request, connection).await?;
            let body = response.bytes().await.map_err(broken)?;
            serde_json::from_slice(&body).map_err(|err| StoreError::Malformed(err.to_string()))
        };
        let result = timeout(Duration::from_millis(deadline_ms), exchange)
            .await
            .unwrap_or(Err(StoreError::Timeout(deadline_ms)));
        self.note(result.as_ref().err());
        if matches!(result, Err(StoreError::Timeout(_))) && connection == Connection::Pooled {
            self.forget_idle_connections();
        }
        result
    }

    /// Makes a call that may be repeated without harm: a second attempt goes out on a connection
    /// of its own.
    pub(super) async fn call<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        request: &impl Serialize,
    ) -> Result<A, StoreError> {
        self.admit(kind).await?;
        let first = self.attempt(path, request, Connection::Pooled).await;
        match first {
            Err(err) if err.is_worth_another_attempt() => {
                self.charge(kind);
                self.attempt(path, request, Connection::Fresh).await
            }
            first => first,
        }
    }

    /// Sends a request and waits for the head of a successful answer.
    pub(super) async fn send(
        &self,
        path: &str,
        request: &impl Serialize,
        connection: Connection,
    ) -> Result<Response, StoreError> {
        let body =
            serde_json::to_vec(request).map_err(|err| StoreError::Malformed(err.to_string()))?;
        let client = match connection {
            Connection::Pooled => Client::clone(&self.inner.pooled.load()),
            Connection::Fresh => self.inner.fresh.clone(),
        };
        let response = client
            .post(format!("{}{path}", self.inner.options.url))
            .header(reqwest::header::CONTENT_TYPE, "application/json")
            .body(body)
            .send()
            .await
            .map_err(|err| match err.is_connect() {
                true => StoreError::Connect(root_cause(&err)),
                false => StoreError::Broken(root_cause(&err)),
            })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(failure(response).await)
    }

    /// Notes the result of an attempt for the pauses between calls.
    pub(super) fn note(&self, error: Option<&StoreError>) {
        let now = self.inner.clock.now();
        let jitter = self.jitter();
        let mut backoff = lock(&self.inner.backoff);
        match error {
            Some(err) if err.is_worth_another_attempt() => backoff.record_failure(now, jitter),
            _ => backoff.record_success(),
        }
        let is_open = backoff.is_open();
        drop(backoff);
        if is_open {
            lock(&self.inner.budget).drain(now);
        }
    }

    /// Replaces the client whose idle connections may all have gone silent.
    fn forget_idle_connections(&self) {
        if let Ok(client) = build_client(true) {
            self.inner.pooled.store(Arc::new(client));
        }
    }
}

async fn failure(response: Response) -> StoreError {
    let status = response.status().as_u16();
    let body = response.bytes().await.unwrap_or_default();
    let parsed: Result<ErrorBody, _> = serde_json::from_slice(&body);
    let message = parsed.map(|body| body.message).unwrap_or_default();
    if status >= 500 {
        return StoreError::Unavailable { status, message };
    }
    StoreError::Refused { status, message }
}

pub(super) fn broken(err: reqwest::Error) -> StoreError {
    StoreError::Broken(root_cause(&err))
}

fn root_cause(err: &dyn std::error::Error) -> String {
    let mut cause = err;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
